"""The kernel service "crashes": refuses requests that crashed several upstreams."""

import random
import secrets
import time
from collections.abc import Mapping

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitpass.ids import Address
from godwitpass.internal.actions import RecordEvent, Send, SetTimer
from godwitpass.internal.crashes.fingerprint import (
    Fingerprint,
    compute_fingerprint,
    compute_head_fingerprint,
)
from godwitpass.internal.crashes.messages import decode_message, encode_message
from godwitpass.internal.crashes.node import (
    AttemptStarted,
    CrashesEvent,
    CrashesNode,
    MembersChanged,
    ReportsReceived,
    Tick,
    UpstreamCrashed,
)
from godwitpass.mesh import MemberState
from godwitpass_daemon.edge.guards import RequestDescriptor
from godwitpass_daemon.peers.channels import Channel
from godwitpass_daemon.services.ports import Events, Membership, Peers

START_ID_BYTES = 4


class CrashesService:
    """Runs a `CrashesNode` with the system clock and the peer transport."""

    def __init__(self, peers: Peers, membership: Membership, events: Events) -> None:
        self._peers = peers
        self._membership = membership
        self._events = events
        self._tasks: TaskGroup | None = None
        self._node = CrashesNode(
            peers.address, random.Random(secrets.randbits(64)), secrets.token_hex(START_ID_BYTES)
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Subscribe to the messages of other daemons."""
        self._tasks = tasks
        self._peers.subscribe(Channel.CRASHES, self._receive)

    async def stop(self) -> None:
        """Do nothing, because other daemons hold the same counts."""

    @property
    def has_suspects(self) -> bool:
        """Return whether any request is suspected."""
        return self._node.has_suspects

    def is_refused(self, request: RequestDescriptor) -> bool:
        """Return whether the request is refused; count its attempt otherwise."""
        fingerprint = self._find_suspect(request)
        if fingerprint is None:
            return False
        if self._node.is_refused(fingerprint, time.monotonic()):
            return True
        context = {"service": request.service, "route": request.route}
        self._handle(AttemptStarted(fingerprint), context)
        return False

    def would_refuse(self, request: RequestDescriptor) -> bool:
        """Return whether the request is refused, without counting an attempt."""
        fingerprint = self._find_suspect(request)
        return fingerprint is not None and self._node.is_refused(fingerprint, time.monotonic())

    def report_crash(self, request: RequestDescriptor) -> None:
        """Record that an upstream's connection broke while it ran the request."""
        context = {"service": request.service, "route": request.route}
        self._handle(UpstreamCrashed(_compute_fingerprint(request)), context)

    def is_suspected(self, request: RequestDescriptor) -> bool:
        """Return whether an upstream crashed while it ran the request."""
        fingerprint = self._find_suspect(request)
        return fingerprint is not None and self._node.is_suspected(fingerprint, time.monotonic())

    def _find_suspect(self, request: RequestDescriptor) -> Fingerprint | None:
        """Return the fingerprint of a request that may be suspected, or None."""
        if not self._node.has_suspects:
            return None
        head_fingerprint = compute_head_fingerprint(request.service, request.method, request.target)
        if not self._node.may_be_suspect(head_fingerprint):
            return None
        return _compute_fingerprint(request)

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

    async def _tick_at(self, at: float) -> None:
        await anyio.sleep(max(0.0, at - time.monotonic()))
        # The members are listed only here, because only a tick sends reports to them.
        alive = (
            member for member in self._membership.members() if member.state is MemberState.ALIVE
        )
        self._handle(MembersChanged(tuple(member.address for member in alive)))
        # The event loop's clock is coarser, so its timers may fire before this clock shows it.
        self._handle(Tick(), not_before=at)

    def _receive(self, sender: Address, payload: bytes) -> None:
        try:
            message = decode_message(payload)
        except msgspec.DecodeError:
            return
        self._handle(ReportsReceived(sender, message))


def _compute_fingerprint(request: RequestDescriptor) -> Fingerprint:
    return compute_fingerprint(request.service, request.method, request.target, request.body)
