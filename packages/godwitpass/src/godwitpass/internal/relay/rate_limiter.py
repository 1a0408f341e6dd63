"""Rate limit that an upstream names for the requests of all callers together."""

BURST_S = 0.25
"""Time whose requests may be sent at once after a pause."""


class RateLimiter:
    """Paces the requests to one upstream by the limit that its newest response names.

    The daemon beside the upstream sends it all requests, so no coordination is needed. Times are in
    seconds on a monotonic clock, rates in requests a second.
    """

    def __init__(self) -> None:
        self.rate_per_s: float | None = None
        self._has_missed = False
        self._tokens = 0.0
        self._updated_at = 0.0

    def record_response(self, rate_per_s: float | None, now: float) -> None:
        """Use the limit that a response names; the second in a row that names none lifts it.

        Responses of several connections may arrive in another order than they were sent in.
        """
        is_first_without = rate_per_s is None and not self._has_missed
        self._has_missed = rate_per_s is None
        if not is_first_without:
            self.set_rate(rate_per_s, now)

    def set_rate(self, rate_per_s: float | None, now: float) -> None:
        """Use a limit from now on; None lifts it."""
        if rate_per_s == self.rate_per_s:
            return
        if self.rate_per_s is None:
            # What was sent a moment ago counts, so nothing is saved up yet.
            self._tokens, self._updated_at = 0.0, now
        else:
            self._refill(now)
        self.rate_per_s = rate_per_s

    def allows(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        return self.estimate_delay_s(0, now) <= 0.0

    def record_sent(self, now: float) -> None:
        """Count a request."""
        if self.rate_per_s is not None:
            self._refill(now)
            self._tokens -= 1.0

    def estimate_delay_s(self, ahead_count: int, now: float) -> float:
        """Return the seconds until a request behind `ahead_count` others may be sent."""
        if self.rate_per_s is None:
            return 0.0
        self._refill(now)
        return max(0.0, (1.0 + ahead_count - self._tokens) / self.rate_per_s)

    def _refill(self, now: float) -> None:
        assert self.rate_per_s is not None, "an upstream without a limit needs no tokens"
        burst = max(1.0, BURST_S * self.rate_per_s)
        elapsed_s = max(0.0, now - self._updated_at)
        self._tokens = min(burst, self._tokens + elapsed_s * self.rate_per_s)
        self._updated_at = now
