"""Encoding, compression and hashing of document content that is stored or sent."""

import hashlib
from typing import TypeVar

import msgspec
import zstandard

from godwitpass.document import Document
from godwitpass.ids import ContentHash

T = TypeVar("T")

HASH_BYTES = 16
COMPRESSION_LEVEL = 3
MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024


def encode_canonical(document: Document) -> bytes:
    """Encode `document` so that equal content gives equal bytes, whatever the order of entries."""
    defaults = Document(document.format)
    ordered = msgspec.structs.replace(
        document,
        services=tuple(sorted(document.services, key=lambda service: service.name)),
        routes=tuple(sorted(document.routes, key=lambda route: route.name)),
        policies=tuple(sorted(document.policies, key=lambda policy: policy.name)),
        # msgspec omits a nested struct only if it is the default object itself.
        distribution=(
            defaults.distribution
            if document.distribution == defaults.distribution
            else document.distribution
        ),
        limits=defaults.limits if document.limits == defaults.limits else document.limits,
    )
    return msgspec.json.encode(ordered, order="deterministic")


def hash_content(content: bytes) -> ContentHash:
    """Return the hexadecimal BLAKE2b hash of `content`, `HASH_BYTES` long."""
    return ContentHash(hashlib.blake2b(content, digest_size=HASH_BYTES).hexdigest())


def compress(content: bytes) -> bytes:
    """Compress `content` with Zstandard."""
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(content)


def decompress(content: bytes) -> bytes:
    """Decompress `content`; raises `zstandard.ZstdError` if it is corrupt or too large."""
    # The library allocates the size that the frame header declares, however large.
    if zstandard.frame_content_size(content) > MAX_DECOMPRESSED_BYTES:
        raise zstandard.ZstdError(
            f"content decompresses to more than {MAX_DECOMPRESSED_BYTES} bytes"
        )
    return zstandard.ZstdDecompressor().decompress(content, max_output_size=MAX_DECOMPRESSED_BYTES)
