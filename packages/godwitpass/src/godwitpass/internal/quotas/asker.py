"""Holds the tokens of one daemon, asks the owners for more and decides on the calls that wait."""

import math
import random
from collections import Counter, deque
from collections.abc import Iterator, Mapping

import msgspec

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address, CustomerName, Version
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.quotas import events
from godwitpass.internal.quotas.ballot import NO_VOTE, Ballot
from godwitpass.internal.quotas.buckets import RateLimit
from godwitpass.internal.quotas.electorate import rank_coordinators
from godwitpass.internal.quotas.interface import (
    Permit,
    QuotaAdmitted,
    QuotaDecision,
    QuotaRefused,
)
from godwitpass.internal.quotas.messages import (
    MAX_ENTRIES,
    MAX_TOKENS,
    NO_SHARE_MS,
    Answer,
    Ask,
    Granted,
    Return,
    Stamp,
    Want,
)
from godwitpass.internal.quotas.owner import LimitsChanged
from godwitpass.internal.quotas.settings import QuotaSettings
from godwitpass.internal.quotas.stock import Demand, Lot, Stock
from godwitpass.internal.quotas.tuning import OVERLAP_S, REPORT_INTERVAL_S, SETTLING_S, TOKEN_LIFE_S

ANSWER_TIMEOUT_S = 0.05
"""Time until a request is repeated; after twice this without any answer the next owner is asked.

A daemon on 0.43 of a core may be held up for most of one timeout by the scheduler.
"""

MAX_MISSES = 2
MAX_WAIT_S = 0.15
"""Time after which a call without a token is refused."""

ASK_INTERVAL_S = 0.05
"""Shortest time between requests to one coordinator for expected calls, or for calls of a customer
whose bucket was empty."""

MIN_ASK_INTERVAL_S = 0.01
"""Shortest time between requests to one coordinator for calls that wait; others join the next."""

PROBE_INTERVAL_S = 0.2
"""Interval of requests that find out whether a silent coordinator answers again."""

NO_SHARE_S = 0.1
"""Time for which a coordinator without credit for a customer isn't asked again."""

STAMP_LIFE_S = 5.0
"""Age from which any later stamp replaces the best one, because clocks drift."""

RETRY_SPREAD = 0.5
"""Callers that are refused come back over this much more than the time they are told."""

NO_OWNER_RETRY_AFTER_S = (0.1, 0.3)
FIRST_GRANT_SPREAD_S = 0.6
"""Time over which callers come back that were refused before any owner could grant."""

LOG_INTERVAL_S = 1.0
MAX_MESSAGE_NAME_BYTES = 700
"""Names in one message, so that it fits a datagram beside their numbers."""

NO_PERMIT = Permit(0)
US_PER_S = 1_000_000


class CoordinatorsChanged(msgspec.Struct, frozen=True):
    """These daemons coordinate; `daemon_count` is the most that this one knew lately."""

    coordinators: tuple[Address, ...]
    daemon_count: int


class CallArrived(msgspec.Struct, frozen=True):
    """A call needs a token; `call_id` names it in the decision."""

    call_id: int
    customer: CustomerName


class PermitReleased(msgspec.Struct, frozen=True):
    """A call that was admitted never reached an upstream."""

    customer: CustomerName
    permit: Permit


AskerEvent = (
    CoordinatorsChanged
    | LimitsChanged
    | CallArrived
    | PermitReleased
    | MessageReceived[Answer]
    | TimerFired
)


class Decide(msgspec.Struct, frozen=True):
    """Action: decides on a call, exactly once."""

    call_id: int
    decision: QuotaDecision


AskerAction = Send[Ask] | SetTimer | RecordEvent | Decide


class CustomerCounts(msgspec.Struct):
    """Calls of one customer since the daemon started, and those that wait."""

    granted: int = 0
    over_limit: int = 0
    no_owner: int = 0
    waiting: int = 0


class _WaitingCall(msgspec.Struct, eq=False):
    call_id: int
    expires_at: float


