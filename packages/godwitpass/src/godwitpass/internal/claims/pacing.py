"""Rate limit and back-off for a shard owner's writes to the store."""

import random

from godwitpass.internal.claims.keys import SHARD_COUNT

CLAIM_WRITES_PER_S = 100.0
"""Writes per second to the store of all shards together."""

SHARD_WRITES_PER_S = CLAIM_WRITES_PER_S / SHARD_COUNT
BURST_WRITES = 4.0
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class WriteLimiter:
    """Token bucket for the writes of one shard."""

    def __init__(self, writes_per_s: float = SHARD_WRITES_PER_S) -> None:
        self._writes_per_s = writes_per_s
        self._tokens = BURST_WRITES
        self._refilled_at = 0.0

    def compute_next_write_at(self, now: float) -> float:
        """Return the earliest time, `now` or later, at which a write may be sent."""
        self._refill(now)
        # Rounding can leave the bucket just below one token after exactly the computed wait.
        if self._tokens >= 1 - 1e-6:
            return now
        return now + (1 - self._tokens) / self._writes_per_s

    def record_write(self, now: float) -> None:
        """Take one token for a write that is sent now."""
        self._refill(now)
        self._tokens -= 1

    def _refill(self, now: float) -> None:
        self._tokens = min(
            BURST_WRITES, self._tokens + max(0.0, now - self._refilled_at) * self._writes_per_s
        )
        self._refilled_at = max(self._refilled_at, now)


class Backoff:
    """Exponential back-off with jitter after store failures.

    `until` is the time at which the current wait ends, 0.0 while there is none.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._failures = 0
        self.until = 0.0

    def record_failure(self, now: float) -> None:
        """Start a wait at `now`; its upper bound doubles with each failure in a row."""
        # The exponent is bounded so that the power can't overflow.
        max_wait_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** min(self._failures, 16))
        self._failures += 1
        self.until = now + self._random.uniform(max_wait_s / 2, max_wait_s)

    def record_success(self) -> None:
        """End the wait and reset its upper bound."""
        self._failures = 0
        self.until = 0.0
