"""What makes two requests the same for the purpose of crashes."""

import hashlib
from typing import NewType

Fingerprint = NewType("Fingerprint", bytes)

FINGERPRINT_BYTES = 12


def take_fingerprint(service: str, method: str, target: bytes, body: bytes) -> Fingerprint:
    """Hash what an upstream is given: `target` with its query, and the beginning of the body.

    The idempotency key is left out: a caller may send the same request under a new one.

    >>> len(take_fingerprint("maal", "POST", b"/scans", b"..."))
    12
    """
    hashed = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (service.encode(), method.encode(), target, body):
        # Lengths keep the parts apart, so that no two requests run together into one.
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return Fingerprint(hashed.digest())
