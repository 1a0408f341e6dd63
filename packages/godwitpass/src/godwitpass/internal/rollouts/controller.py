"""The controller of roll-outs on a daemon that reads the store: `handle(event, now) -> actions`.

Every reader watches the orders. The first-ranked candidate of a service controls its roll-outs; a
candidate with a lower rank does so while agents report to it, or while it hears none ranked before.
"""

import math
import random
from collections.abc import Callable, Sequence

import msgspec

from godwitpass.events import FieldValue
from godwitpass.ids import NO_REVISION, Address, Revision, ServiceName
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.requests import (
    Answer as StoreAnswer,
)
from godwitpass.internal.requests import (
    EntriesRead,
    Get,
    List,
    Put,
    RequestFailed,
    Watch,
)
from godwitpass.internal.revisions import NamedRevisions
from godwitpass.internal.rollouts import events
from godwitpass.internal.rollouts.messages import Message, Poke, Report
from godwitpass.internal.rollouts.records import InvalidOrder, Order, Phase, RolloutSource
from godwitpass.internal.rollouts.rollout import Rollout
from godwitpass.mesh import Member
from godwitpass.store import Entry

WATCH_TIMEOUT_S = 2.0
RECHECK_S = 1.0
"""Duration of a watch after an answer with orders; the next one asks again what it covered."""

ANSWER_GRACE_S = 3.0
"""A request without an answer fails this long after its timeout."""

MIN_RETRY_S, MAX_RETRY_S = 0.3, 0.9
STORE_VALID_S = 3.0
"""A controller without an answer of the store for this long permits no canary."""

TICK_S = 0.1
POKE_INTERVAL_S = 0.4
MAX_CANDIDATES = 8
"""Candidates that are told who controls; those ranked lower only act on reports."""

HEARD_S = 0.8
"""A daemon or another controller that was heard within this time isn't poked or replaced."""

RANK_DELAY_S = 0.4
REPORTS_VALID_S = 2.0
"""A candidate controls a service this long after a report that reached it."""

ANNOUNCE_FINAL_S = 10.0
"""Longest time in which a controller tells the agents of a final record."""


class ReaderChanged(msgspec.Struct, frozen=True):
    """Event: whether this daemon reads the store."""

    is_reader: bool


ControllerEvent = ReaderChanged | MessageReceived[Message] | TimerFired | StoreAnswer
ControllerAction = Send[Message] | SetTimer | RecordEvent | Get | List | Put | Watch


class _Control(msgspec.Struct):
    """Whether this daemon controls a service, and whom it has heard about it."""

    rollout: Rollout
    is_acting: bool = False
    reported_at: float = -math.inf
    poked_at: float = -math.inf
    poked_rank: int = 0
    next_poke_at: float = 0.0
    ordered_at: float = 0.0
    announced: tuple[object, ...] = ()


