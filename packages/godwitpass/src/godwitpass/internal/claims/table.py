"""Contents of a shard: a small head, rewritten by each batch, and immutable sealed segments."""

from collections.abc import Mapping
from itertools import islice

import msgspec

from godwitpass.ids import Revision
from godwitpass.internal.claims.keys import KEY_LIFETIME_S, MAX_CLOCK_SKEW_S, Digest
from godwitpass.internal.claims.messages import STATUS_RELEASED
from godwitpass.internal.claims.segment import (
    Row,
    Segment,
    SegmentReference,
    build_segment,
)

HEAD_FORMAT = 1
MAX_HEAD_CLAIMS = 256
"""Number of claims in the head above which the oldest ones are sealed into a segment."""

HEAD_CLAIMS_AFTER_SEAL = 32
"""Number of claims, the newest ones, that stay in the head when the others are sealed."""

MAX_SEGMENT_ROWS = 4096
"""Number of rows at which a segment is full, so that the next seal starts a new one."""

RETENTION_S = KEY_LIFETIME_S + MAX_CLOCK_SKEW_S
"""Age of a key from which its claim may be dropped, as clocks that are behind refuse it too."""


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A recorded claim; times are in seconds since the epoch."""

    digest: Digest
    token: int
    key_created_at: int
    claimed_at: int
    status: int


class Head(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a shard, without the contents of its segments.

    `generation` counts the writes of the head. A key created at `low_watermark` or before is never
    granted again.
    """

    format: int
    generation: int
    low_watermark: int
    newest_key_created_at: int
    claims: tuple[Claim, ...]
    segments: tuple[SegmentReference, ...]


EMPTY_HEAD = Head(HEAD_FORMAT, 0, 0, 0, (), ())


def decode_head(value: bytes | None) -> Head:
    """Decode a stored head; raises `msgspec.DecodeError` if it is corrupt or of another format."""
    if value is None:
        return EMPTY_HEAD
    head = msgspec.msgpack.decode(value, type=Head)
    if head.format != HEAD_FORMAT:
        raise msgspec.DecodeError(f"shard head has format {head.format}, expected {HEAD_FORMAT}")
    return head


