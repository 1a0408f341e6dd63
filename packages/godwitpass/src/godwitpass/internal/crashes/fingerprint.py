"""What makes two requests the same for the purpose of crashes."""

import hashlib
from collections.abc import Iterable
from typing import NewType

Fingerprint = NewType("Fingerprint", bytes)
"""Begins with the `HeadPrint` of the request."""

HeadPrint = NewType("HeadPrint", bytes)

HEAD_PRINT_BYTES = 4
BODY_PRINT_BYTES = 12
FINGERPRINT_BYTES = HEAD_PRINT_BYTES + BODY_PRINT_BYTES


def compute_head_fingerprint(service: str, method: str, target: bytes) -> HeadPrint:
    """Hash a request without its body, which is enough to tell most requests from a suspect."""
    return HeadPrint(_hash_parts((service.encode(), method.encode(), target), HEAD_PRINT_BYTES))


def compute_fingerprint(service: str, method: str, target: bytes, body: bytes) -> Fingerprint:
    """Hash what an upstream is given: `target` with its query, and the beginning of the body.

    The idempotency key is left out: a caller may send the same request under a new one.

    >>> fingerprint = compute_fingerprint("maal", "POST", b"/scans", b"...")
    >>> fingerprint.startswith(compute_head_fingerprint("maal", "POST", b"/scans")), len(fingerprint)
    (True, 16)
    """
    parts = (service.encode(), method.encode(), target, body)
    head = compute_head_fingerprint(service, method, target)
    return Fingerprint(head + _hash_parts(parts, BODY_PRINT_BYTES))


def _hash_parts(parts: Iterable[bytes], size: int) -> bytes:
    hashed = hashlib.blake2b(digest_size=size)
    for part in parts:
        # Lengths keep the parts apart, so that no two requests run together into one.
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.digest()
