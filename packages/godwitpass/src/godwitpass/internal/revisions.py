"""Revisions that answers of the store named lately.

An answer without changes may name a revision although a change up to it is listed only later, so a
watch starts at a revision that was named some seconds ago.
"""

import math
from collections import deque

import msgspec

from godwitpass.ids import Revision

KEPT_S = 12.0
"""Age at which a named revision is dropped."""

OVERLAP_S = 4.0
"""Time for which a watch asks again for changes that answers already covered."""

SHORTENED_S = 300.0
"""Time for which the overlap stays shorter after the store had discarded its history."""

MIN_SPACING_S = 0.25
"""Of answers that follow each other faster, only the first is kept, and the newest of all."""


class NamedRevision(msgspec.Struct, frozen=True):
    """A revision that an answer of the store named, at `at` on the caller's clock."""

    revision: Revision
    at: float


class NamedRevisions:
    """The revisions of the last `KEPT_S` seconds, in order."""

    def __init__(self) -> None:
        self._kept: deque[NamedRevision] = deque()
        self._newest: NamedRevision | None = None
        self._overlap_s = OVERLAP_S
        self._shortened_until = -math.inf

    def record(self, revision: Revision, now: float) -> None:
        """Record that an answer named `revision`; a lower one than before replaces all."""
        named = NamedRevision(revision, now)
        if self._newest is not None and revision < self._newest.revision:
            self.clear()
        self._newest = named
        while self._kept and self._kept[0].at < now - KEPT_S:
            self._kept.popleft()
        if not self._kept or now - self._kept[-1].at >= MIN_SPACING_S:
            self._kept.append(named)

    def clear(self) -> None:
        """Forget all revisions."""
        self._kept.clear()
        self._newest = None

    def shorten_overlap(self, asked: Revision, now: float) -> None:
        """Ask from later revisions, as the store has no history after `asked`, and forget all."""
        named_at = [named.at for named in self._kept if named.revision <= asked]
        age_s = now - named_at[-1] if named_at else 0.0
        self._overlap_s = min(self._overlap_s, age_s / 2)
        self._shortened_until = now + SHORTENED_S
        self.clear()

    def choose_start(self, now: float) -> Revision | None:
        """Return the revision from which a watch that starts now asks; None if none is known."""
        if now >= self._shortened_until:
            self._overlap_s = OVERLAP_S
        for named in self._kept:
            if named.at >= now - self._overlap_s:
                return named.revision
        return self._newest.revision if self._newest is not None else None

    def find_cover(self, revision: Revision) -> NamedRevision | None:
        """Return the earliest kept answer that named `revision` or a later one."""
        for named in self._kept:
            if named.revision >= revision:
                return named
        newest = self._newest
        return newest if newest is not None and newest.revision >= revision else None
