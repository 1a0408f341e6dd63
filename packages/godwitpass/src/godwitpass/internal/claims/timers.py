"""Coalesce requested wake-up times into a single armed timer."""

import heapq


class TimerQueue:
    """Requested wake-up times, of which only the earliest is armed.

    >>> timer_queue = TimerQueue()
    >>> timer_queue.add(5.0)
    >>> timer_queue.arm_next(0.0), timer_queue.arm_next(1.0), timer_queue.arm_next(5.0)
    (5.0, None, None)
    """

    def __init__(self) -> None:
        self._times: list[float] = []
        self._armed_at: float | None = None

    def add(self, at: float) -> None:
        """Request a wake-up at `at`."""
        heapq.heappush(self._times, at)

    def arm_next(self, now: float) -> float | None:
        """Arm and return the earliest time; None if nothing earlier than the armed time is left."""
        if self._armed_at is not None and self._armed_at <= now:
            self._armed_at = None
            while self._times and self._times[0] <= now:
                heapq.heappop(self._times)
        if not self._times or (self._armed_at is not None and self._armed_at <= self._times[0]):
            return None
        self._armed_at = self._times[0]
        return self._armed_at
