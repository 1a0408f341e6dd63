"""Token bucket of one customer at one coordinator."""

from collections import deque

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.quotas.settings import QuotaSettings
from godwitpass.internal.quotas.tuning import OVERLAP_S, TOKEN_LIFE_S

MIN_CAPACITY = 2.0
START_SHARE = 0.25
"""Part of the capacity that a new owner gets at once instead, so that it need not start empty."""

RESERVE_S = 0.1
"""Calls within this time are the least capacity beside burst and slack.

Arrivals aren't regular: a bucket of one token refuses a third of them at two thirds of its rate.
"""

MAX_RESERVE_SHARE = 0.5
"""Largest share of the bound that is used as capacity at the cost of the rate."""


class RateLimit(msgspec.Struct, frozen=True):
    """Limit of one customer, as in the document."""

    rate_per_s: float
    burst: float


class BucketSize(msgspec.Struct, frozen=True):
    """Rate and capacity of the buckets of one customer at all coordinators together.

    `start_credit` is what all daemons together bring a new owner, at most once a window.
    """

    rate_per_s: float
    capacity: float
    start_credit: float

    @property
    def max_unexpired(self) -> float:
        """Return the most tokens in the bucket and in use at once."""
        return self.capacity + self.rate_per_s * TOKEN_LIFE_S


def compute_bucket_size(limit: RateLimit, settings: QuotaSettings) -> BucketSize:
    """Return a bucket that keeps the bound of `limit` in every window.

    Calls in a window use tokens of `TOKEN_LIFE_S` before it as well, and two coordinators may
    count the same daemon for `OVERLAP_S`. The rate is reduced where the capacity would be too small
    otherwise, by up to 5% in practice.

    >>> size = compute_bucket_size(RateLimit(190, 0), QuotaSettings(5, 0.1, 20))
    >>> round(size.rate_per_s, 1), size.capacity
    (183.2, 29.25)
    >>> size = compute_bucket_size(RateLimit(3, 0), QuotaSettings(5, 0.1, 20))
    >>> round(size.rate_per_s, 1), round(size.capacity, 1)
    (3.0, 14.8)
    """
    rate, span_s = limit.rate_per_s, settings.window_s + TOKEN_LIFE_S + OVERLAP_S
    bound = (rate * settings.window_s + limit.burst) * (1 + settings.overage) + settings.slack
    reserve = limit.burst + settings.slack + RESERVE_S * rate
    least = min(bound, max(MIN_CAPACITY, min(reserve, MAX_RESERVE_SHARE * bound)))
    capacity = max(bound - rate * span_s, least)
    start_credit = START_SHARE * capacity
    return BucketSize((bound - capacity) / span_s, capacity - start_credit, start_credit)


class _Grant(msgspec.Struct):
    asker: Address
    session: int
    nonce: int
    expires_at: float
    count: int


class Bucket:
    """Credit of one customer, and the tokens granted from it that may still be used.

    `marks` are the vote-seconds by electorate up to which credit was added.
    """

    def __init__(self, size: BucketSize) -> None:
        self.size = size
        self.level = 0.0
        self.marks: dict[bytes, float] = {}
        self._grants: deque[_Grant] = deque()
        self._unexpired = 0
        self._debt = 0.0

    def fill(self, share_s: float, elapsed_s: float) -> None:
        """Add the credit of `share_s`, the integral of this coordinator's share of votes."""
        self.level += self.size.rate_per_s * share_s
        self._debt = max(0.0, self._debt - self.size.rate_per_s * elapsed_s)

    def limit(self, share: float, now: float) -> None:
        """Discard credit beyond what this coordinator's share of votes allows."""
        grants = self._grants
        while grants and grants[0].expires_at <= now:
            self._unexpired -= grants.popleft().count
        size = self.size
        most = min(size.capacity * share, size.max_unexpired * share - self._unexpired)
        self.level = max(0.0, min(self.level, most))

    def take(self, wanted: int, asker: Address, session: int, nonce: int, now: float) -> int:
        """Grant up to `wanted` tokens; call `fill` and `limit` first."""
        count = min(wanted, int(self.level))
        if count:
            self.level -= count
            self._unexpired += count
            # At the asker they expire earlier, because it counts from sending the request.
            self._grants.append(_Grant(asker, session, nonce, now + TOKEN_LIFE_S, count))
        return count

    def give_back(self, asker: Address, session: int, nonce: int, count: int) -> None:
        """Take back unused tokens of one grant, unless they have expired."""
        for grant in self._grants:
            if (grant.nonce, grant.session, grant.asker) == (nonce, session, asker):
                count = min(count, grant.count)
                grant.count -= count
                self._unexpired -= count
                self.level += count
                return

    def limit_debt(self, max_s: float) -> None:
        """Forget refused calls beyond those that the rate admits in `max_s`."""
        self._debt = min(self._debt, self.size.rate_per_s * max_s)

    def refuse(self, count: int, share: float) -> float:
        """Return the time in seconds after which credit for `count` refused calls is back."""
        self._debt += count
        return (self._debt + max(0.0, 1 - self.level)) / (self.size.rate_per_s * share)
