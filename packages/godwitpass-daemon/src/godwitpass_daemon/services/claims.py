"""The kernel service "claims": at-most-once calls, claimed in the store before they are sent."""

import random
import secrets
import time
from collections import Counter

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitpass.errors import StoreError, StoreOutcomeUnknown
from godwitpass.ids import Address, RegionId
from godwitpass.internal.actions import RecordEvent, Send, SetTimer
from godwitpass.internal.calls.outcomes import Outcome
from godwitpass.internal.claims.claimant import Resolve
from godwitpass.internal.claims.keys import (
    ClaimKey,
    Digest,
    InvalidKey,
    may_be_repeated,
    parse_key,
)
from godwitpass.internal.claims.messages import (
    ANSWERED,
    ClaimOutcome,
    decode_message,
    encode_message,
)
from godwitpass.internal.claims.node import (
    Abandon,
    StartClaim,
    Cancel,
    ClaimsAction,
    ClaimsEvent,
    ClaimsNode,
    ClockChanged,
    Complete,
    MembersChanged,
    Receive,
    Tick,
)
from godwitpass.internal.claims.placement import Peer
from godwitpass.internal.claims.store_calls import (
    StoreFailure,
    StoreAnswered,
    StoreCall,
    StoreDelete,
    StoreGet,
    StoreList,
    StorePut,
)
from godwitpass.mesh import MemberState
from godwitpass.store import Entry, WriteResult, Store, EntryList
from godwitpass_daemon.edge.guards import ClaimVerdict, RequestDescriptor
from godwitpass_daemon.peers.channels import Channel
from godwitpass_daemon.services.wake_timer import WakeTimer
from godwitpass_daemon.services.ports import Events, Membership, Peers

CLAIM_PATIENCE_S = 1.5
HOUSEKEEPING_INTERVAL_S = 1.0
INVALID_KEY = "invalid_key"
VERDICTS = {
    ClaimOutcome.GRANTED: ClaimVerdict.FIRST,
    ClaimOutcome.UNAVAILABLE: ClaimVerdict.UNAVAILABLE,
    ClaimOutcome.UNSETTLED: ClaimVerdict.UNAVAILABLE,
}
"""All other outcomes mean that the key was, or may have been, sent before."""


class _Waiter:
    def __init__(self) -> None:
        self.done = anyio.Event()
        self.outcome = ClaimOutcome.UNSETTLED