class ShardTable:
    """A shard as read or written at `revision`, with changes that are not written yet.

    Keys in missing segments can't be looked up, so the low watermark covers them.
    """

    def __init__(self, head: Head, revision: Revision, segments: Mapping[str, Segment]) -> None:
        self.revision = revision
        self.generation = head.generation
        self.low_watermark = head.low_watermark
        self._newest_key_created_at = head.newest_key_created_at
        self._claims = {claim.digest: claim for claim in head.claims}
        self._segments = {
            reference: segments[reference.name]
            for reference in head.segments
            if reference.name in segments
        }
        missing = [reference for reference in head.segments if reference.name not in segments]
        self.has_missing_segments = bool(missing)
        self.is_write_required = bool(missing)
        for reference in missing:
            self.low_watermark = max(self.low_watermark, reference.newest_key_created_at)

    def __len__(self) -> int:
        return len(self._claims) + sum(map(len, self._segments.values()))

    @property
    def segment_names(self) -> frozenset[str]:
        """Names of the segments that the shard refers to."""
        return frozenset(reference.name for reference in self._segments)

    @property
    def segments(self) -> dict[str, Segment]:
        """The segments that the shard refers to, by name."""
        return {reference.name: segment for reference, segment in self._segments.items()}

    def find(self, digest: Digest) -> Claim | None:
        """Return the claim recorded for `digest`; token and times of a sealed claim are 0."""
        found = self._claims.get(digest)
        if found is not None:
            return found
        for segment in reversed(self._segments.values()):
            status = segment.find(digest)
            if status is not None:
                return Claim(digest, 0, 0, 0, status)
        return None

    def record(self, claim: Claim) -> None:
        """Add `claim` as the newest, or replace the head's claim with the same digest."""
        assert claim.key_created_at > self.low_watermark, "key is at or below the low watermark"
        self._claims.pop(claim.digest, None)
        self._claims[claim.digest] = claim
        self._newest_key_created_at = max(self._newest_key_created_at, claim.key_created_at)

    def discard(self, digest: Digest) -> None:
        """Remove a claim that was recorded but not written to the store."""
        self._claims.pop(digest, None)

    def replace(self, claim: Claim) -> None:
        """Replace the head's claim with the same digest and keep its position."""
        assert claim.digest in self._claims
        self._claims[claim.digest] = claim

    def advance_low_watermark(self, wall_time: float) -> None:
        """Drop claims that are past retention by both the clock and the newest key."""
        # Some daemon's clock accepted the newest key, so a local clock that runs ahead can't raise
        # the watermark any further than that key allows.
        self.raise_low_watermark(min(int(wall_time), self._newest_key_created_at) - RETENTION_S)

    def raise_low_watermark(self, low_watermark: int) -> None:
        """Refuse all keys created at `low_watermark` or before, and drop their claims."""
        if low_watermark <= self.low_watermark:
            return
        self.low_watermark = low_watermark
        self._claims = {
            digest: claim
            for digest, claim in self._claims.items()
            if claim.key_created_at > low_watermark
        }
        self._segments = {
            reference: segment
            for reference, segment in self._segments.items()
            if reference.newest_key_created_at > low_watermark
        }

    def recover_from_rollback(self, low_watermark: int, generation: int) -> None:
        """Refuse all keys up to `low_watermark`, as the store lost writes up to `generation`."""
        self.raise_low_watermark(low_watermark)
        self.generation = generation
        self.is_write_required = True

    def plan_seal(self) -> Segment | None:
        """Return a segment of the oldest claims to write, or None while the head is small.

        It includes the rows of the newest segment while that is not full, and replaces it.
        """
        if len(self._claims) <= MAX_HEAD_CLAIMS:
            return None
        rows = list(self._list_unfilled_rows())
        rows += [
            Row(claim.digest, claim.status)
            for claim in self._list_oldest_claims()
            if claim.status != STATUS_RELEASED
        ]
        return build_segment(rows)

    def seal(self, name: str, segment: Segment) -> str | None:
        """Move the oldest claims to `segment`, made by `plan_seal` and stored under `name`.

        Returns the name of the segment that it replaces, if any.
        """
        unfilled = self._find_unfilled_reference()
        oldest = self._list_oldest_claims()
        newest = max(claim.key_created_at for claim in oldest)
        if unfilled is not None:
            newest = max(newest, unfilled.newest_key_created_at)
            del self._segments[unfilled]
        self._segments[SegmentReference(name, newest)] = segment
        for claim in oldest:
            del self._claims[claim.digest]
        return unfilled.name if unfilled is not None else None

    def encode_next_head(self) -> bytes:
        """Encode the head for the next generation."""
        head = Head(
            HEAD_FORMAT,
            self.generation + 1,
            self.low_watermark,
            self._newest_key_created_at,
            tuple(self._claims.values()),
            tuple(self._segments),
        )
        return msgspec.msgpack.encode(head)

    def confirm_write(self, revision: Revision) -> None:
        """Record that the next generation was written at `revision`."""
        self.generation += 1
        self.revision = revision
        self.is_write_required = False

    def _list_oldest_claims(self) -> list[Claim]:
        return list(islice(self._claims.values(), len(self._claims) - HEAD_CLAIMS_AFTER_SEAL))

    def _find_unfilled_reference(self) -> SegmentReference | None:
        """Return the newest segment if it is not full."""
        if not self._segments:
            return None
        newest = next(reversed(self._segments))
        return newest if len(self._segments[newest]) < MAX_SEGMENT_ROWS else None

    def _list_unfilled_rows(self) -> tuple[Row, ...]:
        unfilled = self._find_unfilled_reference()
        return tuple(self._segments[unfilled].iterate_rows()) if unfilled is not None else ()
