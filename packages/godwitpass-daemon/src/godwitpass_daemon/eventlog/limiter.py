"""Bound on the events of one kind, so that a storm does not cost the daemon its budget."""

import msgspec

MAX_EVENTS_PER_WINDOW = 50
WINDOW_S = 1.0


class Admission(msgspec.Struct, frozen=True):
    """Whether an event passes, and how many were left out before it since the last one."""

    admitted: bool
    suppressed: int = 0


class EventLimiter:
    """Admits `MAX_EVENTS_PER_WINDOW` events of each kind in each window.

    >>> limiter = EventLimiter()
    >>> sum(limiter.admit(201, now=0.5).admitted for _ in range(80))
    50
    >>> limiter.admit(201, now=1.5)
    Admission(admitted=True, suppressed=30)
    """

    def __init__(self) -> None:
        self._window: dict[int, int] = {}
        self._passed: dict[int, int] = {}
        self._suppressed: dict[int, int] = {}

    def admit(self, number: int, now: float) -> Admission:
        """Decide about one event of kind `number` at time `now`, in seconds."""
        window = int(now / WINDOW_S)
        if self._window.get(number) != window:
            self._window[number] = window
            self._passed[number] = 0
        if self._passed[number] >= MAX_EVENTS_PER_WINDOW:
            self._suppressed[number] = self._suppressed.get(number, 0) + 1
            return Admission(admitted=False)
        self._passed[number] += 1
        return Admission(True, self._suppressed.pop(number, 0))