class Controller:
    """Reads the orders, and controls the roll-outs of the services for which it is responsible.

    `list_members` returns all live daemons, `list_candidates` the candidates by rank.
    """

    def __init__(
        self,
        own: Address,
        exposure_share: float,
        source: RolloutSource,
        rng: random.Random,
        list_members: Callable[[], Sequence[Member]],
        list_candidates: Callable[[ServiceName], Sequence[Address]],
    ) -> None:
        self._own = own
        self._exposure_share = exposure_share
        self._source = source
        self._random = rng
        self._list_members = list_members
        self._list_candidates = list_candidates
        self._controls: dict[ServiceName, _Control] = {}
        self._is_reader = False
        self._last_tag = 0
        self._order_tag = 0
        self._is_listing = False
        self._is_retrying = False
        self._order_deadline = math.inf
        self._orders_revision: Revision | None = None
        self._listed_revisions: dict[str, Revision] = {}
        self._has_listed = False
        self._named = NamedRevisions()
        self._asked_revision = NO_REVISION
        self._has_history_ended = False
        self._store_heard_at = -math.inf
        self._has_lost_store = False
        self._services_by_tag: dict[int, ServiceName] = {}
        self._wake_at = math.inf
        self._indexed_members: Sequence[Member] | None = None
        self._servers: dict[ServiceName, list[Member]] = {}

    @property
    def rollouts(self) -> list[tuple[Rollout, bool]]:
        """Return the roll-outs known here, and whether this daemon controls them."""
        return [(control.rollout, control.is_acting) for control in self._controls.values()]

    def has_store(self, now: float) -> bool:
        """Return whether the store has answered lately."""
        return now - self._store_heard_at <= STORE_VALID_S

    def handle(self, event: ControllerEvent, now: float) -> list[ControllerAction]:
        """Handle an event and return the actions that follow."""
        actions: list[ControllerAction] = []
        match event:
            case ReaderChanged():
                actions += self._change_reader(event.is_reader, now)
            case MessageReceived(sender, message):
                actions += self._receive(sender, message, now)
            case TimerFired():
                if now >= self._wake_at:
                    self._wake_at = math.inf
            case _:
                actions += self._handle_store_answer(event, now)
        if now >= self._order_deadline:
            actions += self._list_orders(now) if self._is_retrying else self._lose_store("", now)
        for service in list(self._controls):
            actions += self._control(service, now)
        return actions + self._schedule(now)

    # Orders.

    def _change_reader(self, is_reader: bool, now: float) -> list[ControllerAction]:
        if is_reader == self._is_reader:
            return []
        self._is_reader = is_reader
        if is_reader:
            return self._list_orders(now)
        self._order_tag, self._order_deadline = 0, math.inf
        return []

    def _take_tag(self) -> int:
        self._last_tag += 1
        return self._last_tag

    def _list_orders(self, now: float) -> list[ControllerAction]:
        self._order_tag = self._take_tag()
        self._is_listing, self._is_retrying = True, False
        self._order_deadline = now + ANSWER_GRACE_S
        return [List(self._order_tag, self._source.order_prefix)]

    def _watch_orders(self, now: float) -> list[ControllerAction]:
        self._order_tag = self._take_tag()
        self._is_listing, self._is_retrying = False, False
        start = self._named.choose_start(now)
        assert start is not None, "a watch follows a listing"
        timeout_s = WATCH_TIMEOUT_S
        if self._has_listed:
            # A watch that asks again for changes that were listed ends at once, so not every one
            # does.
            start = max(start, *self._listed_revisions.values())
            timeout_s = RECHECK_S
        self._asked_revision = start
        self._order_deadline = now + timeout_s + ANSWER_GRACE_S
        return [Watch(self._order_tag, self._source.order_prefix, start, timeout_s)]

    def _lose_store(self, reason: str, now: float) -> list[ControllerAction]:
        self._order_tag = 0
        # The history may have ended, or the store gone back to an earlier copy.
        self._named.clear()
        self._is_retrying = True
        self._order_deadline = now + self._random.uniform(MIN_RETRY_S, MAX_RETRY_S)
        if self._has_lost_store:
            return []
        self._has_lost_store = True
        return [RecordEvent(events.ORDERS_LOST, {"reason": reason or "not answered in time"})]

    def _handle_store_answer(self, answer: StoreAnswer, now: float) -> list[ControllerAction]:
        if answer.tag != self._order_tag:
            service = self._services_by_tag.pop(answer.tag, None)
            control = self._controls.get(service) if service is not None else None
            if control is None:
                return []
            if not isinstance(answer, RequestFailed):
                self._store_heard_at = now
            return list(control.rollout.handle_answer(answer, now))
        if not isinstance(answer, EntriesRead):
            if not isinstance(answer, RequestFailed):
                return self._lose_store("", now)
            if answer.is_history_ended and not self._has_history_ended:
                self._has_history_ended = True
                self._store_heard_at = now
                self._named.shorten_overlap(self._asked_revision, now)
                return self._list_orders(now)
            return self._lose_store(answer.reason, now)
        self._has_history_ended &= self._is_listing
        actions: list[ControllerAction] = []
        self._store_heard_at = now
        if self._has_lost_store:
            self._has_lost_store = False
            actions.append(RecordEvent(events.ORDERS_REGAINED))
        result = answer.result
        known_revision = self._orders_revision
        if known_revision is not None and result.revision < known_revision:
            # The store went back to an earlier copy, which may hold other orders and records.
            for control in self._controls.values():
                if not control.rollout.is_waiting:
                    control.rollout.is_record_known = False
            self._named.clear()
            if not self._is_listing:
                return [*actions, *self._list_orders(now)]
        newest = {entry.key: entry for entry in result.entries}
        if self._is_listing:
            prefix = self._source.order_prefix
            for service, control in self._controls.items():
                if control.rollout.order is not None and prefix + service not in newest:
                    actions += self._set_order(service, None, now)
        self._orders_revision = result.revision
        self._named.record(result.revision, now)
        self._has_listed = bool(newest)
        if self._is_listing:
            self._listed_revisions.clear()
        for entry in newest.values():
            if entry.revision > self._listed_revisions.get(entry.key, NO_REVISION):
                self._listed_revisions[entry.key] = entry.revision
                actions += self._read_order(entry, now)
        return [*actions, *self._watch_orders(now)]

    def _read_order(self, entry: Entry, now: float) -> list[ControllerAction]:
        service = ServiceName(entry.key.removeprefix(self._source.order_prefix))
        if entry.value is None:
            return self._set_order(service, None, now)
        try:
            order = self._source.decode_order(service, entry.value, entry.revision)
        except InvalidOrder as error:
            # An earlier order stays in force: what the operator meant to change isn't known.
            fields: dict[str, FieldValue] = {"service": service, "reason": str(error)}
            return [RecordEvent(events.ORDER_INVALID, fields)]
        return self._set_order(service, order, now)

    def _set_order(
        self, service: ServiceName, order: Order | None, now: float
    ) -> list[ControllerAction]:
        control = self._find_control(service, now)
        if control.rollout.order == order:
            return []
        control.rollout.set_order(order, now)
        control.ordered_at = now
        if not control.is_acting:
            # Another controller may have written the record since it was read here.
            control.rollout.is_record_known = False
        fields: dict[str, FieldValue] = {
            "service": service,
            "target": order.target if order else "",
            "duration_ms": int(order.duration_s * 1000) if order else 0,
            "revision": order.revision if order else NO_REVISION,
        }
        return [RecordEvent(events.ORDER_SEEN, fields)]

    def _find_control(self, service: ServiceName, now: float) -> _Control:
        control = self._controls.get(service)
        if control is None:
            rollout = Rollout(service, self._source, self._exposure_share, now)
            control = self._controls[service] = _Control(rollout)
        return control

    # Messages.

    def _receive(self, sender: Address, message: Message, now: float) -> list[ControllerAction]:
        service = message.service
        if isinstance(message, Poke):
            candidates = self._list_candidates(service)
            if sender in candidates and service in self._controls:
                control = self._controls[service]
                rank = candidates.index(sender)
                if rank <= control.poked_rank or now - control.poked_at > HEARD_S:
                    control.poked_at, control.poked_rank = now, rank
                is_preceded = self._own in candidates and rank < candidates.index(self._own)
                if control.is_acting and is_preceded and not control.rollout.is_waiting:
                    # The other controller may have gone on to another step.
                    control.rollout.is_record_known = False
            return []
        if not isinstance(message, Report) or not self._is_reader:
            return []
        control = self._find_control(service, now)
        control.reported_at = now
        actions = self._control(service, now)
        upstreams = [member.upstream for member in self._list_servers(service)]
        answer = control.rollout.receive_report(
            message,
            [upstream for upstream in upstreams if upstream is not None],
            self.has_store(now),
            now,
        )
        return actions if answer is None else [*actions, Send(sender, answer)]

    # Control.

    def _list_servers(self, service: ServiceName) -> Sequence[Member]:
        members = self._list_members()
        if members is not self._indexed_members:
            self._indexed_members = members
            self._servers = {}
            for member in members:
                if member.upstream is not None:
                    self._servers.setdefault(member.upstream.service, []).append(member)
        return self._servers.get(service, ())

    def _should_act(self, service: ServiceName, control: _Control, now: float) -> bool:
        if not self._is_reader:
            return False
        rollout = control.rollout
        if rollout.is_done and now - rollout.final_at >= ANNOUNCE_FINAL_S:
            return now - control.reported_at < REPORTS_VALID_S
        if now - control.reported_at < REPORTS_VALID_S:
            return True
        if rollout.is_done and (rollout.order is None or not control.is_acting):
            return False
        if rollout.order is None and not rollout.is_running:
            return False
        candidates = self._list_candidates(service)[:MAX_CANDIDATES]
        if self._own not in candidates:
            return False
        rank = candidates.index(self._own)
        if not rank:
            return True
        patience_s = HEARD_S + rank * RANK_DELAY_S
        is_preceded = control.poked_rank < rank and now - control.poked_at < patience_s
        return not is_preceded and now - control.ordered_at >= patience_s

    def _control(self, service: ServiceName, now: float) -> list[ControllerAction]:
        control = self._controls[service]
        rollout = control.rollout
        was_acting, control.is_acting = control.is_acting, self._should_act(service, control, now)
        actions: list[ControllerAction] = []
        if control.is_acting != was_acting:
            kind = events.CONTROL_STARTED if control.is_acting else events.CONTROL_ENDED
            actions.append(RecordEvent(kind, rollout.describe(now)))
            if control.is_acting:
                # Another controller may have written the record since it was read here.
                rollout.is_record_known = False
                control.announced = ()
        if not control.is_acting:
            return actions
        servers = self._list_servers(service)
        upstreams = [member.upstream for member in servers if member.upstream is not None]
        rollout.orders_revision = self._orders_revision
        tag = self._take_tag()
        for action in rollout.decide(upstreams, self.has_store(now), tag, now):
            if isinstance(action, Get | Put):
                self._services_by_tag[tag] = service
            actions.append(action)
        return actions + self._poke(control, servers, now)

    def _poke(
        self, control: _Control, servers: Sequence[Member], now: float
    ) -> list[ControllerAction]:
        """Ask silent agents to report, all of them after a change; tell the other candidates."""
        rollout, record = control.rollout, control.rollout.record
        if record is None or not (rollout.is_record_known and rollout.knows_order):
            return []
        if not self.has_store(now):
            return []
        candidates = self._list_candidates(rollout.service)
        own_rank = candidates.index(self._own) if self._own in candidates else len(candidates)
        if control.poked_rank < own_rank and now - control.poked_at < HEARD_S:
            # The controller that is ranked before this one collects the reports.
            return []
        if rollout.order is None and not rollout.is_running and control.announced == ():
            # An agent asked what the record says; nothing else needs to know.
            return []
        announced = (record.phase, record.step, record.target, rollout.judgement.verdict)
        has_changed = announced != control.announced
        if not has_changed and now < control.next_poke_at:
            return []
        control.announced = announced
        control.next_poke_at = now + POKE_INTERVAL_S
        poke = Poke(rollout.service)
        actions: list[ControllerAction] = []
        for member in servers:
            status = rollout.agents.get(member.instance)
            is_told = status is not None and status.told is record.phase
            is_heard = status is not None and now - status.received_at < HEARD_S
            is_needless = is_told and (is_heard or record.phase is not Phase.RUNNING)
            if has_changed or not is_needless:
                actions.append(Send(member.address, poke))
        if not rollout.is_done:
            others = [address for address in candidates[:MAX_CANDIDATES] if address != self._own]
            poked = {action.to for action in actions if isinstance(action, Send)}
            actions += [Send(address, poke) for address in others if address not in poked]
        return actions

    def _schedule(self, now: float) -> list[ControllerAction]:
        due_times = [self._order_deadline]
        for control in self._controls.values():
            if control.is_acting:
                due_times.append(now + TICK_S)
            elif self._is_reader and control.rollout.order and not control.rollout.is_done:
                due_times.append(now + RANK_DELAY_S)
        due_at = min(due_times)
        if due_at >= self._wake_at or due_at == math.inf:
            return []
        self._wake_at = max(due_at, now)
        return [SetTimer(self._wake_at)]
