"""The membership protocol of one daemon as a decision object: `handle(event, now) -> actions`."""

import random
from collections.abc import Sequence

import msgspec

from godwitpass.ids import Address, ServiceName
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.membership.delegate import Delegate
from godwitpass.internal.membership.detector import FailureDetector
from godwitpass.internal.membership.discovery import Discovery
from godwitpass.internal.membership.events import (
    ISOLATED,
    MEMBERSHIP_JOINED,
    PAUSE_NOTICED,
    RECONNECTED,
)
from godwitpass.internal.membership.inputs import Announce, Identity, Leave, Start
from godwitpass.internal.membership.isolation import IsolationDetector
from godwitpass.internal.membership.message_handler import MessageHandler
from godwitpass.internal.membership.messages import (
    DAEMON_SERVICE,
    AnnouncedUpstream,
    Gossip,
    Message,
    SummaryUpdate,
    Update,
)
from godwitpass.internal.membership.records import PERMILLE, build_member
from godwitpass.internal.membership.state import SharedState
from godwitpass.internal.membership.token_bucket import TokenBucket
from godwitpass.internal.membership.tuning import DEFAULT_TUNING, Tuning
from godwitpass.internal.requests import Answer, Get, List, Put
from godwitpass.mesh import Member, MemberState, Upstream

ROUNDING = 1e-6
IMMEDIATE_FANOUT = 8
"""Members to which a change of the own record is sent at once, ahead of the next gossip."""

Event = Start | TimerFired | Announce | Leave | MessageReceived[Message] | Answer
Action = Send[Message] | SetTimer | RecordEvent | Get | List | Put


