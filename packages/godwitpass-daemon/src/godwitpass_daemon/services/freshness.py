"""Keeps a freshness proof; performs the I/O for `internal.freshness.node`."""

import random
import secrets

from anyio.abc import TaskGroup

from godwitpass.ids import Address, Version
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.freshness.messages import decode_message, encode_message
from godwitpass.internal.freshness.node import (
    Event,
    FreshnessNode,
    HolderFound,
    MembersChanged,
    ReadingStopped,
    ReadStore,
    VersionHeld,
    VersionRead,
)
from godwitpass.internal.freshness.settings import FreshnessSettings
from godwitpass.internal.requests import Confirm
from godwitpass.snapshot import Snapshot
from godwitpass.store import Store
from godwitpass_daemon.boot_clock import read_boot_clock
from godwitpass_daemon.peers.channels import Channel
from godwitpass_daemon.services.distribution import DistributionService
from godwitpass_daemon.services.ports import Events, Membership, Peers
from godwitpass_daemon.services.store_requests import perform_request
from godwitpass_daemon.services.wake_timer import WakeTimer


class FreshnessService:
    """Runs a `FreshnessNode` with the boot clock, the store and the peer transport.

    Without `needs_always`, proofs are obtained only while the document has customers.
    """

    def __init__(
        self,
        settings: FreshnessSettings,
        key: str,
        needs_always: bool,
        store: Store,
        peers: Peers,
        membership: Membership,
        distribution: DistributionService,
        events: Events,
    ) -> None:
        self.settings = settings
        self.needs_always = needs_always
        self._store = store
        self._peers = peers
        self._membership = membership
        self._distribution = distribution
        self._events = events
        self._tasks: TaskGroup | None = None
        self._node = FreshnessNode(
            peers.address, key, settings, random.Random(secrets.randbits(64))
        )
        self._stored_version = distribution.stored_version()
        self._wake_timer = WakeTimer(read_boot_clock, lambda due: self._handle(TimerFired()))

    async def start(self, tasks: TaskGroup) -> None:
        """Start to obtain proofs."""
        self._tasks = tasks
        self._peers.subscribe(Channel.FRESHNESS, self._receive)
        self._membership.subscribe(self._change_members)
        self._change_members()
        self._distribution.subscribe(self._hold_version)
        snapshot = self._distribution.snapshot()
        if snapshot is not None:
            self._hold_version(snapshot)
        tasks.start_soon(self._wake_timer.run)

    async def stop(self) -> None:
        """Stop to answer requests; proofs that were obtained go on to age."""
        self._tasks = None

    def compute_age(self, version: Version) -> float | None:
        """Return how long ago `version` is known to have been the newest; None if it isn't.

        The clock is read now, not at the start of the event loop's iteration, since the process may
        have been paused in between.
        """
        return self._node.compute_age(version, read_boot_clock())

    def _change_members(self) -> None:
        view = self._distribution.view()
        if view is not None:
            self._handle(MembersChanged(view))

    def _hold_version(self, snapshot: Snapshot) -> None:
        needs_proofs = self.needs_always or bool(snapshot.document.customers)
        self._handle(VersionHeld(snapshot.version, needs_proofs))

    def _receive(self, sender: Address, payload: bytes) -> None:
        self._handle(MessageReceived(sender, decode_message(payload)))

    def _handle(self, event: Event) -> None:
        if self._tasks is None:
            return
        stored_version = self._distribution.stored_version()
        if stored_version != self._stored_version:
            self._stored_version = stored_version
            self._perform(
                ReadingStopped()
                if stored_version is None
                else VersionRead(stored_version.revision, stored_version.version)
            )
        self._perform(event)

    def _perform(self, event: Event) -> None:
        assert self._tasks is not None, "events are handled while the service runs"
        for action in self._node.handle(event, read_boot_clock()):
            match action:
                case Send(to, message):
                    self._peers.send(Channel.FRESHNESS, to, encode_message(message))
                case SetTimer(at):
                    self._wake_timer.set(at)
                case RecordEvent(kind, fields):
                    self._events.emit(kind, **fields)
                case Confirm():
                    self._tasks.start_soon(self._confirm, action)
                case ReadStore():
                    self._distribution.read_store()
                case HolderFound(address, version):
                    self._distribution.report_holder(address, version)

    async def _confirm(self, request: Confirm) -> None:
        answer = await perform_request(self._store, request)
        self._handle(answer)  # type: ignore[arg-type]
