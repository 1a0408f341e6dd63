"""Rate limiter of events, which bounds what a burst of events costs the daemon."""

from collections import Counter

import msgspec

MAX_EVENTS_PER_KIND = 50
"""Events of one kind that are admitted in each window."""

MAX_EVENTS_ALL_KINDS = 150
"""Events of all kinds together that are admitted in each window."""

WINDOW_S = 1.0


class Admission(msgspec.Struct, frozen=True):
    """Whether an event is admitted, and how many of its kind were dropped since the last one."""

    is_admitted: bool
    suppressed_count: int = 0


class EventLimiter:
    """Admits a limited number of events per window, of each kind and of all kinds together.

    >>> limiter = EventLimiter()
    >>> sum(limiter.admit(201, now=0.5).is_admitted for _ in range(80))
    50
    >>> limiter.admit(201, now=1.5)
    Admission(is_admitted=True, suppressed_count=30)
    """

    def __init__(self) -> None:
        self._window_index = 0
        self._admitted_counts: Counter[int] = Counter()
        self._suppressed_counts: Counter[int] = Counter()

    def admit(self, number: int, now: float) -> Admission:
        """Decide whether to admit one event of kind `number` at time `now`, in seconds."""
        window_index = int(now / WINDOW_S)
        if window_index != self._window_index:
            self._window_index = window_index
            self._admitted_counts.clear()
        is_window_full = self._admitted_counts.total() >= MAX_EVENTS_ALL_KINDS
        if is_window_full or self._admitted_counts[number] >= MAX_EVENTS_PER_KIND:
            self._suppressed_counts[number] += 1
            return Admission(is_admitted=False)
        self._admitted_counts[number] += 1
        return Admission(True, self._suppressed_counts.pop(number, 0))
