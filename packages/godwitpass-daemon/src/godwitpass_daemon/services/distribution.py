"""Holds the configuration; the decisions are `distribution.distributor`'s."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol, runtime_checkable

import anyio
from anyio.abc import TaskGroup

from godwitpass.administration import Lag, Spread, ZoneSpread
from godwitpass.ids import NO_VERSION, Address, RegionId, ZoneId
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.distribution.distributor import Distributor
from godwitpass.internal.distribution.holdings import ConvergenceStatus
from godwitpass.internal.distribution.interface import (
    Activate,
    ConvergenceRequested,
    Event,
    ViewChanged,
)
from godwitpass.internal.distribution.messages import (
    ZoneHoldings,
    decode_message,
    encode_message,
)
from godwitpass.internal.distribution.reader import DocumentSource
from godwitpass.internal.distribution.view import build_view
from godwitpass.internal.requests import Get, Watch
from godwitpass.mesh import Member, MemberState, classify_link
from godwitpass.snapshot import Snapshot
from godwitpass.store import Store
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.peers import Channel, PeerTransport
from godwitpass_daemon.services.wake_timer import WakeTimer
from godwitpass_daemon.services.store_requests import perform_request
from godwitpass_daemon.settings import Settings

LAG_REASON = "has not acknowledged the version"


@runtime_checkable
class Membership(Protocol):
    """Knows the other daemons."""

    def members(self) -> Sequence[Member]:
        """Return the daemons believed alive."""
        ...

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""
        ...


class DistributionService:
    """Keeps the newest accepted version and passes it on."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        peers: PeerTransport,
        membership: Membership,
        events: EventLog,
        source: DocumentSource | None = None,
    ) -> None:
        self._settings = settings
        self._store = store
        self._peers = peers
        self._membership = membership
        self._events = events
        self._distributor = Distributor(
            settings.listen.reachable_peer, random.Random(), source=source
        )
        self._snapshot: Snapshot | None = None
        self._callbacks: list[Callable[[Snapshot], None]] = []
        self._regions: dict[ZoneId, RegionId] = {}
        self._tasks: TaskGroup | None = None
        self._wake_timer = WakeTimer(anyio.current_time, lambda due: self._handle(TimerFired(), due))

    async def start(self, tasks: TaskGroup) -> None:
        """Begin to learn versions."""
        self._tasks = tasks
        self._peers.subscribe(Channel.DISTRIBUTION, self._receive)
        self._membership.subscribe(self._change_view)
        self._change_view()
        tasks.start_soon(self._wake_timer.run)

    async def stop(self) -> None:
        """Learn no more versions."""
        self._tasks = None

    def snapshot(self) -> Snapshot | None:
        """Return the version in force, if any is held."""
        return self._snapshot

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Call `callback` after each new version."""
        self._callbacks.append(callback)

    def status(self) -> Spread:
        """Return how far the newest version has spread, as far as this daemon knows.

        It also asks the root of the tree, so that the next answer is up to date.
        """
        self._handle(ConvergenceRequested())
        known = self._distributor.compute_convergence()
        if known.version == NO_VERSION:
            version = self._snapshot.version if self._snapshot else NO_VERSION
            return Spread(version, min(version, 1), len(self._list_members()))
        zones = self._distributor.list_zone_holdings()
        return Spread(
            known.version,
            known.holder_count,
            # Zones that have not reported yet are known to membership only.
            max(known.daemon_count, len(self._list_members())),
            tuple(self._describe_zone(held, known) for held in zones),
            tuple(
                Lag(instance, held.zone, NO_VERSION, LAG_REASON)
                for held in zones
                for instance in held.laggards
            ),
        )

    def _describe_zone(self, held: ZoneHoldings, known: ConvergenceStatus) -> ZoneSpread:
        holder_count = held.holder_count if held.version == known.version else 0
        region = self._regions.get(held.zone, RegionId(""))
        return ZoneSpread(held.zone, region, holder_count, held.daemon_count)

    def _list_members(self) -> list[Member]:
        """Return all known daemons, this one included even if membership lacks it."""
        settings = self._settings
        own = Member(
            settings.instance,
            settings.zone,
            settings.region,
            settings.listen.reachable_peer,
            0,
            0,
            MemberState.ALIVE,
            link_class=classify_link(settings.link_mbps),
        )
        others = (item for item in self._membership.members() if item.instance != own.instance)
        return [own, *others]

    def _change_view(self) -> None:
        members = self._list_members()
        self._regions = {member.zone: member.region for member in members}
        self._handle(ViewChanged(build_view(members, self._settings.zone)))

    def _receive(self, sender: Address, payload: bytes) -> None:
        self._handle(MessageReceived(sender, decode_message(payload)))

    def _handle(self, event: Event, not_before: float = 0.0) -> None:
        if self._tasks is None:
            return
        now = max(anyio.current_time(), not_before)
        for action in self._distributor.handle(event, now):
            match action:
                case Send():
                    payload = encode_message(action.message)
                    self._peers.send(Channel.DISTRIBUTION, action.to, payload)
                case SetTimer():
                    self._wake_timer.set(action.at)
                case RecordEvent():
                    self._events.emit(action.kind, **action.fields)
                case Activate():
                    self._activate(action.snapshot)
                case _:
                    self._tasks.start_soon(self._request, action)

    def _activate(self, snapshot: Snapshot) -> None:
        assert self._snapshot is None or snapshot.version > self._snapshot.version
        self._snapshot = snapshot
        self._events.update_version(snapshot)
        for callback in self._callbacks:
            callback(snapshot)

    async def _request(self, request: Get | Watch) -> None:
        self._handle(await perform_request(self._store, request))
