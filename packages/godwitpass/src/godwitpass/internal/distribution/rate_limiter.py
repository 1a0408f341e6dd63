"""Rate limit on the full versions that a daemon serves.

It spreads out the requests of many daemons that start or reconnect at the same time.
"""

from godwitpass.internal.distribution.tuning import SNAPSHOTS_BURST, SNAPSHOTS_PER_S


class SnapshotRateLimiter:
    """A token bucket in which one token allows one full version."""

    def __init__(self) -> None:
        self._tokens = SNAPSHOTS_BURST
        self._updated_at = 0.0

    def try_acquire(self, now: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        refilled = self._tokens + (now - self._updated_at) * SNAPSHOTS_PER_S
        self._tokens = min(SNAPSHOTS_BURST, refilled)
        self._updated_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / SNAPSHOTS_PER_S
