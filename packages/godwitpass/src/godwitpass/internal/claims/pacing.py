"""When a shard's holder may write: its share of the store's writes, and back-off."""

import random

from godwitpass.internal.claims.keys import SHARDS

CLAIM_WRITES_PER_S = 100.0
"""Writes a second that all shards together take from the store."""

SHARD_WRITES_PER_S = CLAIM_WRITES_PER_S / SHARDS
BURST_WRITES = 4.0
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class Pacing:
    """A token bucket for one shard's writes."""

    def __init__(self, rate: float = SHARD_WRITES_PER_S) -> None:
        self._rate = rate
        self._tokens = BURST_WRITES
        self._at = 0.0

    def next_write(self, now: float) -> float:
        """Return when the next write may be sent, `now` or later."""
        self._refill(now)
        # Refilling rounds, so a wait for exactly one token may end a hair short of it.
        if self._tokens >= 1 - 1e-6:
            return now
        return now + (1 - self._tokens) / self._rate

    def take(self, now: float) -> None:
        """Count a write."""
        self._refill(now)
        self._tokens -= 1

    def _refill(self, now: float) -> None:
        self._tokens = min(BURST_WRITES, self._tokens + max(0.0, now - self._at) * self._rate)
        self._at = max(self._at, now)


class Backoff:
    """Doubling waits with jitter after failures of the store."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._failures = 0
        self.until = 0.0

    def record_failure(self, now: float) -> None:
        """Start or lengthen the wait."""
        ceiling = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** min(self._failures, 16))
        self._failures += 1
        self.until = now + self._random.uniform(ceiling / 2, ceiling)

    def record_success(self) -> None:
        """End the wait."""
        self._failures = 0
        self.until = 0.0