class Membership:
    """Knows the daemons and upstreams of the own region, and summaries of the other regions."""

    def __init__(
        self, identity: Identity, rng: random.Random, tuning: Tuning = DEFAULT_TUNING
    ) -> None:
        self._state = SharedState(identity, tuning, rng)
        self._tuning = tuning
        self._rng = rng
        self._detector = FailureDetector(self._state)
        self._message_handler = MessageHandler(self._state, self._detector)
        self._discovery = Discovery(self._state)
        self._delegate = Delegate(self._state)
        self._isolation = IsolationDetector(tuning.isolation_silence_s, tuning.isolation_grace_s)
        self._gossip_budget = TokenBucket(tuning.gossip_bytes_per_s, tuning.gossip_burst_bytes)
        self._joined_at: float | None = None
        self._members: tuple[Member, ...] = ()
        self._members_generation = -1
        self._next_probe_at = 0.0
        self._next_gossip_at = 0.0
        self._wake_at = float("inf")

    @property
    def own_member(self) -> Member:
        """Return the public view of this daemon."""
        return build_member(self._state.own_record)

    @property
    def generation(self) -> int:
        """Return a number that grows with each change of members or upstreams."""
        return self._state.table.generation + self._state.regions.generation

    def members(self) -> Sequence[Member]:
        """Return the daemons not known to be dead or to have left, including this one.

        These are all of the own region, and a few of each availability zone of other regions.
        """
        if self._members_generation != self.generation:
            self._members_generation = self.generation
            self._members = (*self._state.table.members(), *self._state.regions.members())
        return self._members

    def upstreams(self, service: ServiceName) -> Sequence[Upstream]:
        """Return the upstreams of `service`: all of the own region in any state, a few others."""
        state = self._state
        return (*state.table.upstreams(service), *state.regions.upstreams(service))

    def summaries(self, service: ServiceName) -> Sequence[SummaryUpdate]:
        """Return the summary of `service` in each other region; `DAEMON_SERVICE` counts daemons."""
        return self._state.regions.summaries(service)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle `event` at time `now` and return the actions that follow from it."""
        actions = self._detect_pause(now)
        actions += self._dispatch(event, now)
        actions += self._send_gossip(now)
        return actions + self._schedule_wake(now)

    def _dispatch(self, event: Event, now: float) -> list[Action]:
        if isinstance(event, MessageReceived):
            return self._receive(event.sender, event.message, now)
        if isinstance(event, TimerFired):
            return self._tick(now)
        if isinstance(event, Start):
            return self._start(event, now)
        if isinstance(event, Announce):
            return self._announce(event, now)
        if isinstance(event, Leave):
            self._state.leave(now)
            return self._push_own_update()
        return list(self._discovery.handle(event, now))

    def _start(self, event: Start, now: float) -> list[Action]:
        self._isolation.record_message(now)
        self._next_probe_at = now + self._rng.uniform(0, self._tuning.probe_interval_s)
        return list(self._discovery.start(now, event.seeds))

    def _announce(self, event: Announce, now: float) -> list[Action]:
        current = self._state.own_record.metadata.upstream
        if current is None:
            raise ValueError(
                "cannot announce an upstream: the settings name none; set its service and address"
            )
        slots = current.slots if event.slots is None else event.slots
        service = current.service if event.service is None else event.service
        software_version = (
            current.software_version if event.software_version is None else event.software_version
        )
        # Rounded down, so that no share is exceeded.
        canary_permille = (
            current.canary_permille
            if event.canary_share is None
            else int(event.canary_share * PERMILLE + ROUNDING)
        )
        upstream = AnnouncedUpstream(
            service, current.address, event.state, slots, software_version, canary_permille
        )
        if upstream == current or self._state.is_leaving:
            return []
        self._state.update_own_upstream(now, upstream)
        return self._push_own_update()

    def _push_own_update(self) -> list[Action]:
        state = self._state
        message = Gossip((state.build_own_update(),))
        chosen = state.table.choose_peers(self._rng, IMMEDIATE_FANOUT)
        return [Send(record.metadata.address, message) for record in chosen]

    def _schedule_wake(self, now: float) -> list[Action]:
        due_times = [self._next_probe_at, self._discovery.next_due_at()]
        indirect_probe_at = self._detector.next_indirect_probe_at()
        if indirect_probe_at is not None:
            due_times.append(indirect_probe_at)
        if self._has_pending_gossip():
            due_times.append(self._next_gossip_at)
        at = max(min(due_times), now)
        if (self._state.is_leaving and not self._has_pending_gossip()) or at >= self._wake_at > now:
            return []
        self._wake_at = at
        return [SetTimer(at)]

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if now >= self._wake_at:
            self._wake_at = float("inf")
        if self._state.is_leaving:
            return actions
        indirect_probe_at = self._detector.next_indirect_probe_at()
        if indirect_probe_at is not None and now >= indirect_probe_at:
            actions += self._detector.request_indirect_probes()
        if now >= self._next_probe_at:
            actions += self._run_probe_interval(now)
        has_joined = len(self._state.table.live_peers) > 0
        return actions + list(self._discovery.tick(now, has_joined))

    def _run_probe_interval(self, now: float) -> list[Action]:
        interval_s = self._tuning.probe_interval_s
        self._next_probe_at = now + interval_s * self._rng.uniform(0.9, 1.1)
        actions: list[Action] = []
        if len(self._state.table.live_peers) and self._isolation.begin_if_silent(now):
            actions.append(RecordEvent(ISOLATED))
        is_suspended = self._isolation.suspends_suspicion(now)
        actions += self._detector.expire_suspicions(now, is_suspended)
        actions += self._detector.start_probe(now, is_suspended)
        actions += self._delegate.tick(now)
        self._state.table.prune_gone(now - self._tuning.gone_retention_s)
        return actions

    def _detect_pause(self, now: float) -> list[Action]:
        """Restart all suspicion timeouts if this process was paused.

        After a pause the silence of other members is no evidence of failure.
        """
        delay_s = now - self._wake_at
        if delay_s <= self._tuning.pause_threshold_s:
            return []
        self._wake_at = now
        self._isolation.record_message(now)
        self._detector.cancel_probe()
        self._detector.restart_suspicion_timers(now)
        return [RecordEvent(PAUSE_NOTICED, {"seconds": round(delay_s, 1)})]

    def _receive(self, sender: Address, message: Message, now: float) -> list[Action]:
        if self._state.is_leaving:
            return []
        actions = self._end_isolation(now)
        actions += self._message_handler.receive(sender, message, now)
        if self._joined_at is None and len(self._state.table.live_peers):
            self._joined_at = now
            self._delegate.record_join(now)
            actions.append(RecordEvent(MEMBERSHIP_JOINED))
        return actions

    def _end_isolation(self, now: float) -> list[Action]:
        """End the isolation, if any: members declared dead during it count as alive again."""
        since = self._isolation.record_message(now)
        if since is None:
            return []
        table = self._state.table
        for record in table.find_dead_since(since):
            table.set_state(record, MemberState.ALIVE, now)
        return [RecordEvent(RECONNECTED, {"seconds": round(now - since, 1)})]

    def _has_pending_gossip(self) -> bool:
        state = self._state
        return len(state.member_broadcasts) > 0 or len(state.summary_broadcasts) > 0

    def _send_gossip(self, now: float) -> list[Action]:
        """Send queued updates to a few random members, within the byte budget."""
        if now < self._next_gossip_at or not self._has_pending_gossip():
            return []
        self._next_gossip_at = now + self._tuning.gossip_interval_s
        actions: list[Action] = []
        for record in self._state.table.choose_peers(self._rng, self._tuning.gossip_fanout):
            available = int(self._gossip_budget.available(now))
            updates = self._take_updates(min(self._tuning.max_gossip_bytes, available))
            if updates:
                message = Gossip(tuple(updates))
                self._gossip_budget.take(len(msgspec.msgpack.encode(message)))
                actions.append(Send(record.metadata.address, message))
        return actions

    def _take_updates(self, budget_bytes: int) -> list[Update]:
        state, members = self._state, len(self._state.table)
        updates = state.member_broadcasts.take(budget_bytes, members)
        return updates or state.summary_broadcasts.take(budget_bytes, members)


__all__ = ["DAEMON_SERVICE", "Action", "Event", "Membership"]
