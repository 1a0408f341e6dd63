"""The kernel service "quotas": rate limits of customers over all daemons together."""

import asyncio
import random
import secrets
from collections.abc import Iterator

import anyio
from anyio.abc import TaskGroup

from godwitpass.ids import Address, CustomerName
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.quotas.asker import (
    NO_PERMIT,
    AskerEvent,
    CallArrived,
    CoordinatorsChanged,
    CustomerCounts,
    Decide,
    PermitReleased,
    QuotaAsker,
)
from godwitpass.internal.quotas.buckets import RateLimit
from godwitpass.internal.quotas.daemon_count import DaemonCount
from godwitpass.internal.quotas.electorate import choose_coordinators
from godwitpass.internal.quotas.interface import (
    OnQuotaDecision,
    Permit,
    QuotaAdmitted,
    QuotaDecision,
)
from godwitpass.internal.quotas.messages import Ask, Message, decode_message, encode_message
from godwitpass.internal.quotas.owner import DaemonsCounted, LimitsChanged, OwnerEvent, QuotaOwner
from godwitpass.internal.quotas.settings import QuotaSettings
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.boot_clock import read_boot_clock
from godwitpass_daemon.peers.channels import Channel
from godwitpass_daemon.services.ports import Events, Membership, Peers, Snapshots
from godwitpass_daemon.services.wake_timer import WakeTimer

SESSION_BITS = 62
MEMBER_HOLD_S = 60.0
"""Time for which a missing daemon keeps its share, since it may run beyond a partition.

A longer partition lets both sides grant the whole rate; a shorter time would let brief ones.
"""

MEMBER_CHECK_INTERVAL_S = 5.0


class QuotaService:
    """The `QuotaGate` of this daemon; also grants tokens while this daemon coordinates."""

    def __init__(
        self,
        settings: QuotaSettings,
        peers: Peers,
        membership: Membership,
        distribution: Snapshots,
        events: Events,
    ) -> None:
        self._peers = peers
        self._membership = membership
        self._distribution = distribution
        self._events = events
        now, session = read_boot_clock(), secrets.randbits(SESSION_BITS)
        self._asker = QuotaAsker(session, settings, random.Random(secrets.randbits(64)), now)
        self._owner = QuotaOwner(peers.address, session, settings, now)
        self._daemon_count = DaemonCount(MEMBER_HOLD_S)
        self._limits: dict[CustomerName, RateLimit] = {}
        self._callbacks: dict[int, OnQuotaDecision] = {}
        self._last_call_id = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._wake_timer = WakeTimer(read_boot_clock, self._handle_timer)

    async def start(self, tasks: TaskGroup) -> None:
        """Take part in the rate limits of the active version."""
        self._loop = asyncio.get_running_loop()
        self._peers.subscribe(Channel.QUOTAS, self._receive)
        self._membership.subscribe(self._update_members)
        snapshot = self._distribution.snapshot()
        if snapshot is not None:
            self._apply_snapshot(snapshot)
        self._distribution.subscribe(self._apply_snapshot)
        tasks.start_soon(self._wake_timer.run)
        tasks.start_soon(self._check_members)

    async def stop(self) -> None:
        """Do nothing: tokens expire by themselves, and other daemons notice the silence."""

    @property
    def owner(self) -> QuotaOwner:
        """Return the decisions as a coordinator, for metrics."""
        return self._owner

    @property
    def coordinators(self) -> tuple[Address, ...]:
        """Return the daemons that coordinate, as far as known here."""
        return self._asker.coordinators

    @property
    def messages_sent(self) -> int:
        """Return the number of requests to coordinators."""
        return self._asker.counts["asked"]

    def list_counts(self) -> Iterator[tuple[CustomerName, CustomerCounts]]:
        """Yield the counts of the customers that had calls here."""
        return self._asker.list_counts()

    def acquire(self, customer: CustomerName, on_decision: OnQuotaDecision) -> QuotaDecision | None:
        """Return the decision; None if `on_decision` is called with it later, exactly once."""
        if customer not in self._limits:
            return QuotaAdmitted(NO_PERMIT)
        self._last_call_id += 1
        call_id = self._last_call_id
        self._callbacks[call_id] = on_decision
        return self._tell_asker(CallArrived(call_id, customer), call_id)

    def release(self, customer: CustomerName, permit: Permit) -> None:
        """Return the permit of a call that never reached an upstream."""
        if permit != NO_PERMIT:
            self._tell_asker(PermitReleased(customer, permit))

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        was_active = bool(self._limits)
        self._limits = {
            customer.name: RateLimit(customer.rate_per_s, customer.burst)
            for customer in snapshot.document.customers
            if customer.rate_per_s > 0
        }
        if self._limits and not was_active:
            self._update_members()
        event = LimitsChanged(snapshot.version, self._limits)
        self._tell_owner(event)
        self._tell_asker(event)

    async def _check_members(self) -> None:
        while True:
            await anyio.sleep(MEMBER_CHECK_INTERVAL_S)
            self._update_members()

    def _update_members(self) -> None:
        members = self._membership.members()
        addresses = {member.address for member in members} | {self._peers.address}
        count = self._daemon_count.update(addresses, read_boot_clock())
        if self._limits:
            coordinators = choose_coordinators(members) or (self._peers.address,)
            self._tell_owner(DaemonsCounted(count))
            self._tell_asker(CoordinatorsChanged(coordinators, count))

    def _handle_timer(self, due_at: float) -> None:
        self._tell_asker(TimerFired())

    def _receive(self, sender: Address, payload: bytes) -> None:
        # The transport drops messages that can't be decoded.
        self._handle_message(sender, decode_message(payload))

    def _handle_message(self, sender: Address, message: Message) -> None:
        if isinstance(message, Ask):
            self._tell_owner(MessageReceived(sender, message))
        else:
            self._tell_asker(MessageReceived(sender, message))

    def _tell_owner(self, event: OwnerEvent) -> None:
        for action in self._owner.handle(event, read_boot_clock()):
            self._send(action.to, action.message)

    def _tell_asker(self, event: AskerEvent, call_id: int = 0) -> QuotaDecision | None:
        """Handle an event; return the decision on the call `call_id` if it was made."""
        decision: QuotaDecision | None = None
        for action in self._asker.handle(event, read_boot_clock()):
            match action:
                case Send(to, message):
                    self._send(to, message)
                case SetTimer(at):
                    self._wake_timer.set(at)
                case RecordEvent(kind, fields):
                    self._events.emit(kind, **fields)
                case Decide():
                    callback = self._callbacks.pop(action.call_id)
                    if action.call_id == call_id:
                        decision = action.decision
                    else:
                        callback(action.decision)
        return decision

    def _send(self, to: Address, message: Message) -> None:
        if to != self._peers.address:
            self._peers.send(Channel.QUOTAS, to, encode_message(message))
        elif self._loop is not None:
            # Later, so that no call is decided while `acquire` runs.
            self._loop.call_soon(self._handle_message, to, message)
