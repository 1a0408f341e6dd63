"""Bounds on events, so that a storm does not cost the daemon its budget."""

from collections import Counter

import msgspec

MAX_EVENTS_PER_KIND = 50
"""Events of one kind."""

MAX_EVENTS_ALL_KINDS = 150
"""Events of all kinds in a window."""

WINDOW_S = 1.0


class Admission(msgspec.Struct, frozen=True):
    """Whether an event passes, and how many were left out before it since the last one."""

    admitted: bool
    suppressed: int = 0


class EventLimiter:
    """Admits so many events of each kind, and of all, in each window.

    >>> limiter = EventLimiter()
    >>> sum(limiter.admit(201, now=0.5).admitted for _ in range(80))
    50
    >>> limiter.admit(201, now=1.5)
    Admission(admitted=True, suppressed=30)
    """

    def __init__(self) -> None:
        self._window = 0
        self._passed: Counter[int] = Counter()
        self._suppressed: Counter[int] = Counter()

    def admit(self, number: int, now: float) -> Admission:
        """Decide about one event of kind `number` at time `now`, in seconds."""
        window = int(now / WINDOW_S)
        if window != self._window:
            self._window = window
            self._passed.clear()
        full = self._passed.total() >= MAX_EVENTS_ALL_KINDS
        if full or self._passed[number] >= MAX_EVENTS_PER_KIND:
            self._suppressed[number] += 1
            return Admission(admitted=False)
        self._passed[number] += 1
        return Admission(True, self._suppressed.pop(number, 0))
