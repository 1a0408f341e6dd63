"""Updates waiting to be passed on, each a bounded number of times."""

import math
from collections.abc import Hashable

from godwitpass.internal.membership.messages import Update
from godwitpass.internal.membership.wire import measure_update

CROWD = 64
"""Waiting updates above which each is sent less often; digests repair what that misses."""

CROWDED_SENDS = 4
MIN_UPDATE_BYTES = 12
MAX_MISFITS = 8
MAX_WAITING = 256
"""Beyond it the updates sent most often are dropped; digests repair what that misses."""


class Broadcasts:
    """Hands out the updates that were sent least often first.

    A newer update of the same subject replaces an older one. An update is sent
    `factor * log10(members)` times, which reaches all of them but about one in `members`.
    """

    def __init__(self, factor: float) -> None:
        self._factor = factor
        self._levels: list[dict[Hashable, tuple[Update, int]]] = []
        self._level_of: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def add(self, subject: Hashable, update: Update) -> None:
        """Pass on `update` about `subject`."""
        self.discard(subject)
        if len(self) >= MAX_WAITING:
            entries = next(entries for entries in reversed(self._levels) if entries)
            self.discard(next(iter(entries)))
        self._store(0, subject, (update, measure_update(update)))

    def discard(self, subject: Hashable) -> None:
        """Pass on nothing more about `subject`."""
        level = self._level_of.pop(subject, None)
        if level is not None:
            del self._levels[level][subject]

    def take(self, budget_bytes: int, members: int) -> list[Update]:
        """Return updates of at most `budget_bytes` in all, counting one sending of each."""
        chosen: list[tuple[int, Hashable]] = []
        updates: list[Update] = []
        misfits = 0
        for level, entries in enumerate(self._levels):
            for subject, (update, size) in entries.items():
                if budget_bytes < MIN_UPDATE_BYTES or misfits > MAX_MISFITS:
                    break
                if size > budget_bytes:
                    misfits += 1
                    continue
                budget_bytes -= size
                updates.append(update)
                chosen.append((level, subject))
        limit = self._limit(members)
        for level, subject in chosen:
            self._advance(level, subject, limit)
        return updates

    def _limit(self, members: int) -> int:
        limit = max(1, math.ceil(self._factor * math.log10(members + 1)))
        return min(limit, CROWDED_SENDS) if len(self) > CROWD else limit

    def _advance(self, level: int, subject: Hashable, limit: int) -> None:
        entry = self._levels[level].pop(subject)
        del self._level_of[subject]
        if level + 1 < limit:
            self._store(level + 1, subject, entry)

    def _store(self, level: int, subject: Hashable, entry: tuple[Update, int]) -> None:
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][subject] = entry
        self._level_of[subject] = level
