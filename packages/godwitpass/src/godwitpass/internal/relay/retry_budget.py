"""Budget for the retries of all daemons; each uses its own share, without coordination."""

from collections import deque

import msgspec

from godwitpass.events import FieldValue

BUCKET_S = 0.5
"""Resolution of the sliding window."""

SAFETY_FACTOR = 0.6
"""Share of the budget that is used, as nested calls of a retried call count as retries too."""


SETTLING_S = 2.0
"""Time after its start in which a daemon may not know the others yet."""


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """Allows `ratio` retries per call in any `window_s` seconds, and `slack` more.

    The slack is shared by all daemons.
    """

    ratio: float
    window_s: float
    slack: float


class DaemonShare:
    """The share of one daemon in what all daemons may use together in any window.

    The share of a daemon that has just started grows from nothing over one window: it may not know
    the others yet, and what it used before its start is forgotten. The number of daemons never
    falls, because those that a partition hides still use theirs.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self.daemon_count = 1

    def compute(self, now: float, daemon_count: int, window_s: float) -> float:
        """Return the share of this daemon, from 0 to 1, when it knows `daemon_count` daemons."""
        self.daemon_count = max(self.daemon_count, daemon_count)
        grown = (now - self._started_at - SETTLING_S) / window_s
        return min(1.0, max(0.0, grown)) / self.daemon_count


class _Bucket:
    """Counts in one part of the sliding window."""

    __slots__ = ("calls", "retries", "started_at")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.calls = 0
        self.retries = 0.0


class RetryBudget:
    """Counts the calls and retries of one daemon to one service in a sliding window."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._buckets: deque[_Bucket] = deque()
        self._calls = 0
        self._retries = 0.0

    def count_call(self, now: float) -> None:
        """Count the first attempt of a call."""
        self._get_current_bucket(now).calls += 1
        self._calls += 1

    def describe(self, slack_share: float) -> dict[str, FieldValue]:
        """Return log fields: the retries in the window, and how many are allowed."""
        return {"retries": int(self._retries), "allowed": int(self._compute_allowed(slack_share))}

    def try_retry(
        self, now: float, slack_share: float, cost: float = 1.0, part: float = 1.0
    ) -> bool:
        """Count a retry and return True if `part` of this daemon's budget allows it.

        `cost` is the number of runs that it repeats, those of its nested calls included.
        """
        bucket = self._get_current_bucket(now)
        if self._retries + cost > part * self._compute_allowed(slack_share):
            return False
        bucket.retries += cost
        self._retries += cost
        return True

    def _compute_allowed(self, slack_share: float) -> float:
        settings = self._settings
        return SAFETY_FACTOR * (settings.ratio * self._calls + settings.slack * slack_share)

    def _get_current_bucket(self, now: float) -> _Bucket:
        buckets = self._buckets
        while buckets and buckets[0].started_at < now - self._settings.window_s:
            oldest = buckets.popleft()
            self._calls -= oldest.calls
            self._retries -= oldest.retries
        if not buckets or now - buckets[-1].started_at >= BUCKET_S:
            buckets.append(_Bucket(now))
        return buckets[-1]