class ClaimsService:
    """Runs a `ClaimsNode` on the real clock, store and peer transport.

    `counts` has the claims of this daemon's callers by outcome.
    """

    def __init__(
        self,
        region: RegionId,
        store: Store,
        peers: Peers,
        membership: Membership,
        events: Events,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._store = store
        self._peers = peers
        self._membership = membership
        self._events = events
        self._random = random.Random(secrets.randbits(64))
        self._tasks: TaskGroup | None = None
        self._waiters: dict[int, _Waiter] = {}
        self._sent: dict[Digest, int] = {}
        self._known: frozenset[Peer] = frozenset()
        self._members_changed = True
        self._alarm = WakeTimer(time.monotonic, lambda due: self._handle(Tick()))
        own = Peer(peers.address, region)
        self._node = ClaimsNode(own, self._random, time.time() - time.monotonic())

    async def start(self, tasks: TaskGroup) -> None:
        """Listen to peers; claims are answered from now on."""
        self._tasks = tasks
        self._peers.subscribe(Channel.CLAIMS, self._receive)
        self._membership.subscribe(self._note_membership)
        tasks.start_soon(self._alarm.run)
        tasks.start_soon(self._keep_house)

    async def stop(self) -> None:
        """Do nothing: what is granted is in the store."""

    async def claim(self, facts: RequestDescriptor) -> ClaimVerdict:
        """Record the call of `facts` before it is sent; one without a key is always first."""
        if not facts.idempotency_key:
            return ClaimVerdict.FIRST
        try:
            key = _parse_key(facts)
        except InvalidKey:
            self.counts[INVALID_KEY] += 1
            return ClaimVerdict.INVALID
        is_old = may_be_repeated(key, time.time())
        token = self._random.getrandbits(63)
        waiter = self._waiters[token] = _Waiter()
        patience = min(CLAIM_PATIENCE_S, facts.timeout_s)
        try:
            self._handle(StartClaim(token, key, time.monotonic() + patience))
            await waiter.done.wait()
        except BaseException:
            # The asker went away, so the call is not sent.
            self._handle(Cancel(token))
            raise
        finally:
            del self._waiters[token]
        self.counts[waiter.outcome.name.lower()] += 1
        if waiter.outcome is ClaimOutcome.GRANTED:
            self._sent[key.digest] = token
        verdict = VERDICTS.get(waiter.outcome, ClaimVerdict.REPEATED)
        if verdict is ClaimVerdict.UNAVAILABLE and is_old:
            # An earlier sending may have run, which nobody can look up now.
            return ClaimVerdict.REPEATED
        return verdict

    def settle(self, facts: RequestDescriptor, outcome: Outcome | None) -> None:
        """Take in how a first call ended; None means that it was answered."""
        if not facts.idempotency_key:
            return
        token = self._sent.pop(_parse_key(facts).digest, None)
        if token is None:
            return
        match outcome:
            case None:
                self._handle(Complete(token, ANSWERED))
            case Outcome.UNKNOWN:
                self._handle(Abandon(token))
            case Outcome.NOT_RUN | Outcome.REFUSED:
                self._handle(Cancel(token))

    def _handle(self, event: ClaimsEvent) -> None:
        for action in self._node.handle(event, time.monotonic()):
            self._perform(action)

    def _perform(self, action: ClaimsAction) -> None:
        assert self._tasks is not None, "the service is started before it is used"
        match action:
            case Send(to, message) if to == self._peers.address:
                self._tasks.start_soon(self._receive_own, Receive(message))
            case Send(to, message):
                self._peers.send(Channel.CLAIMS, to, encode_message(message))
            case SetTimer(at):
                self._alarm.set(at)
            case RecordEvent(kind, fields):
                self._events.emit(kind, **fields)
            case Resolve(token, outcome):
                self._resolve(token, outcome)
            case StoreDelete(key):
                self._tasks.start_soon(self._delete, key)
            case StoreGet() | StoreList() | StorePut():
                self._tasks.start_soon(self._call_store, action)

    def _resolve(self, token: int, outcome: ClaimOutcome) -> None:
        waiter = self._waiters[token]
        waiter.outcome = outcome
        waiter.done.set()

    def _receive(self, sender: Address, payload: bytes) -> None:
        try:
            message = decode_message(payload)
        except msgspec.DecodeError:
            return
        self._handle(Receive(message))

    async def _receive_own(self, event: Receive) -> None:
        self._handle(event)

    async def _call_store(self, call: StoreCall) -> None:
        answer: Entry | EntryList | WriteResult | StoreFailure
        try:
            match call:
                case StoreGet(_, _, key):
                    answer = await self._store.get(key)
                case StoreList(_, _, prefix):
                    answer = await self._store.list(prefix)
                case StorePut(_, _, key, value, expected):
                    answer = await self._store.put(key, value, expected)
        except StoreOutcomeUnknown:
            answer = StoreFailure.UNKNOWN
        except StoreError:
            answer = StoreFailure.UNAVAILABLE
        self._handle(StoreAnswered(call.shard, call.request_id, answer))

    async def _delete(self, key: str) -> None:
        try:
            await self._store.delete(key, None)
        except StoreError:
            # The next holder of the shard deletes what is no longer referred to.
            return

    def _note_membership(self, *_changes: object) -> None:
        self._members_changed = True

    async def _keep_house(self) -> None:
        while True:
            if self._members_changed:
                self._members_changed = False
                self._update_members()
            self._handle(ClockChanged(time.time() - time.monotonic()))
            await anyio.sleep(HOUSEKEEPING_INTERVAL_S)

    def _update_members(self) -> None:
        members = frozenset(
            Peer(member.address, member.region)
            for member in self._membership.members()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        )
        joined, left = members - self._known, self._known - members
        self._known = members
        self._handle(MembersChanged(tuple(joined), tuple(left)))


def _parse_key(facts: RequestDescriptor) -> ClaimKey:
    path = facts.target.partition(b"?")[0].decode("latin-1")
    return parse_key(facts.idempotency_key, f"{facts.method} {path}")
