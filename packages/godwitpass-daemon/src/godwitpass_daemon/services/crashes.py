"""The kernel service "crashes": refuses requests that crashed several upstreams."""

import random
import secrets
import time

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
    UpstreamCrashed,
    CrashesEvent,
    CrashesNode,
    MembersChanged,
    ReportsReceived,
    Tick,
)
from godwitpass.mesh import MemberState
from godwitpass_daemon.edge.guards import RequestDescriptor
from godwitpass_daemon.peers.channels import Channel
from godwitpass_daemon.services.ports import Events, Membership, Peers


class CrashesService:
    """Runs a `CrashesNode` on the real clock and peer transport."""

    def __init__(self, peers: Peers, membership: Membership, events: Events) -> None:
        self._peers = peers
        self._membership = membership
        self._events = events
        self._tasks: TaskGroup | None = None
        self._node = CrashesNode(peers.address, random.Random(secrets.randbits(64)))

    async def start(self, tasks: TaskGroup) -> None:
        """Listen to peers."""
        self._tasks = tasks
        self._peers.subscribe(Channel.CRASHES, self._receive)

    async def stop(self) -> None:
        """Do nothing: what is known here is known to other daemons."""

    def is_refused(self, facts: RequestDescriptor) -> bool:
        """Tell whether the request crashed too many upstreams."""
        if not self._node.has_suspects:
            return False
        head = compute_head_fingerprint(facts.service, facts.method, facts.target)
        if not self._node.may_suspect(head):
            return False
        fingerprint = _identify(facts)
        if self._node.is_refused(fingerprint, time.monotonic()):
            return True
        self._handle(AttemptStarted(fingerprint))
        return False

    def report_crash(self, facts: RequestDescriptor) -> None:
        """Take in that an upstream's connection broke while it ran the request."""
        self._handle(UpstreamCrashed(_identify(facts)))

    def _handle(self, event: CrashesEvent) -> None:
        assert self._tasks is not None, "the service is started before it is used"
        for action in self._node.handle(event, time.monotonic()):
            match action:
                case Send(to, message):
                    self._peers.send(Channel.CRASHES, to, encode_message(message))
                case SetTimer(at):
                    self._tasks.start_soon(self._wake, at)
                case RecordEvent(kind, fields):
                    self._events.emit(kind, **fields)

    async def _wake(self, at: float) -> None:
        await anyio.sleep(max(0.0, at - time.monotonic()))
        # Members are read only when there is something to tell them.
        alive = (m for m in self._membership.members() if m.state is MemberState.ALIVE)
        self._handle(MembersChanged(tuple(member.address for member in alive)))
        self._handle(Tick())

    def _receive(self, sender: Address, payload: bytes) -> None:
        try:
            message = decode_message(payload)
        except msgspec.DecodeError:
            return
        self._handle(ReportsReceived(sender, message))


def _identify(facts: RequestDescriptor) -> Fingerprint:
    return compute_fingerprint(facts.service, facts.method, facts.target, facts.body)
