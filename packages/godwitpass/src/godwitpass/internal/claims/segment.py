"""Sealed segments of a shard: immutable, sorted rows of a digest and a status."""

from bisect import bisect_left
from collections.abc import Iterable

import msgspec

from godwitpass.internal.claims.keys import DIGEST_BYTES, Digest

STATUS_BYTES = 2
ROW_BYTES = DIGEST_BYTES + STATUS_BYTES


class SegmentReference(msgspec.Struct, frozen=True, array_like=True):
    """The name of a segment and the creation time of its newest key."""

    name: str
    newest_key_created_at: int


class Row(msgspec.Struct, frozen=True):
    """A sealed claim, reduced to its digest and status."""

    digest: Digest
    status: int


class Segment:
    """Rows packed into bytes, sorted by digest."""

    def __init__(self, packed: bytes) -> None:
        if len(packed) % ROW_BYTES:
            raise ValueError(
                f"segment has {len(packed)} bytes, which is not a multiple of the row size"
                f" of {ROW_BYTES} bytes"
            )
        self.packed = packed
        first_bytes = packed[::ROW_BYTES]
        self._start_by_first_byte = [
            bisect_left(first_bytes, byte) * ROW_BYTES for byte in range(256)
        ]
        self._start_by_first_byte.append(len(packed))

    def __len__(self) -> int:
        return len(self.packed) // ROW_BYTES

    def find(self, digest: Digest) -> int | None:
        """Return the status recorded for `digest`, or None if it is absent."""
        start, end = self._start_by_first_byte[digest[0]], self._start_by_first_byte[digest[0] + 1]
        position = self.packed.find(digest, start, end)
        # A match that is not at the start of a row straddles two rows or a digest and its status.
        while position % ROW_BYTES and position != -1:
            position = self.packed.find(digest, position + 1, end)
        return None if position == -1 else self._status_at(position // ROW_BYTES)

    def iterate_rows(self) -> Iterable[Row]:
        """Yield all rows in order of their digests."""
        for index in range(len(self)):
            yield Row(self._digest_at(index), self._status_at(index))

    def _digest_at(self, index: int) -> Digest:
        start = index * ROW_BYTES
        return Digest(self.packed[start : start + DIGEST_BYTES])

    def _status_at(self, index: int) -> int:
        end = (index + 1) * ROW_BYTES
        return int.from_bytes(self.packed[end - STATUS_BYTES : end], "big")


def build_segment(rows: Iterable[Row]) -> Segment:
    """Pack `rows`; of several rows with the same digest the last one is kept.

    >>> segment = build_segment([Row(Digest(b"b" * 12), 0), Row(Digest(b"a" * 12), 201)])
    >>> len(segment), segment.find(Digest(b"a" * 12)), segment.find(Digest(b"c" * 12))
    (2, 201, None)
    """
    statuses = {row.digest: row.status for row in rows}
    packed = bytearray()
    for digest in sorted(statuses):
        packed += digest + statuses[digest].to_bytes(STATUS_BYTES, "big")
    return Segment(bytes(packed))
