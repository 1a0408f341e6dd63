"""Holds calls back from a failing store, so that a returning one isn't flooded."""

import random

TOLERATED_FAILURES = 2
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0


class CircuitBreaker:
    """Back-off with full jitter over consecutive failures; one probe at a time afterwards."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._failures = 0
        self._open_at = 0.0

    def allow_call(self, now: float) -> bool:
        """Decide whether a call may be sent at time `now`."""
        if self._failures <= TOLERATED_FAILURES:
            return True
        if now < self._open_at:
            return False
        # Further calls wait for the outcome of this one.
        self._open_at = now + MIN_BACKOFF_S
        return True

    def record_success(self) -> None:
        """End the back-off."""
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Start or lengthen the back-off."""
        self._failures += 1
        exponent = min(self._failures - TOLERATED_FAILURES, 16)
        ceiling = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0**exponent)
        self._open_at = now + self._random.uniform(MIN_BACKOFF_S, max(MIN_BACKOFF_S, ceiling))
