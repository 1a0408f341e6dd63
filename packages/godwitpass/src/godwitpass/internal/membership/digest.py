"""Digests of a set of records: a hash for each bucket of keys, updated with every change."""

import struct
from collections.abc import Iterable, Iterator

import xxhash

BUCKET_COUNT = 256
HASH_BYTES = 4
DIGEST_BYTES = BUCKET_COUNT * HASH_BYTES
_ITEM = struct.Struct("!QI")
ITEM_BYTES = _ITEM.size
_HASH_INPUT = struct.Struct("!QQQ")
_HASHES = struct.Struct(f"!{BUCKET_COUNT}I")


class HashBuckets:
    """Holds a 32-bit hash per key; the hash of a bucket is the XOR of the hashes in it.

    `root` is a hash over all buckets: equal sets of records have equal roots.
    """

    def __init__(self) -> None:
        self._hash_by_key: dict[int, int] = {}
        self._bucket_hashes = [0] * BUCKET_COUNT
        self.root = 0

    @property
    def digest(self) -> "DigestView":
        """Return a digest of these buckets alone."""
        return DigestView([self])

    def get_hash(self, bucket: int) -> int:
        """Return the XOR of the hashes in `bucket`."""
        return self._bucket_hashes[bucket]

    def put(self, key: int, record_hash: int) -> None:
        """Set the hash of `key`."""
        self.remove(key)
        self._hash_by_key[key] = record_hash
        self._xor_into(key % BUCKET_COUNT, record_hash)

    def remove(self, key: int) -> None:
        """Remove `key` if present."""
        record_hash = self._hash_by_key.pop(key, None)
        if record_hash is not None:
            self._xor_into(key % BUCKET_COUNT, record_hash)

    def iterate_items(self, buckets: frozenset[int]) -> Iterator[tuple[int, int]]:
        """Yield the keys and hashes in `buckets`.

        It scans all keys, since an index by bucket would cost memory.
        """
        for key, record_hash in self._hash_by_key.items():
            if key % BUCKET_COUNT in buckets:
                yield key, record_hash

    def _xor_into(self, bucket: int, record_hash: int) -> None:
        self._bucket_hashes[bucket] ^= record_hash
        # An odd factor per bucket keeps equal changes in two buckets from cancelling out.
        self.root ^= record_hash * (2 * bucket + 1) & 0xFFFFFFFF


class DigestView:
    """The combined digest of several `HashBuckets` that have no key in common."""

    def __init__(self, bucket_sets: Iterable[HashBuckets]) -> None:
        self._bucket_sets = list(bucket_sets)

    def encode(self) -> bytes:
        """Encode the hashes of all buckets, `DIGEST_BYTES` in total."""
        return _HASHES.pack(*self._combine_hashes())

    def find_differing_buckets(self, hashes: bytes) -> bytes:
        """Return the indexes of the buckets whose hashes differ from `hashes`, one byte each."""
        assert len(hashes) == DIGEST_BYTES, "decode_message checks the length"
        pairs = zip(self._combine_hashes(), _HASHES.unpack(hashes), strict=True)
        return bytes(bucket for bucket, (mine, other) in enumerate(pairs) if mine != other)

    def encode_items(self, buckets: bytes) -> bytes:
        """Encode the keys and hashes in `buckets`, `ITEM_BYTES` each."""
        return b"".join(
            _ITEM.pack(key, record_hash) for key, record_hash in self.items(buckets).items()
        )

    def items(self, buckets: bytes) -> dict[int, int]:
        """Return the keys and hashes in `buckets`."""
        chosen = frozenset(buckets)
        return {
            key: record_hash
            for bucket_set in self._bucket_sets
            for key, record_hash in bucket_set.iterate_items(chosen)
        }

    def _combine_hashes(self) -> list[int]:
        hashes = [0] * BUCKET_COUNT
        for bucket_set in self._bucket_sets:
            for bucket in range(BUCKET_COUNT):
                hashes[bucket] ^= bucket_set.get_hash(bucket)
        return hashes


def decode_items(data: bytes) -> Iterator[tuple[int, int]]:
    """Yield the keys and hashes encoded by `encode_items`."""
    assert len(data) % ITEM_BYTES == 0, "decode_message checks the length"
    yield from _ITEM.iter_unpack(data)


def hash_record(key: int, first: int, second: int) -> int:
    """Return a 32-bit hash of a record from its key and two numbers that change with it."""
    return xxhash.xxh3_64_intdigest(_HASH_INPUT.pack(key, first, second)) & 0xFFFFFFFF
