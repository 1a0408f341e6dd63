"""Knows the daemons and upstreams; the decisions are `internal.membership`'s."""

import random
import time
from collections.abc import Callable, Sequence

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitpass.ids import Address, ServiceName
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
from godwitpass_daemon.services.wake_timer import WakeTimer
from godwitpass_daemon.services.store_requests import perform_request
from godwitpass_daemon.settings import Profile, Settings

FAREWELL_S = 0.25
"""Time in which the news that this daemon leaves is passed on before it stops."""

NOTIFY_INTERVAL_S = 0.2
"""The loss of an availability zone is hundreds of changes; subscribers rebuild their views."""

TUNINGS = {
    Profile.SMALL: msgspec.structs.replace(DEFAULT_TUNING, join_jitter_s=0.5),
    Profile.LARGE: DEFAULT_TUNING,
}


class MembershipService:
    """Tells the others of this daemon and its upstream, and knows theirs."""

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
        tuning: Tuning = TUNINGS[settings.profile]
        self._membership = Membership(_identify(settings), random.Random(), tuning)
        self._has_upstream = settings.upstream is not None
        self._callbacks: list[Callable[[], None]] = []
        self._generation = self._membership.generation
        self._tasks: TaskGroup | None = None
        self._wake_timer = WakeTimer(anyio.current_time, lambda due: self._handle(TimerFired()))
        self._changed = anyio.Event()

    async def start(self, tasks: TaskGroup) -> None:
        """Look for other daemons in the background."""
        self._tasks = tasks
        self._peers.subscribe(Channel.MEMBERSHIP, self._receive)
        self._handle(Start(self._seeds))
        tasks.start_soon(self._wake_timer.run)
        tasks.start_soon(self._notify)

    async def stop(self) -> None:
        """Tell the others that this daemon leaves."""
        self._handle(Leave())
        await anyio.sleep(FAREWELL_S)
        self._tasks = None

    def members(self) -> Sequence[Member]:
        """Return the daemons not known to be gone: all of this region, a few of the others."""
        return self._membership.members()

    def upstreams(self, service: ServiceName) -> Sequence[Upstream]:
        """Return the upstreams of `service` in any state: all of this region, a few of others."""
        return self._membership.upstreams(service)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` soon after changes of members or upstreams, once for several."""
        self._callbacks.append(callback)

    def announce(
        self, state: UpstreamState, slots: int | None = None, service: ServiceName | None = None
    ) -> None:
        """Tell all daemons of the upstream beside this one; what isn't given stays as it was."""
        if self._has_upstream:
            self._handle(Announce(state, slots, service))

    def announce_draining(self) -> None:
        """Tell all daemons to hand no further calls to this one."""
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
                    self._tasks.start_soon(self._request, action)
        if self._generation != self._membership.generation:
            self._generation = self._membership.generation
            self._changed.set()

    async def _request(self, request: Request) -> None:
        self._handle(await perform_request(self._store, request))

    async def _notify(self) -> None:
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            for callback in self._callbacks:
                callback()
            await anyio.sleep(NOTIFY_INTERVAL_S)


def _identify(settings: Settings) -> Identity:
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
