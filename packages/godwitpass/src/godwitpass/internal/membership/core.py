"""The membership decisions of one daemon: `handle(event, now) -> actions`."""

import random
from collections.abc import Sequence

import msgspec

from godwitpass.ids import Address, ServiceName
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.membership.delegate import Delegate
from godwitpass.internal.membership.detector import Detector
from godwitpass.internal.membership.discovery import Discovery
from godwitpass.internal.membership.events import (
    ISOLATED,
    MEMBERSHIP_JOINED,
    PAUSE_NOTICED,
    RECONNECTED,
)
from godwitpass.internal.membership.message_handler import Exchange
from godwitpass.internal.membership.inputs import Announce, Identity, Leave, Start
from godwitpass.internal.membership.isolation import Isolation
from godwitpass.internal.membership.token_bucket import TokenBucket
from godwitpass.internal.membership.messages import (
    DAEMON_SERVICE,
    AnnouncedUpstream,
    Gossip,
    Message,
    SummaryUpdate,
    Update,
)
from godwitpass.internal.membership.records import build_member
from godwitpass.internal.membership.state import State
from godwitpass.internal.membership.tuning import DEFAULT_TUNING, Tuning
from godwitpass.internal.requests import Answer, Get, List, Put
from godwitpass.mesh import Member, MemberState, Upstream

FAREWELLS = 8
"""Members told directly of an own change, ahead of the next round of gossip."""

Event = Start | TimerFired | Announce | Leave | MessageReceived[Message] | Answer
Action = Send[Message] | SetTimer | RecordEvent | Get | List | Put


