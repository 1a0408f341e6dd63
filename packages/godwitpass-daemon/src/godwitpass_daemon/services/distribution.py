"""Holds the active version; performs the I/O for `internal.distribution.distributor`."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol, runtime_checkable

import anyio
from anyio.abc import TaskGroup

from godwitpass.administration import Lag, Spread, ZoneSpread
from godwitpass.ids import NO_VERSION, Address, RegionId, Version, ZoneId
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.distribution.distributor import Distributor
from godwitpass.internal.distribution.holdings import ConvergenceStatus
from godwitpass.internal.distribution.interface import (
    Activate,
    ConvergenceRequested,
    Event,
    HolderReported,
    ReadRequested,
    ViewChanged,
)
from godwitpass.internal.distribution.messages import (
    ZoneHoldings,
    decode_message,
    encode_message,
)
from godwitpass.internal.distribution.reader import (
    DocumentSource,
    RejectedDocument,
    StoredVersion,
)
from godwitpass.internal.distribution.view import View, build_view
from godwitpass.internal.requests import Get, Watch
from godwitpass.mesh import Member, MemberState, classify_link
from godwitpass.snapshot import Snapshot
from godwitpass.store import Store
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.peers import Channel, PeerTransport
from godwitpass_daemon.services.store_requests import perform_request
from godwitpass_daemon.services.wake_timer import WakeTimer
from godwitpass_daemon.settings import Settings

LAG_REASON = "has not acknowledged the version"


@runtime_checkable
class Membership(Protocol):
    """The methods of the service `membership` that distribution uses."""

    def members(self) -> Sequence[Member]:
        """Return the daemons not known to be dead or to have left."""
        ...

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the members."""
        ...


class DistributionService:
    """Keeps the newest accepted version active and distributes it to other daemons."""

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
        self._view: View | None = None
        self._callbacks: list[Callable[[Snapshot], None]] = []
        self._regions: dict[ZoneId, RegionId] = {}
        self._tasks: TaskGroup | None = None
        self._wake_timer = WakeTimer(
            anyio.current_time, lambda due: self._handle(TimerFired(), due)
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Start receiving versions."""
        self._tasks = tasks
        self._peers.subscribe(Channel.DISTRIBUTION, self._receive)
        self._membership.subscribe(self._change_view)
        self._change_view()
        tasks.start_soon(self._wake_timer.run)

    async def stop(self) -> None:
        """Stop receiving versions."""
        self._tasks = None

    def snapshot(self) -> Snapshot | None:
        """Return the active version, if there is one."""
        return self._snapshot

    def rejected_document(self) -> RejectedDocument | None:
        """Return the newest document in the store if this daemon read it and can't use it."""
        return self._distributor.rejected_document

    def stored_version(self) -> StoredVersion | None:
        """Return the version that this daemon, as a reader, has read last from the store."""
        return self._distributor.stored_version

    def compute_store_age(self) -> float:
        """Return the seconds since an answer of the store to any reader that is known here."""
        return self._distributor.compute_store_age(anyio.current_time())

    def compute_version_lag(self) -> float:
        """Return the seconds for which others are known to hold a later version; 0 if none does."""
        return self._distributor.compute_version_lag(anyio.current_time())

    def view(self) -> View | None:
        """Return the known members and the distribution tree, once the service is started."""
        return self._view

    def read_store(self) -> None:
        """Read the store at once if this daemon is a reader."""
        self._handle(ReadRequested())

    def report_holder(self, address: Address, version: Version) -> None:
        """Fetch `version` from the daemon at `address`, if it is later than the one held."""
        self._handle(HolderReported(address, version))

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Call `callback` after each new version."""
        self._callbacks.append(callback)

    def status(self) -> Spread:
        """Return how many daemons hold the newest version, as far as this daemon knows.

        It also queries the root of the tree, so that the next call returns newer data.
        """
        self._handle(ConvergenceRequested())
        convergence = self._distributor.compute_convergence()
        if convergence.version == NO_VERSION:
            version = self._snapshot.version if self._snapshot else NO_VERSION
            # Only this daemon is known to hold a version, if it does.
            return Spread(version, min(version, 1), len(self._list_members()))
        zones = self._distributor.list_zone_holdings()
        return Spread(
            convergence.version,
            convergence.holder_count,
            # Membership knows the daemons of zones that have not reported yet.
            max(convergence.daemon_count, len(self._list_members())),
            tuple(self._summarize_zone(holdings, convergence) for holdings in zones),
            tuple(
                Lag(instance, holdings.zone, NO_VERSION, LAG_REASON)
                for holdings in zones
                for instance in holdings.laggards
            ),
        )

    def _summarize_zone(self, holdings: ZoneHoldings, convergence: ConvergenceStatus) -> ZoneSpread:
        holder_count = holdings.holder_count if holdings.version == convergence.version else 0
        region = self._regions.get(holdings.zone, RegionId(""))
        return ZoneSpread(holdings.zone, region, holder_count, holdings.daemon_count)

    def _list_members(self) -> list[Member]:
        """Return all known daemons, including this one even if membership lacks it."""
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
        self._view = build_view(members, self._settings.zone)
        self._handle(ViewChanged(self._view))

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
                    self._tasks.start_soon(self._perform_request, action)

    def _activate(self, snapshot: Snapshot) -> None:
        assert self._snapshot is None or snapshot.version > self._snapshot.version
        self._snapshot = snapshot
        self._events.update_version(snapshot)
        for callback in self._callbacks:
            callback(snapshot)

    async def _perform_request(self, request: Get | Watch) -> None:
        self._handle(await perform_request(self._store, request))
