"""Fingerprints of requests, by which a request that crashes upstreams is recognised."""

import hashlib
from collections.abc import Iterable
from typing import NewType

Fingerprint = NewType("Fingerprint", bytes)
"""Hash of a request; its first bytes are the request's `HeadFingerprint`."""

HeadFingerprint = NewType("HeadFingerprint", bytes)
"""Hash of a request without its query and its body."""

HEAD_FINGERPRINT_BYTES = 4
BODY_FINGERPRINT_BYTES = 12
FINGERPRINT_BYTES = HEAD_FINGERPRINT_BYTES + BODY_FINGERPRINT_BYTES


def compute_head_fingerprint(service: str, method: str, target: bytes) -> HeadFingerprint:
    """Hash a request without query and body, which is enough to rule out most requests."""
    parts = (service.encode(), method.encode(), remove_query(target))
    return HeadFingerprint(_hash_parts(parts, HEAD_FINGERPRINT_BYTES))


def compute_fingerprint(service: str, method: str, target: bytes, body: bytes) -> Fingerprint:
    """Hash a request: service, method, `target` with its query, and the beginning of its body.

    The idempotency key isn't part of it, as a caller may repeat a request under a new key.

    >>> full = compute_fingerprint("maal", "POST", b"/scans", b"...")
    >>> full.startswith(compute_head_fingerprint("maal", "POST", b"/scans")), len(full)
    (True, 16)
    """
    parts = (service.encode(), method.encode(), target, body)
    head_fingerprint = compute_head_fingerprint(service, method, target)
    return Fingerprint(head_fingerprint + _hash_parts(parts, BODY_FINGERPRINT_BYTES))


def compute_fingerprints(
    service: str, method: str, target: bytes, body: bytes
) -> tuple[Fingerprint, ...]:
    """Hash a request as it is, and, if its target has a query, also without the query.

    A request that crashes upstreams may be sent again with another query.

    >>> len(compute_fingerprints("maal", "GET", b"/patterns/7", b""))
    1
    >>> first = compute_fingerprints("maal", "GET", b"/patterns/7?page=1", b"")
    >>> second = compute_fingerprints("maal", "GET", b"/patterns/7?page=2", b"")
    >>> first[0] == second[0], first[1] == second[1]
    (False, True)
    """
    fingerprint = compute_fingerprint(service, method, target, body)
    path = remove_query(target)
    if path == target:
        return (fingerprint,)
    return fingerprint, compute_fingerprint(service, method, path, body)


def remove_query(target: bytes) -> bytes:
    """Return the part of a target before its query."""
    return target.partition(b"?")[0]


def _hash_parts(parts: Iterable[bytes], size_bytes: int) -> bytes:
    hasher = hashlib.blake2b(digest_size=size_bytes)
    for part in parts:
        # The length prefix makes the concatenation of the parts unambiguous.
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()
