"""Counts that fall late, for shares that must not grow with what a daemon can't see."""


class HighestCount:
    """The highest count within the last one to two times `hold_s`."""

    def __init__(self, hold_s: float) -> None:
        self._hold_s = hold_s
        self._period_ends_at = 0.0
        self._previous = 0
        self._current = 0

    def update(self, count: int, now: float) -> int:
        """Record a count, and return the highest one.

        >>> daemons = HighestCount(hold_s=60)
        >>> [daemons.update(count, now) for count, now in ((10, 0), (3, 50), (3, 110), (3, 180))]
        [10, 10, 10, 3]
        """
        if now >= self._period_ends_at:
            is_recent = now < self._period_ends_at + self._hold_s
            self._previous, self._current = (self._current if is_recent else 0), 0
            self._period_ends_at = now + self._hold_s
        self._current = max(self._current, count)
        return max(self._current, self._previous)
