"""Sealed parts of a shard: sorted digests with a status each, never changed once written."""

from bisect import bisect_left
from collections.abc import Iterable

import msgspec

from godwitpass.internal.claims.keys import DIGEST_BYTES, Digest

STATUS_BYTES = 2
ROW_BYTES = DIGEST_BYTES + STATUS_BYTES


class SegmentReference(msgspec.Struct, frozen=True, array_like=True):
    """Names a segment; all its keys were made at `newest_key_time` or before."""

    name: str
    newest_key_time: int


class Row(msgspec.Struct, frozen=True):
    """One sealed claim."""

    digest: Digest
    status: int


class Segment:
    """Rows packed in the order of their digests."""

    def __init__(self, packed: bytes) -> None:
        if len(packed) % ROW_BYTES:
            raise ValueError(f"a segment of {len(packed)} bytes is not made of whole rows")
        self.packed = packed
        first_bytes = packed[::ROW_BYTES]
        self._starts = [bisect_left(first_bytes, byte) * ROW_BYTES for byte in range(256)]
        self._starts.append(len(packed))

    def __len__(self) -> int:
        return len(self.packed) // ROW_BYTES

    def find(self, digest: Digest) -> int | None:
        """Return the status recorded for `digest`."""
        start, end = self._starts[digest[0]], self._starts[digest[0] + 1]
        found = self.packed.find(digest, start, end)
        while found % ROW_BYTES and found != -1:
            found = self.packed.find(digest, found + 1, end)
        return None if found == -1 else self._status_at(found // ROW_BYTES)

    def rows(self) -> Iterable[Row]:
        """Yield all rows in order."""
        for index in range(len(self)):
            yield Row(self._digest_at(index), self._status_at(index))

    def _digest_at(self, index: int) -> Digest:
        start = index * ROW_BYTES
        return Digest(self.packed[start : start + DIGEST_BYTES])

    def _status_at(self, index: int) -> int:
        end = (index + 1) * ROW_BYTES
        return int.from_bytes(self.packed[end - STATUS_BYTES : end], "big")


def build_segment(rows: Iterable[Row]) -> Segment:
    """Pack `rows`; the last of several with one digest is kept.

    >>> segment = build_segment([Row(Digest(b"b" * 12), 0), Row(Digest(b"a" * 12), 201)])
    >>> len(segment), segment.find(Digest(b"a" * 12)), segment.find(Digest(b"c" * 12))
    (2, 201, None)
    """
    statuses = {row.digest: row.status for row in rows}
    packed = bytearray()
    for digest in sorted(statuses):
        packed += digest + statuses[digest].to_bytes(STATUS_BYTES, "big")
    return Segment(bytes(packed))
