"""The kernel service `membership`, which runs the protocol of `godwitpass.internal.membership`."""

import random
import time
from collections.abc import Callable, Sequence

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitpass.ids import Address, ServiceName, SoftwareVersion
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.membership import Announce, Identity, Leave, Membership, Start, Tuning
from godwitpass.internal.membership.core import Event
from godwitpass.internal.membership.tuning import DEFAULT_TUNING
from godwitpass.internal.membership.wire import decode_message, encode_message
from godwitpass.internal.requests import Request
from godwitpass.mesh import Member, Upstream, UpstreamState, classify_link
from godwitpass.store import Store
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.peers import Channel, PeerTransport
from godwitpass_daemon.services.store_requests import perform_request
from godwitpass_daemon.services.wake_timer import WakeTimer
from godwitpass_daemon.settings import Profile, Settings

LEAVE_GRACE_S = 0.25
"""Time for which the service still gossips its leave before it stops."""

NOTIFY_INTERVAL_S = 0.2
"""Least time between two notifications, as subscribers rebuild their views on each.

The loss of an availability zone causes hundreds of changes.
"""

TUNING_BY_PROFILE = {
    Profile.SMALL: msgspec.structs.replace(DEFAULT_TUNING, join_jitter_s=0.5),
    Profile.LARGE: DEFAULT_TUNING,
}
"""A small mesh joins sooner, since its few reads of the store need no long window."""


class MembershipService:
    """Announces this daemon and its upstream to the other daemons, and knows theirs."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        peers: PeerTransport,
        events: EventLog,
        seeds: tuple[Address, ...] = (),
    ) -> None:
        self._seeds = seeds
        self._store = store
        self._peers = peers
        self._events = events
        tuning: Tuning = TUNING_BY_PROFILE[settings.profile]
        self._membership = Membership(_build_identity(settings), random.Random(), tuning)
        self._has_upstream = settings.upstream is not None
        self._subscribers: list[Callable[[], None]] = []
        self._generation = self._membership.generation
        self._tasks: TaskGroup | None = None
        self._wake_timer = WakeTimer(anyio.current_time, lambda _due_at: self._handle(TimerFired()))
        self._change_event = anyio.Event()

    async def start(self, tasks: TaskGroup) -> None:
        """Start to look for other daemons in the background."""
        self._tasks = tasks
        self._peers.subscribe(Channel.MEMBERSHIP, self._receive)
        self._handle(Start(self._seeds))
        tasks.start_soon(self._wake_timer.run)
        tasks.start_soon(self._notify_subscribers)

    async def stop(self) -> None:
        """Announce that this daemon leaves."""
        self._handle(Leave())
        await anyio.sleep(LEAVE_GRACE_S)
        self._tasks = None

    def members(self) -> Sequence[Member]:
        """Return the daemons not known to be dead or to have left.

        These are all of the own region, and a few of each availability zone of other regions.
        """
        return self._membership.members()

    def upstreams(self, service: ServiceName) -> Sequence[Upstream]:
        """Return the upstreams of `service`: all of the own region in any state, a few others."""
        return self._membership.upstreams(service)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` soon after members or upstreams change, once for several changes."""
        self._subscribers.append(callback)

    def announce(
        self,
        state: UpstreamState,
        slots: int | None = None,
        service: ServiceName | None = None,
        software_version: SoftwareVersion | None = None,
        canary_share: float | None = None,
    ) -> None:
        """Announce the state of the upstream beside this daemon.

        The other fields don't change if None. Without an upstream, this does nothing.
        """
        if self._has_upstream:
            self._handle(Announce(state, slots, service, software_version, canary_share))

    def announce_draining(self) -> None:
        """Announce that the upstream is draining, so that it gets no further calls."""
        self.announce(UpstreamState.DRAINING)

    def _receive(self, sender: Address, payload: bytes) -> None:
        self._handle(MessageReceived(sender, decode_message(payload)))

    def _handle(self, event: Event) -> None:
        if self._tasks is None:
            return
        for action in self._membership.handle(event, anyio.current_time()):
            match action:
                case Send():
                    payload = encode_message(action.message)
                    self._peers.send(Channel.MEMBERSHIP, action.to, payload)
                case SetTimer():
                    self._wake_timer.set(action.at)
                case RecordEvent():
                    self._events.emit(action.kind, **action.fields)
                case _:
                    self._tasks.start_soon(self._perform, action)
        if self._generation != self._membership.generation:
            self._generation = self._membership.generation
            self._change_event.set()

    async def _perform(self, request: Request) -> None:
        self._handle(await perform_request(self._store, request))

    async def _notify_subscribers(self) -> None:
        while True:
            await self._change_event.wait()
            self._change_event = anyio.Event()
            for callback in self._subscribers:
                callback()
            await anyio.sleep(NOTIFY_INTERVAL_S)


def _build_identity(settings: Settings) -> Identity:
    upstream = settings.upstream
    return Identity(
        settings.instance,
        settings.zone,
        settings.region,
        settings.listen.reachable_peer,
        int(time.time()),
        None if upstream is None else upstream.service,
        None if upstream is None else upstream.address,
        link_class=classify_link(settings.link_mbps),
    )
