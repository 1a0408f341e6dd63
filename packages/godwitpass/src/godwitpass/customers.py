"""Digests of customers' keys; documents, messages and logs hold digests and never the keys."""

import hashlib

DIGEST_CHARS = 32
"""Length of a digest in hexadecimal digits: 128 bits, which no two keys share by chance."""


def digest_key(key: str | bytes) -> str:
    """Return the digest by which a document identifies `key`.

    >>> digest_key("a key"), digest_key(b"a key") == digest_key("a key")
    ('8fa3aab2faa9b79e0a0398da5b5abd07', True)
    """
    content = key.encode() if isinstance(key, str) else key
    return hashlib.sha256(content).hexdigest()[:DIGEST_CHARS]
