"""The kernel service "rollouts": performs the I/O of the agent and the controller of roll-outs."""

import asyncio
import random
import time
from collections.abc import Callable, Iterator, Sequence

import anyio
from anyio.abc import TaskGroup

from godwitpass.ids import Address, RouteName, ServiceName, SoftwareVersion
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.distribution.view import build_view
from godwitpass.internal.requests import Request
from godwitpass.internal.rollouts.agent import (
    Agent,
    AgentAction,
    AgentEvent,
    AvailabilityChanged,
    MembersChanged,
    UpstreamChanged,
)
from godwitpass.internal.rollouts.candidates import list_readers, rank_candidates
from godwitpass.internal.rollouts.controller import (
    Controller,
    ControllerEvent,
    ReaderChanged,
)
from godwitpass.internal.rollouts.messages import (
    Answer,
    Message,
    Poke,
    decode_message,
    encode_message,
)
from godwitpass.internal.rollouts.records import RolloutSource
from godwitpass.internal.rollouts.settings import RolloutSettings
from godwitpass.mesh import Member
from godwitpass.store import Store
from godwitpass_daemon.admin.metrics import Label, Metric, MetricKind, Sample
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.peers import Channel, PeerTransport
from godwitpass_daemon.services.membership import MembershipService
from godwitpass_daemon.services.store_requests import perform_request
from godwitpass_daemon.services.wake_timer import WakeTimer
from godwitpass_daemon.settings import Settings

MIN_READER_DELAY_S, MAX_READER_DELAY_S = 0.2, 1.0
"""Delay of reading after the start; daemons that start together know the readers by then."""

CONTROLLED_METRICS = {
    "elapsed_ms": "Time since the order, at the controller of the service.",
    "reporting": "Daemons of the service that reported lately.",
    "canaries": "Servers that are canaries.",
    "responses": "Responses of the target version.",
    "failures": "Failures of the target version.",
    "baseline": "Responses of the other versions.",
}
"""Fields of a roll-out that are exported, with their help texts."""


