"""Retry budget: bounds retries and hedges to a share of the calls."""

RETRY_RATIO = 0.1
"""Tokens that a call adds to the budget; a retry or hedge costs one token."""

MAX_TOKENS = 10.0
INITIAL_TOKENS = 3.0


class RetryBudget:
    """Token bucket that the retries and hedges of one service share."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS

    def deposit(self) -> None:
        """Credit the budget for the first attempt of a call."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRY_RATIO)

    def withdraw(self) -> bool:
        """Spend a token for one retry or hedge; return False when there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
