"""Budget for the retries of all daemons; each uses its own share, without coordination."""

from collections import deque

import msgspec

BUCKET_S = 0.5
"""Resolution of the sliding window."""

SAFETY_FACTOR = 0.6
"""Share of the budget that is used, as nested calls of a retried call count as retries too."""


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """Allows `ratio` retries per call in any `window_s` seconds, and `slack` more.

    The slack is shared by all daemons.
    """

    ratio: float
    window_s: float
    slack: float


class _Bucket:
    """Counts in one part of the sliding window."""

    __slots__ = ("calls", "retries", "started_at")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.calls = 0
        self.retries = 0


class RetryBudget:
    """Counts the calls and retries of one daemon to one service in a sliding window."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._buckets: deque[_Bucket] = deque()
        self._calls = 0
        self._retries = 0

    def count_call(self, now: float) -> None:
        """Count the first attempt of a call."""
        self._get_current_bucket(now).calls += 1
        self._calls += 1

    def try_retry(self, now: float, daemon_count: int) -> bool:
        """Count a retry and return True if this daemon's share of the budget allows it."""
        bucket = self._get_current_bucket(now)
        settings = self._settings
        allowed = SAFETY_FACTOR * (
            settings.ratio * self._calls + settings.slack / max(1, daemon_count)
        )
        if self._retries + 1 > allowed:
            return False
        bucket.retries += 1
        self._retries += 1
        return True

    def _get_current_bucket(self, now: float) -> _Bucket:
        buckets = self._buckets
        while buckets and buckets[0].started_at < now - self._settings.window_s:
            oldest = buckets.popleft()
            self._calls -= oldest.calls
            self._retries -= oldest.retries
        if not buckets or now - buckets[-1].started_at >= BUCKET_S:
            buckets.append(_Bucket(now))
        return buckets[-1]
