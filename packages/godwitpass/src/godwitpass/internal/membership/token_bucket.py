"""A token bucket."""


class TokenBucket:
    """Grants amounts at a bounded rate with a bounded burst."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_at = 0.0

    def available(self, now: float) -> float:
        """Return how much may be taken."""
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate_per_s)
        self._updated_at = now
        return self._tokens

    def take(self, amount: float) -> None:
        """Take `amount`, which may leave a debt."""
        self._tokens -= amount
