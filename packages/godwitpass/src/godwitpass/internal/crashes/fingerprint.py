"""Fingerprints of requests, by which a request that crashes upstreams is recognised."""

import hashlib
from collections.abc import Iterable
from typing import NewType

Fingerprint = NewType("Fingerprint", bytes)
"""Hash of a request; its first bytes are the request's `HeadFingerprint`."""

HeadFingerprint = NewType("HeadFingerprint", bytes)
"""Hash of a request without its body."""

HEAD_FINGERPRINT_BYTES = 4
BODY_FINGERPRINT_BYTES = 12
FINGERPRINT_BYTES = HEAD_FINGERPRINT_BYTES + BODY_FINGERPRINT_BYTES


def compute_head_fingerprint(service: str, method: str, target: bytes) -> HeadFingerprint:
    """Hash a request without its body, which is enough to rule out most requests."""
    return HeadFingerprint(
        _hash_parts((service.encode(), method.encode(), target), HEAD_FINGERPRINT_BYTES)
    )


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


def _hash_parts(parts: Iterable[bytes], size_bytes: int) -> bytes:
    hasher = hashlib.blake2b(digest_size=size_bytes)
    for part in parts:
        # The length prefix makes the concatenation of the parts unambiguous.
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()
