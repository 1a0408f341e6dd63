"""Encoding, compression and hashing of stored and transmitted content."""

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
    unset = Document(document.format)
    ordered = msgspec.structs.replace(
        document,
        services=tuple(sorted(document.services, key=lambda service: service.name)),
        routes=tuple(sorted(document.routes, key=lambda route: route.name)),
        policies=tuple(sorted(document.policies, key=lambda policy: policy.name)),
        # msgspec omits a nested struct only if it is the default object itself.
        distribution=(
            unset.distribution
            if document.distribution == unset.distribution
            else document.distribution
        ),
        limits=unset.limits if document.limits == unset.limits else document.limits,
    )
    return msgspec.json.encode(ordered, order="deterministic")


def hash_content(content: bytes) -> ContentHash:
    """Return the hexadecimal BLAKE2b hash of `content`."""
    return ContentHash(hashlib.blake2b(content, digest_size=HASH_BYTES).hexdigest())


def compress(content: bytes) -> bytes:
    """Compress `content` with Zstandard."""
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(content)


def decompress(content: bytes) -> bytes:
    """Decompress `content`; raises `zstandard.ZstdError` when it is corrupt or too large."""
    # The library allocates whatever size the frame declares.
    if zstandard.frame_content_size(content) > MAX_DECOMPRESSED_BYTES:
        raise zstandard.ZstdError("the content is too large")
    return zstandard.ZstdDecompressor().decompress(content, max_output_size=MAX_DECOMPRESSED_BYTES)
