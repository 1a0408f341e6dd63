"""Digests of a set of records in buckets, kept up to date with each change."""

import struct
from collections.abc import Iterable, Iterator

import xxhash

BUCKETS = 256
HASH_BYTES = 4
DIGEST_BYTES = BUCKETS * HASH_BYTES
_ITEM = struct.Struct("!QI")
ITEM_BYTES = _ITEM.size
_NUMBERS = struct.Struct("!QQQ")
_HASHES = struct.Struct(f"!{BUCKETS}I")


class Buckets:
    """Holds a 32-bit hash for each key; a bucket's hash is the XOR of those in it."""

    def __init__(self) -> None:
        self._values: dict[int, int] = {}
        self._hashes = [0] * BUCKETS
        self.root = 0

    @property
    def view(self) -> "DigestView":
        """Return these buckets for comparison."""
        return DigestView([self])

    def hash_of(self, bucket: int) -> int:
        """Return the hash of `bucket`."""
        return self._hashes[bucket]

    def put(self, key: int, value: int) -> None:
        """Set the hash of `key`."""
        self.remove(key)
        self._values[key] = value
        self._change(key % BUCKETS, value)

    def remove(self, key: int) -> None:
        """Remove `key` if present."""
        value = self._values.pop(key, None)
        if value is not None:
            self._change(key % BUCKETS, value)

    def items_of(self, buckets: frozenset[int]) -> Iterator[tuple[int, int]]:
        """Yield keys and hashes of `buckets`, found by a scan to save memory."""
        for key, value in self._values.items():
            if key % BUCKETS in buckets:
                yield key, value

    def _change(self, bucket: int, value: int) -> None:
        self._hashes[bucket] ^= value
        # Weighted by the bucket, so that equal changes in two buckets don't cancel out.
        self.root ^= value * (2 * bucket + 1) & 0xFFFFFFFF


class DigestView:
    """The digest of several sets of records without a key in common."""

    def __init__(self, parts: Iterable[Buckets]) -> None:
        self._parts = list(parts)

    def encode(self) -> bytes:
        """Return the hashes of all buckets."""
        return _HASHES.pack(*self._combine())

    def find_differing(self, hashes: bytes) -> bytes:
        """Return the numbers of the buckets that differ from `hashes`, one byte each."""
        assert len(hashes) == DIGEST_BYTES, "checked on arrival"
        pairs = zip(self._combine(), _HASHES.unpack(hashes), strict=True)
        return bytes(bucket for bucket, (mine, other) in enumerate(pairs) if mine != other)

    def encode_items(self, buckets: bytes) -> bytes:
        """Return keys and hashes of `buckets`."""
        return b"".join(_ITEM.pack(key, value) for key, value in self.items(buckets).items())

    def items(self, buckets: bytes) -> dict[int, int]:
        """Return keys and hashes of `buckets`."""
        chosen = frozenset(buckets)
        return {key: value for part in self._parts for key, value in part.items_of(chosen)}

    def _combine(self) -> list[int]:
        hashes = [0] * BUCKETS
        for part in self._parts:
            for bucket in range(BUCKETS):
                hashes[bucket] ^= part.hash_of(bucket)
        return hashes


def decode_items(data: bytes) -> Iterator[tuple[int, int]]:
    """Yield keys and hashes."""
    assert len(data) % ITEM_BYTES == 0, "checked on arrival"
    yield from _ITEM.iter_unpack(data)


def hash_numbers(key: int, first: int, second: int) -> int:
    """Return the 32-bit hash of a record with these numbers."""
    return xxhash.xxh3_64_intdigest(_NUMBERS.pack(key, first, second)) & 0xFFFFFFFF