def read_boot_time() -> float:
    """Return the time of the clock that also runs while the process or machine is paused."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RolloutsService:
    """Decides whether the local version may run calls, and controls roll-outs on a reader."""

    def __init__(
        self,
        settings: Settings,
        rollouts: RolloutSettings,
        source: RolloutSource,
        store: Store,
        peers: PeerTransport,
        membership: MembershipService,
        events: EventLog,
    ) -> None:
        self._settings = settings
        self._store = store
        self._peers = peers
        self._membership = membership
        self._events = events
        self._tasks: TaskGroup | None = None
        self._service: ServiceName | None = None
        self._may_read = False
        self._indexed_members: Sequence[Member] | None = None
        self._readers: tuple[Address, ...] = ()
        self._count_calls: Callable[[], int] = int
        self._on_change: Callable[[], None] = lambda: None
        self._is_open = False
        self._own = settings.listen.reachable_peer
        self._agent = Agent(
            settings.instance, random.Random(), lambda: self._count_calls(), self._list_candidates
        )
        self._controller = Controller(
            self._own,
            rollouts.exposure_share,
            source,
            random.Random(),
            membership.members,
            self._list_candidates,
        )
        self._agent_timer = WakeTimer(
            read_boot_time, lambda due: self._handle_agent(TimerFired(), due)
        )
        self._controller_timer = WakeTimer(
            read_boot_time, lambda due: self._handle_controller(TimerFired(), due)
        )

    @property
    def is_open(self) -> bool:
        """Return whether the local version was open at its last change."""
        return self._is_open

    @property
    def share(self) -> float:
        """Return the share that a canary announces, 0 for others."""
        return self._agent.share

    async def start(self, tasks: TaskGroup) -> None:
        """Subscribe to messages and members; on a reader, watch the orders."""
        self._tasks = tasks
        self._peers.subscribe(Channel.ROLLOUTS, self._receive)
        self._membership.subscribe(self._handle_members)
        tasks.start_soon(self._agent_timer.run)
        tasks.start_soon(self._controller_timer.run)
        tasks.start_soon(self._start_reading)

    async def stop(self) -> None:
        """Stop; another reader continues the roll-outs, and permissions given here run out."""
        self._tasks = None

    def attach(self, count_calls: Callable[[], int], on_change: Callable[[], None]) -> None:
        """Ask `count_calls` for the calls in progress; call `on_change` when the version opens."""
        self._count_calls = count_calls
        self._on_change = on_change

    def update_upstream(self, service: ServiceName, version: SoftwareVersion | None) -> None:
        """Set service and version of the local upstream; None before it has reported one."""
        has_changed = service != self._service
        self._service = service
        self._handle_agent(UpstreamChanged(service, version))
        if has_changed:
            self._handle_members()

    def may_run(self) -> bool:
        """Return whether a call may be handed to the local upstream now."""
        return self._agent.may_run(read_boot_time())

    def record_arrival(self) -> None:
        """Note that a call has arrived for the local upstream."""
        self._agent.record_arrival(read_boot_time())

    def record_outcome(
        self, route: RouteName, duration_s: float, has_failed: bool, is_reset: bool
    ) -> None:
        """Count a call that was handed to the local upstream and has ended."""
        now = read_boot_time()
        self._perform(self._agent.record_response(route, duration_s, has_failed, is_reset, now))

    def collect_metrics(self) -> Iterator[Metric]:
        """Yield whether the local version is open, and the roll-outs that this daemon controls."""
        own = {"version_open": float(self.may_run()), "canary_share": self.share}
        for name, value in own.items():
            summary = f"{name.replace('_', ' ').capitalize()} of the local upstream."
            yield Metric(f"godwitpass_rollout_{name}", summary, MetricKind.GAUGE, (Sample(value),))
        now = read_boot_time()
        controlled = [
            rollout.describe(now) for rollout, is_acting in self._controller.rollouts if is_acting
        ]
        for name, summary in CONTROLLED_METRICS.items():
            samples = tuple(
                Sample(float(fields[name]), (Label("service", str(fields["service"])),))
                for fields in controlled
            )
            yield Metric(f"godwitpass_rollout_{name}", summary, MetricKind.GAUGE, samples)

    async def _start_reading(self) -> None:
        await anyio.sleep(random.uniform(MIN_READER_DELAY_S, MAX_READER_DELAY_S))
        self._may_read = True
        self._handle_members()

    def _handle_members(self) -> None:
        settings, members = self._settings, self._membership.members()
        if self._may_read:
            zone_members = [member for member in members if member.zone == settings.zone]
            is_reader = build_view(zone_members, settings.zone).is_reader(self._own)
            self._handle_controller(ReaderChanged(is_reader))
        if self._service is not None:
            upstreams = self._membership.upstreams(self._service)
            others = [item for item in upstreams if item.instance != settings.instance]
            self._handle_agent(MembersChanged(tuple(others)))

    def _list_candidates(self, service: ServiceName) -> tuple[Address, ...]:
        members = self._membership.members()
        if members is not self._indexed_members:
            self._indexed_members = members
            self._readers = list_readers(members)
        return rank_candidates(self._readers, service)

    def _receive(self, sender: Address, payload: bytes) -> None:
        self._dispatch(sender, decode_message(payload))

    def _dispatch(self, sender: Address, message: Message) -> None:
        if isinstance(message, Answer | Poke):
            self._handle_agent(MessageReceived(sender, message))
        if not isinstance(message, Answer):
            self._handle_controller(MessageReceived(sender, message))

    def _handle_agent(self, event: AgentEvent, not_before: float = 0.0) -> None:
        if self._tasks is not None:
            self._perform(self._agent.handle(event, max(read_boot_time(), not_before)))

    def _perform(self, actions: Sequence[AgentAction]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(action)
                case SetTimer():
                    self._agent_timer.set(action.at)
                case RecordEvent():
                    self._events.emit(action.kind, **action.fields)
                case AvailabilityChanged():
                    self._is_open = action.is_open
                    self._on_change()

    def _handle_controller(self, event: ControllerEvent, not_before: float = 0.0) -> None:
        if self._tasks is None:
            return
        for action in self._controller.handle(event, max(read_boot_time(), not_before)):
            match action:
                case Send():
                    self._send(action)
                case SetTimer():
                    self._controller_timer.set(action.at)
                case RecordEvent():
                    self._events.emit(action.kind, **action.fields)
                case _:
                    self._tasks.start_soon(self._perform_request, action)

    def _send(self, action: Send[Message]) -> None:
        if action.to == self._own:
            # The next turn of the loop, since a decision object may not be entered twice.
            asyncio.get_running_loop().call_soon(self._dispatch, self._own, action.message)
        else:
            self._peers.send(Channel.ROLLOUTS, action.to, encode_message(action.message))

    async def _perform_request(self, request: Request) -> None:
        self._handle_controller(await perform_request(self._store, request))
