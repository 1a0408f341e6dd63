"""The kernel service "crashes": refuses requests that crashed several upstreams."""

import random
import secrets
import time
from collections.abc import Mapping

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitpass.ids import Address, ServiceName
from godwitpass.internal.actions import RecordEvent, Send, SetTimer
from godwitpass.internal.crashes.completed_paths import CompletedPaths
from godwitpass.internal.crashes.fingerprint import (
    Fingerprint,
    compute_fingerprints,
    compute_head_fingerprint,
)
from godwitpass.internal.crashes.messages import decode_message, encode_message
from godwitpass.internal.crashes.node import (
    AttemptEnded,
    AttemptStarted,
    CrashesEvent,
    CrashesNode,
    MembersChanged,
    ReportsChanged,
    ReportsReceived,
    ReportsRestored,
    Started,
    Tick,
    UpstreamCrashed,
)
from godwitpass.mesh import MemberState
from godwitpass.store import Store
from godwitpass_daemon.edge.guards import RequestDescriptor
from godwitpass_daemon.peers.channels import Channel
from godwitpass_daemon.services.crash_records import CrashRecords
from godwitpass_daemon.services.ports import Events, Membership, Peers

START_ID_BYTES = 4
MEMBERS_REFRESH_S = 3.0


class CrashesService:
    """Runs a `CrashesNode` with the system clock and the peer transport."""

    def __init__(self, peers: Peers, membership: Membership, events: Events, store: Store) -> None:
        self._peers = peers
        self._membership = membership
        self._events = events
        self._tasks: TaskGroup | None = None
        self._completed_paths = CompletedPaths()
        self._refresh_members_at = 0.0
        rng = random.Random(secrets.randbits(64))
        self._node = CrashesNode(peers.address, rng, secrets.token_hex(START_ID_BYTES))
        self._records = CrashRecords(
            store,
            peers.address,
            lambda: self._node.list_recorded_reports(time.monotonic()),
            lambda reports: self._handle(ReportsRestored(reports)),
            events,
            rng,
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Ask the other daemons and the store for the counts of earlier crashes."""
        self._tasks = tasks
        self._peers.subscribe(Channel.CRASHES, self._receive)
        self._handle(Started())
        tasks.start_soon(self._records.run)

    async def stop(self) -> None:
        """Do nothing, because other daemons and the store hold the same counts."""

    @property
    def has_suspects(self) -> bool:
        """Return whether any request is suspected."""
        return self._node.has_suspects

    def is_refused(self, request: RequestDescriptor) -> bool:
        """Return whether the request is refused; count its attempt otherwise."""
        fingerprints = self._find_suspects(request)
        if not fingerprints:
            return False
        now = time.monotonic()
        if self._is_any_refused(request.service, fingerprints, now):
            return True
        context = {"service": request.service, "route": request.route}
        for fingerprint in fingerprints:
            self._handle(AttemptStarted(fingerprint), context)
        return False

    def would_refuse(self, request: RequestDescriptor, is_forwarding: bool = False) -> bool:
        """Return whether the request is refused, without counting an attempt."""
        fingerprints = self._find_suspects(request)
        return self._is_any_refused(request.service, fingerprints, time.monotonic(), is_forwarding)

    def record_ended(self, request: RequestDescriptor, has_succeeded: bool) -> None:
        """Record that an attempt of a suspected request ended without a broken connection."""
        for fingerprint in self._find_suspects(request):
            self._handle(AttemptEnded(fingerprint, has_succeeded))

    def record_completed(self, service: ServiceName, method: bytes, target: bytes) -> None:
        """Record that an upstream completed a call."""
        self._completed_paths.record(service, method, target, time.monotonic())

    def report_crash(self, request: RequestDescriptor, age_s: float = 0.0) -> None:
        """Record that an upstream's connection broke `age_s` ago while it ran the request."""
        fingerprints = _compute_fingerprints(request)
        if self._completed_paths.contains(
            request.service, request.method.encode("latin-1"), request.target, time.monotonic()
        ):
            fingerprints = fingerprints[:1]
        context = {"service": request.service, "route": request.route}
        for fingerprint in fingerprints:
            self._handle(UpstreamCrashed(fingerprint, age_s), context)

    def is_suspected(self, request: RequestDescriptor) -> bool:
        """Return whether an upstream crashed while it ran the request."""
        now = time.monotonic()
        return any(
            self._node.is_suspected(fingerprint, now)
            for fingerprint in self._find_suspects(request)
        )

    def _is_any_refused(
        self,
        service: ServiceName,
        fingerprints: tuple[Fingerprint, ...],
        now: float,
        is_forwarding: bool = False,
    ) -> bool:
        def list_competitors() -> list[Address]:
            return self._list_competitors(service)

        return any(
            self._node.is_refused(fingerprint, now, list_competitors, is_forwarding)
            for fingerprint in fingerprints
        )

    def _list_competitors(self, service: ServiceName) -> list[Address]:
        """List the daemons beside upstreams of `service`; all if this one is beside none."""
        members = [
            member for member in self._membership.members() if member.state is MemberState.ALIVE
        ]
        beside = [
            member.address
            for member in members
            if member.upstream is not None and member.upstream.service == service
        ]
        if self._peers.address in beside:
            return beside
        return [member.address for member in members]

    def _find_suspects(self, request: RequestDescriptor) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of a request that may be suspected; none if it can't be."""
        if not self._node.has_suspects:
            return ()
        head_fingerprint = compute_head_fingerprint(request.service, request.method, request.target)
        if not self._node.may_be_suspect(head_fingerprint):
            return ()
        return _compute_fingerprints(request)

    def _handle(
        self,
        event: CrashesEvent,
        context: Mapping[str, str] | None = None,
        not_before: float = 0.0,
    ) -> None:
        """Handle an event; `context` holds fields that are added to the log lines."""
        assert self._tasks is not None, "the service is started before it is used"
        for action in self._node.handle(event, max(time.monotonic(), not_before)):
            match action:
                case Send(to, message):
                    self._peers.send(Channel.CRASHES, to, encode_message(message))
                case SetTimer(at):
                    self._tasks.start_soon(self._tick_at, at)
                case RecordEvent(kind, fields):
                    self._events.emit(kind, **fields, **(context or {}))
                case ReportsChanged():
                    self._records.update()

    async def _tick_at(self, at: float) -> None:
        await anyio.sleep(max(0.0, at - time.monotonic()))
        self._refresh_members(time.monotonic())
        # The event loop's clock is coarser, so its timers may fire before this clock shows it.
        self._handle(Tick(), not_before=at)

    def _refresh_members(self, now: float) -> None:
        """List the members at most once in `MEMBERS_REFRESH_S`, as there may be thousands."""
        if now < self._refresh_members_at:
            return
        alive = (
            member for member in self._membership.members() if member.state is MemberState.ALIVE
        )
        members = tuple(member.address for member in alive)
        # A daemon that knows only itself is still joining.
        self._refresh_members_at = now + (MEMBERS_REFRESH_S if len(members) > 1 else 0.0)
        self._handle(MembersChanged(members))

    def _receive(self, sender: Address, payload: bytes) -> None:
        try:
            message = decode_message(payload)
        except msgspec.DecodeError:
            return
        self._handle(ReportsReceived(sender, message))


def _compute_fingerprints(request: RequestDescriptor) -> tuple[Fingerprint, ...]:
    return compute_fingerprints(request.service, request.method, request.target, request.body)
