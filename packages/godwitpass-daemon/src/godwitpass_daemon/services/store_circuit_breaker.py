"""Holds back calls to a failing store, so that it isn't overloaded when it recovers."""

import random

TOLERATED_FAILURES = 2
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_BACKOFF_DOUBLINGS = 16
"""Limit of the exponent, since a power of 2.0 overflows after about 1000 failures."""


class CircuitBreaker:
    """Blocks all calls but single probes after more than `TOLERATED_FAILURES` failures in a row.

    The back-off is random between `MIN_BACKOFF_S` and a bound that doubles with each failure.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._failures = 0
        self._next_probe_at = 0.0

    def allow_call(self, now: float) -> bool:
        """Return whether a call may be sent at time `now`."""
        if self._failures <= TOLERATED_FAILURES:
            return True
        if now < self._next_probe_at:
            return False
        # Block other calls until the outcome of this one is known or `MIN_BACKOFF_S` is over.
        self._next_probe_at = now + MIN_BACKOFF_S
        return True

    def record_success(self) -> None:
        """Record a success, which ends the back-off."""
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Record a failure, which starts or extends the back-off."""
        self._failures += 1
        exponent = min(self._failures - TOLERATED_FAILURES, MAX_BACKOFF_DOUBLINGS)
        max_backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0**exponent)
        self._next_probe_at = now + self._random.uniform(
            MIN_BACKOFF_S, max(MIN_BACKOFF_S, max_backoff_s)
        )
