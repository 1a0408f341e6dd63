"""Folds many requested times into one outstanding wake-up."""

import heapq


class Timers:
    """Remembers requested times; the earliest is asked for once.

    >>> timers = Timers()
    >>> timers.add(5.0)
    >>> timers.next_request(0.0), timers.next_request(1.0), timers.next_request(5.0)
    (5.0, None, None)
    """

    def __init__(self) -> None:
        self._times: list[float] = []
        self._armed: float | None = None

    def add(self, at: float) -> None:
        """Request a wake-up at time `at`."""
        heapq.heappush(self._times, at)

    def next_request(self, now: float) -> float | None:
        """Return a time to ask for, unless an earlier or equal one is outstanding."""
        if self._armed is not None and self._armed <= now:
            self._armed = None
            while self._times and self._times[0] <= now:
                heapq.heappop(self._times)
        if not self._times or (self._armed is not None and self._armed <= self._times[0]):
            return None
        self._armed = self._times[0]
        return self._armed
