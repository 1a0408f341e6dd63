"""Limits how many whole versions a daemon serves, so that a returning herd spreads out."""

from godwitpass.internal.distribution.tuning import SNAPSHOTS_BURST, SNAPSHOTS_PER_S


class SnapshotRateLimiter:
    """A token bucket; tokens are whole versions."""

    def __init__(self) -> None:
        self._tokens = SNAPSHOTS_BURST
        self._updated = 0.0

    def try_acquire(self, now: float) -> float:
        """Take a token and return 0, or return the seconds until there is one."""
        refilled = self._tokens + (now - self._updated) * SNAPSHOTS_PER_S
        self._tokens = min(SNAPSHOTS_BURST, refilled)
        self._updated = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / SNAPSHOTS_PER_S
