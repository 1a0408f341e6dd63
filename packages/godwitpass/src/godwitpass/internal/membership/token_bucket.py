"""Rate limiting with a token bucket."""


class TokenBucket:
    """Limits a rate and its bursts; tokens stand for bytes or records."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_at = 0.0

    def available(self, now: float) -> float:
        """Return the tokens left at `now`; negative after an overdraft."""
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate_per_s)
        self._updated_at = now
        return self._tokens

    def take(self, amount: float) -> None:
        """Take `amount` tokens, even if fewer are left."""
        self._tokens -= amount
