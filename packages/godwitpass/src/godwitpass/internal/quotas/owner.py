"""Grants tokens of the customers that the reporting daemons entrust to this coordinator."""

import math
from collections.abc import Mapping

import msgspec

from godwitpass.ids import NO_VERSION, Address, CustomerName, Version
from godwitpass.internal.actions import MessageReceived, Send
from godwitpass.internal.quotas.buckets import Bucket, RateLimit, compute_bucket_size
from godwitpass.internal.quotas.electorate import find_owner, hash_address
from godwitpass.internal.quotas.messages import (
    ELECTORATE_HASH_BYTES,
    NO_SHARE_MS,
    Answer,
    Ask,
    Granted,
    Return,
    Stamp,
    Want,
)
from godwitpass.internal.quotas.settings import QuotaSettings
from godwitpass.internal.quotas.tuning import SETTLING_S, VOTE_LIFE_S
from godwitpass.internal.quotas.votes import Votes

MAX_ECHO_AGE_S = 10.0
"""Oldest stamp that dates a vote; drift of the clocks is under a millisecond in this time."""

ASKER_TTL_S = 10.0
COUNT_HOLD_S = 5.0
"""A number of daemons that another one reported is kept for one to two times this time."""

AHEAD_RESERVE = 0.5
"""Share of the capacity that is kept for calls that wait."""

MAX_RETRY_AFTER_S = 60.0
US_PER_S = 1_000_000

OwnedCustomers = dict[CustomerName, bool]


class LimitsChanged(msgspec.Struct, frozen=True):
    """`version` is in force, with these limits; customers without a limit are left out."""

    version: Version
    limits: Mapping[CustomerName, RateLimit]


class DaemonsCounted(msgspec.Struct, frozen=True):
    """The most daemons that this one knew lately."""

    count: int


OwnerEvent = LimitsChanged | DaemonsCounted | MessageReceived[Ask]


class _AskerState(msgspec.Struct):
    last_nonce: int
    heard_at: float
    start_number: int = 0