class _Customer(msgspec.Struct, eq=False):
    """`covered` counts waiting calls, and `ahead` expected ones, that were asked for."""

    demand: Demand
    stock: Stock
    counts: CustomerCounts
    waiting: deque[_WaitingCall]
    covered: int = 0
    ahead: int = 0
    empty_until: float = -math.inf
    without_share: dict[Address, float] = {}
    logged_at: float = -math.inf


class _Request(msgspec.Struct, eq=False):
    """A request; `is_counted` while its wants are counted as asked for."""

    sent_at: float
    wants: tuple[Want, ...]
    is_counted: bool = True


class _Coordinator(msgspec.Struct, eq=False):
    """What is known of one coordinator; `ask_at` is when the next request is due."""

    last_sent_at: float = -math.inf
    ask_at: float = math.inf
    stamp: Stamp | None = None
    stamped_at: float = 0.0
    is_silent: bool = False
    unanswered_since: float = math.inf
    requests: dict[int, _Request] = {}


class QuotaAsker:
    """Tokens of one daemon; `now` is CLOCK_BOOTTIME in seconds.

    Tokens expire `TOKEN_LIFE_S` after the request for them was sent, so neither a late answer nor a
    pause of this process makes a token last longer.
    """

    def __init__(
        self, session: int, settings: QuotaSettings, rng: random.Random, now: float
    ) -> None:
        self._session = session
        self._settled_at = now + SETTLING_S
        self._rng = rng
        self._ballot = Ballot(settings.window_s + TOKEN_LIFE_S + OVERLAP_S, now)
        self._nonce = 0
        self._daemon_count = 1
        self._limits: Mapping[CustomerName, RateLimit] = {}
        self._lowered_in: dict[CustomerName, Version] = {}
        self._customers: dict[CustomerName, _Customer] = {}
        # Those with calls that wait, tokens or requests, so that idle ones cost nothing.
        self._busy: dict[CustomerName, _Customer] = {}
        self._coordinators: dict[Address, _Coordinator] = {}
        self._ranks: dict[CustomerName, tuple[Address, ...]] = {}
        self._permits: dict[Permit, Lot] = {}
        self._permit_order: deque[Permit] = deque()
        self._last_permit = 0
        self._timer_at = math.inf
        self.counts: Counter[str] = Counter()

    @property
    def is_active(self) -> bool:
        """Return whether any customer has a limit."""
        return bool(self._limits)

    @property
    def coordinators(self) -> tuple[Address, ...]:
        """Return the daemons that coordinate, as far as known here."""
        return tuple(self._coordinators)

    def list_counts(self) -> Iterator[tuple[CustomerName, CustomerCounts]]:
        """Yield the counts of the customers that this daemon has had calls of."""
        for name, customer in self._customers.items():
            customer.counts.waiting = len(customer.waiting)
            yield name, customer.counts

    def handle(self, event: AskerEvent, now: float) -> list[AskerAction]:
        """Return the actions that `event` causes."""
        actions: list[AskerAction] = []
        if isinstance(event, CallArrived):
            actions += self._take(event, now)
        elif isinstance(event, PermitReleased):
            self._release(event, now)
            return []
        elif isinstance(event, MessageReceived):
            actions += self._receive(event.sender, event.message, now)
        elif isinstance(event, CoordinatorsChanged):
            actions += self._change_coordinators(event, now)
        elif isinstance(event, LimitsChanged):
            actions += self._change_limits(event, now)
        elif now < self._timer_at:
            return []
        else:
            self._timer_at = math.inf
        actions += self._run_due(now)
        return actions

    def _change_limits(self, event: LimitsChanged, now: float) -> Iterator[AskerAction]:
        """Use other limits; tokens that were granted by a higher one are dropped."""
        for name in [item for item in self._customers if item not in event.limits]:
            self._busy.pop(name, None)
            for call in self._customers.pop(name).waiting:
                yield Decide(call.call_id, QuotaAdmitted(NO_PERMIT))
        for name, limit in event.limits.items():
            previous = self._limits.get(name)
            if (
                previous is None
                or limit.rate_per_s < previous.rate_per_s
                or limit.burst < previous.burst
            ):
                self._lowered_in[name] = event.version
                if name in self._customers:
                    self._customers[name].stock.clear()
                self._permits.clear()
        if not self._limits:
            # Spread, because a new version reaches all daemons at about the same time.
            for state in self._coordinators.values():
                state.ask_at = now + self._rng.random() * REPORT_INTERVAL_S
        self._limits = event.limits
        self._ranks.clear()

    def _change_coordinators(self, event: CoordinatorsChanged, now: float) -> Iterator[AskerAction]:
        self._daemon_count = event.daemon_count
        if set(event.coordinators) == set(self._coordinators):
            return
        for address in [item for item in self._coordinators if item not in event.coordinators]:
            for request in self._coordinators.pop(address).requests.values():
                self._uncount(request)
        for address in event.coordinators:
            if address not in self._coordinators:
                ask_at = now + self._rng.random() * ANSWER_TIMEOUT_S
                self._coordinators[address] = _Coordinator(ask_at=ask_at, requests={})
        self._ranks.clear()
        self._choose_electorate(now)
        self._schedule_uncovered(now)
        yield RecordEvent(
            events.COORDINATORS_CHANGED,
            {"coordinators": ",".join(event.coordinators), "daemons": event.daemon_count},
        )

    def _choose_electorate(self, now: float) -> None:
        live = [a for a, state in self._coordinators.items() if not state.is_silent]
        self._ballot.choose(live or list(self._coordinators))
        for address in live:
            state = self._coordinators[address]
            state.ask_at = min(state.ask_at, max(now, self._ballot.votes_from))

    # Calls.

    def _take(self, event: CallArrived, now: float) -> Iterator[AskerAction]:
        if event.customer not in self._limits:
            yield Decide(event.call_id, QuotaAdmitted(NO_PERMIT))
            return
        customer = self._customers.get(event.customer)
        if customer is None:
            customer = self._customers[event.customer] = _Customer(
                Demand(now), Stock(), CustomerCounts(), deque(), without_share={}
            )
        self._busy[event.customer] = customer
        customer.demand.count_call(now)
        # Calls that wait go first.
        lot = customer.stock.take(now) if not customer.waiting else None
        if lot is not None:
            yield Decide(event.call_id, self._admit(customer, lot, now))
        else:
            customer.waiting.append(_WaitingCall(event.call_id, now + MAX_WAIT_S))
        self._schedule(event.customer, customer, now)

    def _admit(self, customer: _Customer, lot: Lot, now: float) -> QuotaAdmitted:
        customer.counts.granted += 1
        while self._permit_order and (
            self._permit_order[0] not in self._permits
            or self._permits[self._permit_order[0]].expires_at <= now
        ):
            self._permits.pop(self._permit_order.popleft(), None)
        self._last_permit += 1
        permit = Permit(self._last_permit)
        self._permits[permit] = lot
        self._permit_order.append(permit)
        return QuotaAdmitted(permit)

    def _release(self, event: PermitReleased, now: float) -> None:
        lot = self._permits.pop(event.permit, None)
        customer = self._customers.get(event.customer)
        if lot is not None and customer is not None:
            customer.stock.put_back(lot, now)
            self._busy[event.customer] = customer

    def _serve(self, customer: _Customer, now: float) -> Iterator[AskerAction]:
        while customer.waiting:
            lot = customer.stock.take(now)
            if lot is None:
                return
            call = customer.waiting.popleft()
            yield Decide(call.call_id, self._admit(customer, lot, now))

    def _refuse_over_limit(
        self, name: CustomerName, customer: _Customer, count: int, retry_after_ms: int, now: float
    ) -> Iterator[AskerAction]:
        for _ in range(min(count, len(customer.waiting))):
            call = customer.waiting.popleft()
            customer.counts.over_limit += 1
            retry_after_s = retry_after_ms / 1000 * (1 + RETRY_SPREAD * self._rng.random())
            refusal = QuotaRefused(429, "beyond the rate limit", retry_after_s)
            yield Decide(call.call_id, refusal)
        fields: dict[str, FieldValue] = {"retry_after_ms": retry_after_ms}
        yield from self._log(events.CUSTOMER_LIMITED, name, customer, fields, now)

    def _refuse_expired(
        self, name: CustomerName, customer: _Customer, now: float
    ) -> Iterator[AskerAction]:
        if not customer.waiting or customer.waiting[0].expires_at > now:
            return
        while customer.waiting and customer.waiting[0].expires_at <= now:
            call = customer.waiting.popleft()
            customer.counts.no_owner += 1
            retry_after_s = self._choose_retry_after_s(now)
            refusal = QuotaRefused(503, "no owner of the rate limit answers", retry_after_s)
            yield Decide(call.call_id, refusal)
        silent = [a for a, state in self._coordinators.items() if state.is_silent]
        yield from self._log(events.NO_OWNER, name, customer, {"silent": ",".join(silent)}, now)

    def _choose_retry_after_s(self, now: float) -> float:
        """Return when a caller that got no answer of an owner has a chance.

        After a loss of power everywhere no owner grants before it has settled. Callers that come
        back sooner use up their few retries for nothing.
        """
        settling_s = self._settled_at - now
        if settling_s > 0:
            return settling_s + FIRST_GRANT_SPREAD_S * self._rng.random()
        return self._rng.uniform(*NO_OWNER_RETRY_AFTER_S)

    def _log(
        self,
        kind: EventKind,
        name: CustomerName,
        customer: _Customer,
        fields: dict[str, FieldValue],
        now: float,
    ) -> Iterator[AskerAction]:
        if now < customer.logged_at + LOG_INTERVAL_S:
            return
        customer.logged_at = now
        counts = customer.counts
        yield RecordEvent(
            kind,
            {
                "customer": name,
                "granted": counts.granted,
                "over_limit": counts.over_limit,
                "no_owner": counts.no_owner,
                **fields,
            },
        )

    # Requests.

    def _choose_coordinator(
        self, name: CustomerName, customer: _Customer, now: float
    ) -> Address | None:
        """Return the first-ranked coordinator that answers and has credit, as far as known."""
        ranked = self._ranks.get(name)
        if ranked is None:
            ranked = self._ranks[name] = rank_coordinators(name, self._coordinators)
        live = [address for address in ranked if not self._coordinators[address].is_silent]
        for address in live:
            if customer.without_share.get(address, 0.0) <= now:
                return address
        return next(iter(live or ranked), None)

    def _schedule(self, name: CustomerName, customer: _Customer, now: float) -> None:
        """Let the next request be sent in time for the calls that wait and are expected."""
        address = self._choose_coordinator(name, customer, now)
        if address is None:
            return
        state = self._coordinators[address]
        if len(customer.waiting) > customer.covered:
            is_empty = now < customer.empty_until
            interval_s = ASK_INTERVAL_S if is_empty else MIN_ASK_INTERVAL_S
            state.ask_at = min(state.ask_at, max(now, state.last_sent_at + interval_s))
        elif customer.demand.is_worth_message(now) and self._count_missing(customer, now) > 0:
            state.ask_at = min(state.ask_at, max(now, state.last_sent_at + ASK_INTERVAL_S))

    def _schedule_uncovered(self, now: float) -> None:
        for name, customer in self._busy.items():
            if len(customer.waiting) > customer.covered:
                self._schedule(name, customer, now)

    def _count_missing(self, customer: _Customer, now: float) -> int:
        """Return the tokens to ask for ahead."""
        target = customer.demand.choose_stock(now)
        if not target or now < customer.empty_until:
            return 0
        customer.stock.drop_expired(now)
        held = 0 if customer.stock.renew_at <= now else len(customer.stock)
        missing = target - held - customer.ahead
        return missing if missing > target // 2 else 0

    def _run_due(self, now: float) -> Iterator[AskerAction]:
        if not self._limits:
            return
        for name, customer in list(self._busy.items()):
            yield from self._refuse_expired(name, customer, now)
            customer.stock.drop_expired(now)
            if not (customer.waiting or customer.covered or customer.ahead or len(customer.stock)):
                del self._busy[name]
            elif customer.stock.renew_at <= now:
                self._schedule(name, customer, now)
        for address, state in self._coordinators.items():
            yield from self._check_answers(address, state, now)
        for address, state in self._coordinators.items():
            interval_s = PROBE_INTERVAL_S if state.is_silent else REPORT_INTERVAL_S
            if now >= min(state.ask_at, state.last_sent_at + interval_s):
                yield from self._ask(address, state, now)
        yield from self._set_timer(now)

    def _check_answers(
        self, address: Address, state: _Coordinator, now: float
    ) -> Iterator[AskerAction]:
        """Count requests without an answer as missed, and ask again or elsewhere."""
        has_missed = False
        for nonce, request in list(state.requests.items()):
            if request.is_counted and now >= request.sent_at + ANSWER_TIMEOUT_S:
                self._uncount(request)
                has_missed = True
            if now >= request.sent_at + TOKEN_LIFE_S:
                del state.requests[nonce]
        if not has_missed:
            return
        is_overdue = now >= state.unanswered_since + MAX_MISSES * ANSWER_TIMEOUT_S
        if is_overdue and not state.is_silent:
            state.is_silent = True
            self._choose_electorate(now)
            yield RecordEvent(events.COORDINATOR_SILENT, {"coordinator": address})
        elif not state.is_silent:
            state.ask_at = min(state.ask_at, now)
        self._schedule_uncovered(now)

    def _uncount(self, request: _Request) -> None:
        if not request.is_counted:
            return
        request.is_counted = False
        for want in request.wants:
            customer = self._customers.get(want.customer)
            if customer is not None:
                customer.covered = max(0, customer.covered - want.waiting)
                customer.ahead = max(0, customer.ahead - want.ahead)

    def _ask(self, address: Address, state: _Coordinator, now: float) -> Iterator[AskerAction]:
        wants, returns = self._collect(address, state, now)
        state.ask_at = math.inf
        state.last_sent_at = now
        self._nonce += 1
        electorate = NO_VOTE if state.is_silent else self._ballot.cast(now)
        elapsed_us = max(0, int((now - state.stamped_at) * US_PER_S)) if state.stamp else 0
        state.requests[self._nonce] = _Request(now, wants)
        state.unanswered_since = min(state.unanswered_since, now)
        self.counts["asked"] += 1
        yield Send(
            address,
            Ask(
                self._session,
                self._nonce,
                self._daemon_count,
                electorate,
                self._ballot.get_start_number(now) if electorate else 0,
                state.stamp,
                elapsed_us,
                wants,
                returns,
            ),
        )

    def _collect(
        self, address: Address, state: _Coordinator, now: float
    ) -> tuple[tuple[Want, ...], tuple[Return, ...]]:
        """Return what to ask from a coordinator and to return to it, as far as it fits."""
        wants: list[Want] = []
        returns: list[Return] = []
        name_bytes = 0
        for name, customer in self._busy.items():
            if len(wants) + len(returns) >= MAX_ENTRIES or name_bytes > MAX_MESSAGE_NAME_BYTES:
                # What doesn't fit goes with the next message.
                self._schedule_uncovered(now)
                break
            if self._choose_coordinator(name, customer, now) != address:
                continue
            waiting = max(0, len(customer.waiting) - customer.covered)
            ahead = self._count_missing(customer, now)
            if state.stamp is not None:
                for nonce, count in customer.stock.take_returns(address, state.stamp.session, now):
                    returns.append(Return(nonce, name, count))
                    name_bytes += len(name)
            if waiting or ahead:
                want = Want(name, min(waiting, MAX_TOKENS // 2), min(ahead, MAX_TOKENS // 2))
                customer.covered += want.waiting
                customer.ahead += want.ahead
                wants.append(want)
                name_bytes += len(name)
        return tuple(wants[:MAX_ENTRIES]), tuple(returns[:MAX_ENTRIES])

    # Answers.

    def _receive(self, sender: Address, answer: Answer, now: float) -> Iterator[AskerAction]:
        state = self._coordinators.get(sender)
        if state is None or answer.session != self._session:
            return
        request = state.requests.pop(answer.nonce, None)
        if request is None:
            # A second copy, or the tokens have expired.
            return
        state.unanswered_since = math.inf
        self._keep_stamp(state, answer.stamp, now)
        if state.is_silent:
            state.is_silent = False
            self._choose_electorate(now)
            yield RecordEvent(events.COORDINATOR_BACK, {"coordinator": sender})
        was_counted = request.is_counted
        self._uncount(request)
        wants = {want.customer: want for want in request.wants}
        for granted in answer.grants:
            want, customer = wants.get(granted.customer), self._customers.get(granted.customer)
            if answer.version < self._lowered_in.get(granted.customer, 0):
                # The owner doesn't know the lower limit yet; another request follows.
                if customer is not None:
                    customer.empty_until = now + ASK_INTERVAL_S
                    self._schedule(granted.customer, customer, now)
            elif want is not None and customer is not None:
                lot = Lot(
                    sender,
                    answer.stamp.session,
                    answer.nonce,
                    request.sent_at + TOKEN_LIFE_S,
                    granted.count,
                )
                if granted.count:
                    customer.stock.add(lot)
                    customer.without_share.pop(sender, None)
                yield from self._settle(sender, customer, want, granted, was_counted, now)

    def _keep_stamp(self, state: _Coordinator, stamp: Stamp, now: float) -> None:
        """Keep the stamp that dates votes best; vote soon after the first one."""
        previous = state.stamp
        if previous is None or previous.session != stamp.session:
            state.ask_at = min(state.ask_at, max(now, self._ballot.votes_from))
        elif previous.at_us + (now - state.stamped_at) * US_PER_S >= stamp.at_us and (
            now < state.stamped_at + STAMP_LIFE_S
        ):
            return
        state.stamp, state.stamped_at = stamp, now

    def _settle(
        self,
        sender: Address,
        customer: _Customer,
        want: Want,
        granted: Granted,
        was_counted: bool,
        now: float,
    ) -> Iterator[AskerAction]:
        """Decide on waiting calls after an answer."""
        yield from self._serve(customer, now)
        if granted.retry_after_ms == NO_SHARE_MS:
            customer.without_share[sender] = now + NO_SHARE_S
        elif granted.retry_after_ms > 0:
            customer.empty_until = now + min(ASK_INTERVAL_S, granted.retry_after_ms / 1000)
            if was_counted:
                missing = max(0, want.waiting - granted.count)
                yield from self._refuse_over_limit(
                    want.customer, customer, missing, granted.retry_after_ms, now
                )
        self._schedule(want.customer, customer, now)

    def _set_timer(self, now: float) -> Iterator[AskerAction]:
        due_at = math.inf
        for state in self._coordinators.values():
            interval_s = PROBE_INTERVAL_S if state.is_silent else REPORT_INTERVAL_S
            due_at = min(due_at, state.ask_at, state.last_sent_at + interval_s)
            for request in state.requests.values():
                if request.is_counted:
                    due_at = min(due_at, request.sent_at + ANSWER_TIMEOUT_S)
        for customer in self._busy.values():
            if customer.waiting:
                due_at = min(due_at, customer.waiting[0].expires_at)
            if customer.stock.renew_at > now and customer.demand.is_worth_message(now):
                due_at = min(due_at, customer.stock.renew_at)
        if due_at < self._timer_at:
            self._timer_at = max(due_at, now)
            yield SetTimer(self._timer_at)
