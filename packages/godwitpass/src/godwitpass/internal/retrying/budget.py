"""A budget of repeated attempts that grows with first attempts."""

RETRY_RATIO = 0.1
"""Repeated attempts allowed for each first attempt."""

MAX_TOKENS = 10.0
INITIAL_TOKENS = 3.0


class RetryBudget:
    """A token bucket; retries and hedges of one service draw from the same bucket."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS

    def deposit(self) -> None:
        """Count one first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRY_RATIO)

    def withdraw(self) -> bool:
        """Take one repeated attempt out; False when the budget is spent."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