class QuotaOwner:
    """Owner of some customers; its credit grows by the share of daemons that vote for it.

    It starts without credit and keeps nothing. `now` is CLOCK_BOOTTIME in seconds.
    """

    def __init__(
        self, own_address: Address, session: int, settings: QuotaSettings, now: float
    ) -> None:
        self._own_hash = hash_address(own_address)
        self._session = session
        self._settings = settings
        self._settled_at = now + SETTLING_S
        self._limits: Mapping[CustomerName, RateLimit] | None = None
        self._version = NO_VERSION
        self._buckets: dict[CustomerName, Bucket] = {}
        self._filled_at: dict[CustomerName, float] = {}
        self._votes = Votes(now)
        self._owned: dict[bytes, OwnedCustomers] = {}
        self._askers: dict[tuple[Address, int], _AskerState] = {}
        self._pruned_at = now
        self._own_count = 1
        self._reported_counts = [1, 1]
        self._reported_until = now

    @property
    def vote_count(self) -> int:
        """Return the number of daemons that voted lately."""
        return len(self._votes)

    @property
    def daemon_count(self) -> int:
        """Return the number of daemons among which the credit is divided."""
        return max(self._own_count, *self._reported_counts, len(self._votes))

    def handle(self, event: OwnerEvent, now: float) -> list[Send[Answer]]:
        """Return the answers to a message; an `Ask` may arrive late, twice or out of order."""
        if isinstance(event, LimitsChanged):
            self._version = event.version
            self._change_limits(event.limits, now)
        elif isinstance(event, DaemonsCounted):
            self._fill_all(now)
            self._own_count = event.count
        else:
            answer = self._answer(event.sender, event.message, now)
            return [Send(event.sender, answer)] if answer is not None else []
        return []

    def _change_limits(self, limits: Mapping[CustomerName, RateLimit], now: float) -> None:
        self._fill_all(now)
        self._limits = limits
        buckets: dict[CustomerName, Bucket] = {}
        for customer, limit in limits.items():
            size = compute_bucket_size(limit, self._settings)
            bucket = buckets[customer] = self._buckets.get(customer) or Bucket(size)
            bucket.size = size
            bucket.marks = {e: self._votes.integrals[e] for e in self._votes.integrals}
            self._filled_at[customer] = now
            bucket.limit(self._compute_share(customer), now)
        self._buckets = buckets
        self._filled_at = {customer: self._filled_at[customer] for customer in buckets}

    def _answer(self, sender: Address, ask: Ask, now: float) -> Answer | None:
        if self._limits is None or now < self._settled_at:
            return None
        if not self._admit(sender, ask, now):
            return None
        self._report_count(ask.daemon_count, now)
        self._advance(now)
        self._vote(sender, ask, now)
        for item in ask.returns:
            self._take_back(sender, ask.session, item, now)
        grants = tuple(self._grant(sender, ask, want, now) for want in ask.wants)
        return Answer(
            ask.session, ask.nonce, Stamp(self._session, int(now * US_PER_S)), self._version, grants
        )

    def _admit(self, sender: Address, ask: Ask, now: float) -> bool:
        """Tell whether the message is new; a second copy must not return tokens again."""
        if now >= self._pruned_at + ASKER_TTL_S:
            self._pruned_at = now
            self._askers = {
                key: state
                for key, state in self._askers.items()
                if now < state.heard_at + ASKER_TTL_S
            }
        state = self._askers.get((sender, ask.session))
        if state is None:
            self._askers[sender, ask.session] = _AskerState(ask.nonce, now)
            return True
        if ask.nonce <= state.last_nonce:
            return False
        state.last_nonce, state.heard_at = ask.nonce, now
        return True

    def _report_count(self, count: int, now: float) -> None:
        if now >= self._reported_until:
            self._reported_until = now + COUNT_HOLD_S
            self._reported_counts = [self._reported_counts[1], 1]
        if count > self.daemon_count:
            # Credit up to now was divided among fewer daemons.
            self._fill_all(now)
        self._reported_counts[1] = max(self._reported_counts[1], count)

    def _vote(self, sender: Address, ask: Ask, now: float) -> None:
        electorate, echo = ask.electorate, ask.echo
        if not electorate or len(electorate) % ELECTORATE_HASH_BYTES:
            return
        if echo is None or echo.session != self._session:
            return
        elapsed_s = ask.elapsed_us / US_PER_S
        sent_at = min(now, echo.at_us / US_PER_S + elapsed_s)
        if elapsed_s <= MAX_ECHO_AGE_S and now < sent_at + VOTE_LIFE_S:
            self._votes.record(sender, electorate, sent_at + VOTE_LIFE_S)
            self._clip_after_losses(now)
            state = self._askers[sender, ask.session]
            if ask.start_number > state.start_number:
                state.start_number = ask.start_number
                self._add_start_credit(electorate, now)

    def _add_start_credit(self, electorate: bytes, now: float) -> None:
        """Add one daemon's start credit to the customers that it entrusts to this coordinator."""
        for customer, bucket in self._buckets.items():
            if self._is_own(customer, electorate):
                self._fill(customer, bucket, now)
                bucket.level += bucket.size.start_credit / self.daemon_count
                bucket.limit(self._compute_share(customer), now)

    def _take_back(self, sender: Address, session: int, item: Return, now: float) -> None:
        bucket = self._buckets.get(item.customer)
        if bucket is not None:
            self._fill(item.customer, bucket, now)
            bucket.give_back(sender, session, item.nonce, item.count)
            bucket.limit(self._compute_share(item.customer), now)

    def _grant(self, sender: Address, ask: Ask, want: Want, now: float) -> Granted:
        bucket = self._buckets.get(want.customer)
        if bucket is None:
            # This version has no limit for the customer: a newer one that has is not yet in force
            # everywhere, so its limit doesn't bind yet.
            return Granted(want.customer, want.waiting + want.ahead, 0)
        share = self._compute_share(want.customer)
        self._fill(want.customer, bucket, now)
        bucket.limit(share, now)
        if bucket.size.capacity * share < 1:
            return Granted(want.customer, 0, NO_SHARE_MS)
        # Tokens for expected calls often expire unused, so they leave a reserve for the others.
        ahead = min(want.ahead, int(bucket.level - AHEAD_RESERVE * bucket.size.capacity * share))
        wanted = want.waiting + max(0, ahead)
        count = bucket.take(wanted, sender, ask.session, ask.nonce, now)
        missing = want.waiting - count
        # Callers that were told to wait longer than a window have mostly given up.
        bucket.limit_debt(self._settings.window_s)
        if missing <= 0:
            return Granted(want.customer, count, 0)
        retry_after_s = min(bucket.refuse(missing, share), MAX_RETRY_AFTER_S)
        return Granted(want.customer, count, max(1, math.ceil(retry_after_s * 1000)))

    def _advance(self, now: float) -> None:
        self._votes.advance(now)
        self._clip_after_losses(now)

    def _clip_after_losses(self, now: float) -> None:
        """Discard the credit of votes that were lost, also if they have come back since."""
        votes = self._votes
        if not votes.lows:
            return
        for customer, bucket in self._buckets.items():
            self._fill(customer, bucket, now)
            bucket.limit(self._compute_share(customer, votes.lows), now)
        votes.clear_lows()
        for bucket in self._buckets.values():
            bucket.marks = {e: mark for e, mark in bucket.marks.items() if e in votes.counts}
        for electorate in [item for item in self._owned if item not in votes.counts]:
            del self._owned[electorate]

    def _fill_all(self, now: float) -> None:
        self._advance(now)
        for customer, bucket in self._buckets.items():
            self._fill(customer, bucket, now)

    def _fill(self, customer: CustomerName, bucket: Bucket, now: float) -> None:
        """Add the credit since the last call; expects that votes are advanced to `now`."""
        vote_s, marks = 0.0, {}
        for electorate, integral in self._votes.integrals.items():
            if self._is_own(customer, electorate):
                vote_s += integral - bucket.marks.get(electorate, 0.0)
                marks[electorate] = integral
        bucket.marks = marks
        elapsed_s = now - self._filled_at[customer]
        self._filled_at[customer] = now
        share_s = max(0.0, min(vote_s / self.daemon_count, elapsed_s))
        bucket.fill(share_s, elapsed_s)

    def _compute_share(
        self, customer: CustomerName, lows: Mapping[bytes, int] | None = None
    ) -> float:
        """Return the share of daemons that entrust the customer to this coordinator."""
        count = 0
        for electorate, current in self._votes.counts.items():
            if self._is_own(customer, electorate):
                count += lows.get(electorate, current) if lows else current
        return count / self.daemon_count

    def _is_own(self, customer: CustomerName, electorate: bytes) -> bool:
        owned = self._owned.setdefault(electorate, {})
        is_own = owned.get(customer)
        if is_own is None:
            is_own = owned[customer] = find_owner(customer, electorate) == self._own_hash
        return is_own
