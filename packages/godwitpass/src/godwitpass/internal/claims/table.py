"""Contents of one shard: a small head, rewritten by each batch, and sealed segments."""

from collections.abc import Mapping
from itertools import islice

import msgspec

from godwitpass.ids import Revision
from godwitpass.internal.claims.keys import KEY_LIFETIME_S, MAX_CLOCK_SKEW_S, Digest
from godwitpass.internal.claims.messages import RELEASED
from godwitpass.internal.claims.segment import (
    Row,
    Segment,
    SegmentReference,
    build_segment,
)

HEAD_FORMAT = 1
MAX_HEAD_CLAIMS = 256
KEPT_HEAD_CLAIMS = 32
MAX_SEGMENT_ROWS = 4096
RETENTION_S = KEY_LIFETIME_S + MAX_CLOCK_SKEW_S


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One recorded claim; times are in seconds since the epoch."""

    digest: Digest
    token: int
    key_created_at: int
    claimed_at: int
    status: int


class Head(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a shard; keys made at `floor` or before are never granted again."""

    format: int
    generation: int
    floor: int
    newest_key_created_at: int
    claims: tuple[Claim, ...]
    segments: tuple[SegmentReference, ...]


EMPTY_HEAD = Head(HEAD_FORMAT, 0, 0, 0, (), ())


def decode_head(value: bytes | None) -> Head:
    """Decode a stored head; raises `msgspec.DecodeError` when it can't be trusted."""
    if value is None:
        return EMPTY_HEAD
    head = msgspec.msgpack.decode(value, type=Head)
    if head.format != HEAD_FORMAT:
        raise msgspec.DecodeError(f"head of format {head.format}, expected {HEAD_FORMAT}")
    return head


class ShardTable:
    """One shard as read at `revision`, with the changes that wait to be written."""

    def __init__(self, head: Head, revision: Revision, segments: Mapping[str, Segment]) -> None:
        self.revision = revision
        self.generation = head.generation
        self.floor = head.floor
        self._newest_key_time = head.newest_key_created_at
        self._claims = {claim.digest: claim for claim in head.claims}
        self._segments = {
            reference: segments[reference.name]
            for reference in head.segments
            if reference.name in segments
        }
        missing = [ref for ref in head.segments if ref.name not in segments]
        self.has_missing_segments = bool(missing)
        self.must_write = bool(missing)
        for reference in missing:
            self.floor = max(self.floor, reference.newest_key_created_at)

    def __len__(self) -> int:
        return len(self._claims) + sum(map(len, self._segments.values()))

    @property
    def segment_names(self) -> frozenset[str]:
        """Names of the segments in use."""
        return frozenset(reference.name for reference in self._segments)

    @property
    def segments(self) -> dict[str, Segment]:
        """Segments in use by name."""
        return {reference.name: segment for reference, segment in self._segments.items()}

    def find(self, digest: Digest) -> Claim | None:
        """Return what is recorded for `digest`; a sealed claim has no token and no times."""
        found = self._claims.get(digest)
        if found is not None:
            return found
        for segment in reversed(self._segments.values()):
            status = segment.find(digest)
            if status is not None:
                return Claim(digest, 0, 0, 0, status)
        return None

    def record(self, claim: Claim) -> None:
        """Add `claim`, or replace what the head holds for its digest."""
        assert claim.key_created_at > self.floor, "a key at the floor is never recorded"
        self._claims.pop(claim.digest, None)
        self._claims[claim.digest] = claim
        self._newest_key_time = max(self._newest_key_time, claim.key_created_at)

    def withdraw(self, digest: Digest) -> None:
        """Take a claim out again that was not stored."""
        self._claims.pop(digest, None)

    def replace(self, claim: Claim) -> None:
        """Replace a claim of the head in its place."""
        assert claim.digest in self._claims
        self._claims[claim.digest] = claim

    def advance_floor(self, wall_time: float) -> None:
        """Drop claims that have outlived their retention by the clock and by newer keys."""
        # A clock that runs ahead can't pass the newest key, which another daemon's clock vouched.
        self.raise_floor(min(int(wall_time), self._newest_key_time) - RETENTION_S)

    def raise_floor(self, floor: int) -> None:
        """Refuse all keys made at `floor` or before, and drop their claims."""
        if floor <= self.floor:
            return
        self.floor = floor
        self._claims = {
            d: claim for d, claim in self._claims.items() if claim.key_created_at > floor
        }
        self._segments = {
            ref: segment
            for ref, segment in self._segments.items()
            if ref.newest_key_created_at > floor
        }

    def recover(self, floor: int, generation: int) -> None:
        """Refuse all keys up to `floor` after the store went back from `generation`."""
        self.raise_floor(floor)
        self.generation = generation
        self.must_write = True

    def plan_seal(self) -> Segment | None:
        """Return the segment that would hold the oldest claims; None while the head is short."""
        if len(self._claims) <= MAX_HEAD_CLAIMS:
            return None
        rows = list(self._open_rows())
        rows += [Row(c.digest, c.status) for c in self._oldest() if c.status != RELEASED]
        return build_segment(rows)

    def seal(self, name: str, segment: Segment) -> str | None:
        """Use `segment`, from `plan_seal`; returns the name of the one that it replaces."""
        opened = self._open_reference()
        oldest = self._oldest()
        newest = max(claim.key_created_at for claim in oldest)
        if opened is not None:
            newest = max(newest, opened.newest_key_created_at)
            del self._segments[opened]
        self._segments[SegmentReference(name, newest)] = segment
        for claim in oldest:
            del self._claims[claim.digest]
        return opened.name if opened is not None else None

    def encode_next(self) -> bytes:
        """Encode the head of the next generation."""
        head = Head(
            HEAD_FORMAT,
            self.generation + 1,
            self.floor,
            self._newest_key_time,
            tuple(self._claims.values()),
            tuple(self._segments),
        )
        return msgspec.msgpack.encode(head)

    def confirm(self, revision: Revision) -> None:
        """Note that the next generation was written at `revision`."""
        self.generation += 1
        self.revision = revision
        self.must_write = False

    def _oldest(self) -> list[Claim]:
        return list(islice(self._claims.values(), len(self._claims) - KEPT_HEAD_CLAIMS))

    def _open_reference(self) -> SegmentReference | None:
        """Return the newest segment while it has room."""
        if not self._segments:
            return None
        newest = next(reversed(self._segments))
        return newest if len(self._segments[newest]) < MAX_SEGMENT_ROWS else None

    def _open_rows(self) -> tuple[Row, ...]:
        opened = self._open_reference()
        return tuple(self._segments[opened].rows()) if opened is not None else ()
