"""Tokens that a daemon holds for one customer, and the demand that it expects."""

import math
from collections.abc import Iterator

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.quotas.messages import MAX_TOKENS
from godwitpass.internal.quotas.tuning import TOKEN_LIFE_S

DEMAND_TIME_S = 1.0
"""Time constant of the average rate of calls."""

MIN_EXPECTED_CALLS = 0.25
"""Calls expected within the life of a token from which tokens are asked for ahead, in messages
that are sent anyway."""

MIN_RENEWED_CALLS = 1.0
"""Calls expected within the life of a token from which it is worth a message of its own."""

RENEWAL_S = 0.1
"""Tokens with less time left are returned with the next request, which asks for new ones."""


class Lot(msgspec.Struct, eq=False):
    """Tokens of one grant that nobody uses yet."""

    owner: Address
    owner_session: int
    nonce: int
    expires_at: float
    count: int


class Demand:
    """Rate of calls as an exponential average."""

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._at = now

    def count_call(self, now: float) -> None:
        """Count one call."""
        self._rate = self.estimate(now) + 1 / DEMAND_TIME_S
        self._at = now

    def estimate(self, now: float) -> float:
        """Return the rate of calls a second."""
        return self._rate * math.exp(-max(0.0, now - self._at) / DEMAND_TIME_S)

    def choose_stock(self, now: float) -> int:
        """Return the number of tokens to hold for calls that are expected."""
        expected = self.estimate(now) * TOKEN_LIFE_S
        if expected < MIN_EXPECTED_CALLS:
            return 0
        return min(MAX_TOKENS // 2, math.ceil(expected))

    def is_worth_message(self, now: float) -> bool:
        """Tell whether tokens for expected calls are worth a message of their own."""
        return self.estimate(now) * TOKEN_LIFE_S >= MIN_RENEWED_CALLS


class Stock:
    """Tokens of one customer; those that expire first are used first."""

    def __init__(self) -> None:
        self._lots: list[Lot] = []

    def __len__(self) -> int:
        return sum(lot.count for lot in self._lots)

    @property
    def renew_at(self) -> float:
        """Return when the oldest tokens are due for renewal."""
        return self._lots[0].expires_at - RENEWAL_S if self._lots else math.inf

    def add(self, lot: Lot) -> None:
        """Add tokens."""
        self._lots.append(lot)
        self._lots.sort(key=_get_expiry)

    def take(self, now: float) -> Lot | None:
        """Take one token; return the lot that it belongs to, or None if there is none."""
        self.drop_expired(now)
        if not self._lots:
            return None
        lot = self._lots[0]
        lot.count -= 1
        if not lot.count:
            del self._lots[0]
        return lot

    def put_back(self, lot: Lot, now: float) -> None:
        """Put back one token of `lot`, unless it has expired."""
        if now >= lot.expires_at:
            return
        lot.count += 1
        if lot not in self._lots:
            self.add(lot)

    def clear(self) -> None:
        """Drop all tokens, also those of calls that return theirs later."""
        for lot in self._lots:
            lot.expires_at = -math.inf
        self._lots.clear()

    def drop_expired(self, now: float) -> None:
        """Drop expired tokens."""
        while self._lots and self._lots[0].expires_at <= now:
            del self._lots[0]

    def take_returns(
        self, owner: Address, owner_session: int, now: float
    ) -> Iterator[tuple[int, int]]:
        """Remove the tokens of an owner that are due for renewal; yield grant and number."""
        self.drop_expired(now)
        for lot in list(self._lots):
            if lot.expires_at - RENEWAL_S > now:
                return
            if (lot.owner, lot.owner_session) == (owner, owner_session):
                self._lots.remove(lot)
                count, lot.count = lot.count, 0
                yield lot.nonce, count


def _get_expiry(lot: Lot) -> float:
    return lot.expires_at