class Membership:
    """Knows the daemons and upstreams of the own region, and sums of the other regions."""

    def __init__(
        self, identity: Identity, rng: random.Random, tuning: Tuning = DEFAULT_TUNING
    ) -> None:
        self._state = State(identity, tuning, rng)
        self._tuning = tuning
        self._rng = rng
        self._detector = Detector(self._state)
        self._exchange = Exchange(self._state, self._detector)
        self._discovery = Discovery(self._state)
        self._delegate = Delegate(self._state)
        self._isolation = Isolation(tuning.isolation_s, tuning.isolation_grace_s)
        self._gossip_budget = TokenBucket(tuning.gossip_bytes_per_s, tuning.gossip_burst_bytes)
        self._joined_at: float | None = None
        self._members: tuple[Member, ...] = ()
        self._members_generation = -1
        self._probe_at = 0.0
        self._gossip_at = 0.0
        self._wake_at = float("inf")

    @property
    def own(self) -> Member:
        """Return this daemon's own record."""
        return build_member(self._state.own)

    @property
    def generation(self) -> int:
        """Return a number that grows with each change of members or upstreams."""
        return self._state.table.generation + self._state.regions.generation

    def members(self) -> Sequence[Member]:
        """Return the daemons that are not known to be gone, oneself included.

        All of the own region, and a few of each availability zone of the others.
        """
        if self._members_generation != self.generation:
            self._members_generation = self.generation
            self._members = (*self._state.table.members(), *self._state.regions.members())
        return self._members

    def upstreams(self, service: ServiceName) -> Sequence[Upstream]:
        """Return the upstreams of `service` in every state: all here, a few of other regions."""
        state = self._state
        return (*state.table.upstreams(service), *state.regions.upstreams(service))

    def sums(self, service: ServiceName) -> Sequence[SummaryUpdate]:
        """Return what each other region has of `service`; `DAEMONS` counts the daemons."""
        return self._state.regions.sums(service)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Decide on `event` and return actions."""
        actions = self._notice_pause(now)
        actions += self._decide(event, now)
        actions += self._gossip(now)
        return actions + self._wake(now)

    def _decide(self, event: Event, now: float) -> list[Action]:
        if isinstance(event, MessageReceived):
            return self._receive(event.sender, event.message, now)
        if isinstance(event, TimerFired):
            return self._advance(now)
        if isinstance(event, Start):
            return self._start(event, now)
        if isinstance(event, Announce):
            return self._announce(event, now)
        if isinstance(event, Leave):
            self._state.leave(now)
            return self._tell_at_once()
        return list(self._discovery.handle(event, now))

    def _start(self, event: Start, now: float) -> list[Action]:
        self._isolation.hear(now)
        self._probe_at = now + self._rng.uniform(0, self._tuning.probe_interval_s)
        return list(self._discovery.start(now, event.seeds))

    def _announce(self, event: Announce, now: float) -> list[Action]:
        held = self._state.own.content.upstream
        if held is None:
            raise ValueError("no upstream was named in the settings; name its service and address")
        slots = held.slots if event.slots is None else event.slots
        service = held.service if event.service is None else event.service
        upstream = AnnouncedUpstream(service, held.address, event.state, slots)
        if upstream == held or self._state.leaving:
            return []
        self._state.change_own(now, upstream)
        return self._tell_at_once()

    def _tell_at_once(self) -> list[Action]:
        state = self._state
        message = Gossip((state.build_own_update(),))
        chosen = state.table.choose(self._rng, FAREWELLS)
        return [Send(record.content.address, message) for record in chosen]

    def _wake(self, now: float) -> list[Action]:
        due = [self._probe_at, self._discovery.due()]
        help_at = self._detector.help_due()
        if help_at is not None:
            due.append(help_at)
        if self._has_gossip():
            due.append(self._gossip_at)
        at = max(min(due), now)
        if (self._state.leaving and not self._has_gossip()) or at >= self._wake_at > now:
            return []
        self._wake_at = at
        return [SetTimer(at)]

    def _advance(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if now >= self._wake_at:
            self._wake_at = float("inf")
        if self._state.leaving:
            return actions
        help_at = self._detector.help_due()
        if help_at is not None and now >= help_at:
            actions += self._detector.ask_help()
        if now >= self._probe_at:
            actions += self._run_interval(now)
        joined = len(self._state.table.others) > 0
        return actions + list(self._discovery.advance(now, joined))

    def _run_interval(self, now: float) -> list[Action]:
        interval_s = self._tuning.probe_interval_s
        self._probe_at = now + interval_s * self._rng.uniform(0.9, 1.1)
        actions: list[Action] = []
        if len(self._state.table.others) and self._isolation.begins(now):
            actions.append(RecordEvent(ISOLATED))
        withhold = self._isolation.withholds(now)
        actions += self._detector.expire(now, withhold)
        actions += self._detector.probe(now, withhold)
        actions += self._delegate.advance(now)
        self._state.table.forget(now - self._tuning.forget_s)
        return actions

    def _notice_pause(self, now: float) -> list[Action]:
        """Start suspicions anew after this process stood still."""
        late_s = now - self._wake_at
        if late_s <= self._tuning.pause_s:
            return []
        self._wake_at = now
        self._isolation.hear(now)
        self._detector.restart()
        self._detector.extend(now)
        return [RecordEvent(PAUSE_NOTICED, {"seconds": round(late_s, 1)})]

    def _receive(self, sender: Address, message: Message, now: float) -> list[Action]:
        if self._state.leaving:
            return []
        actions = self._reconnect(now)
        actions += self._exchange.receive(sender, message, now)
        if self._joined_at is None and len(self._state.table.others):
            self._joined_at = now
            self._delegate.settle(now)
            actions.append(RecordEvent(MEMBERSHIP_JOINED))
        return actions

    def _reconnect(self, now: float) -> list[Action]:
        """Undo what was concluded while nobody was heard."""
        since = self._isolation.hear(now)
        if since is None:
            return []
        table = self._state.table
        for record in table.find_gone_since(since):
            table.set_state(record, MemberState.ALIVE, now)
        return [RecordEvent(RECONNECTED, {"seconds": round(now - since, 1)})]

    def _has_gossip(self) -> bool:
        state = self._state
        return len(state.member_broadcasts) > 0 or len(state.sums_to_send) > 0

    def _gossip(self, now: float) -> list[Action]:
        """Send waiting updates to a few random members, within the byte budget."""
        if now < self._gossip_at or not self._has_gossip():
            return []
        self._gossip_at = now + self._tuning.gossip_interval_s
        actions: list[Action] = []
        for record in self._state.table.choose(self._rng, self._tuning.gossip_fanout):
            available = int(self._gossip_budget.available(now))
            updates = self._take_updates(min(self._tuning.message_bytes, available))
            if updates:
                message = Gossip(tuple(updates))
                self._gossip_budget.take(len(msgspec.msgpack.encode(message)))
                actions.append(Send(record.content.address, message))
        return actions

    def _take_updates(self, budget_bytes: int) -> list[Update]:
        state, members = self._state, len(self._state.table)
        updates = state.member_broadcasts.take(budget_bytes, members)
        return updates or state.sums_to_send.take(budget_bytes, members)


__all__ = ["DAEMONS", "Action", "Event", "Membership"]
