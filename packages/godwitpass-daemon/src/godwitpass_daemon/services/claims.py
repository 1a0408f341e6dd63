"""The kernel service `claims`, which claims at-most-once calls in the store before they are sent.

The decisions are made by `godwitpass.internal.claims.node`.
"""

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
from godwitpass.internal.claims.keys import (
    ClaimKey,
    Digest,
    InvalidKey,
    may_be_retry,
    parse_key,
)
from godwitpass.internal.claims.messages import (
    STATUS_ANSWERED,
    ClaimOutcome,
    decode_message,
    encode_message,
)
from godwitpass.internal.claims.node import (
    Abandon,
    Cancel,
    ClaimsAction,
    ClaimsEvent,
    ClaimsNode,
    ClockChanged,
    Complete,
    MembersChanged,
    Receive,
    StartClaim,
    Tick,
)
from godwitpass.internal.claims.placement import Peer
from godwitpass.internal.claims.requester import Resolve
from godwitpass.internal.claims.store_calls import (
    StoreAnswered,
    StoreCall,
    StoreDelete,
    StoreFailure,
    StoreGet,
    StoreList,
    StorePut,
)
from godwitpass.mesh import MemberState
from godwitpass.store import Entry, EntryList, Store, WriteResult
from godwitpass_daemon.edge.guards import ClaimVerdict, RequestDescriptor
from godwitpass_daemon.peers.channels import Channel
from godwitpass_daemon.services.ports import Events, Membership, Peers
from godwitpass_daemon.services.wake_timer import WakeTimer

CLAIM_TIMEOUT_S = 1.5
"""Longest wait for a claim; a call with a shorter timeout waits no longer than that."""

REFRESH_INTERVAL_S = 1.0
"""Time between two checks for changes of members and of the wall clock."""

INVALID_KEY_LABEL = "invalid_key"
VERDICTS_BY_OUTCOME = {
    ClaimOutcome.GRANTED: ClaimVerdict.FIRST,
    ClaimOutcome.UNAVAILABLE: ClaimVerdict.UNAVAILABLE,
    ClaimOutcome.UNSETTLED: ClaimVerdict.UNAVAILABLE,
}
"""Any other outcome means `ClaimVerdict.REPEATED`, since an earlier call may have been sent."""


class _Waiter:
    def __init__(self) -> None:
        self.done = anyio.Event()
        self.outcome = ClaimOutcome.UNSETTLED


class ClaimsService:
    """Runs a `ClaimsNode` with the real clock, store and peer transport.

    `counts` holds the number of claims of this daemon's callers by outcome.
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
        self._granted_tokens: dict[Digest, int] = {}
        self._known_members: frozenset[Peer] = frozenset()
        self._has_member_changes = True
        self._wake_timer = WakeTimer(time.monotonic, lambda _due_at: self._handle(Tick()))
        local_peer = Peer(peers.address, region)
        self._node = ClaimsNode(local_peer, self._random, time.time() - time.monotonic())

    async def start(self, tasks: TaskGroup) -> None:
        """Subscribe to peers and membership, and start the background tasks."""
        self._tasks = tasks
        self._peers.subscribe(Channel.CLAIMS, self._receive)
        self._membership.subscribe(self._request_member_refresh)
        tasks.start_soon(self._wake_timer.run)
        tasks.start_soon(self._refresh_periodically)

    async def stop(self) -> None:
        """Do nothing: all grants are in the store."""

    async def claim(self, request: RequestDescriptor) -> ClaimVerdict:
        """Claim the call before it is sent; one without an idempotency key is always first."""
        if not request.idempotency_key:
            return ClaimVerdict.FIRST
        try:
            key = _parse_key(request)
        except InvalidKey:
            self.counts[INVALID_KEY_LABEL] += 1
            return ClaimVerdict.INVALID
        is_possible_retry = may_be_retry(key, time.time())
        token = self._random.getrandbits(63)
        waiter = self._waiters[token] = _Waiter()
        timeout_s = min(CLAIM_TIMEOUT_S, request.timeout_s)
        try:
            self._handle(StartClaim(token, key, time.monotonic() + timeout_s))
            await waiter.done.wait()
        except BaseException:
            # The caller's task was cancelled or failed, so the call is not sent.
            self._handle(Cancel(token))
            raise
        finally:
            del self._waiters[token]
        self.counts[waiter.outcome.name.lower()] += 1
        if waiter.outcome is ClaimOutcome.GRANTED:
            self._granted_tokens[key.digest] = token
        verdict = VERDICTS_BY_OUTCOME.get(waiter.outcome, ClaimVerdict.REPEATED)
        if verdict is ClaimVerdict.UNAVAILABLE and is_possible_retry:
            # An earlier attempt may have run, and its claim can't be looked up now.
            return ClaimVerdict.REPEATED
        return verdict

    def settle(self, request: RequestDescriptor, outcome: Outcome | None) -> None:
        """Record the outcome of a first call; None means that it was answered."""
        if not request.idempotency_key:
            return
        token = self._granted_tokens.pop(_parse_key(request).digest, None)
        if token is None:
            return
        match outcome:
            case None:
                self._handle(Complete(token, STATUS_ANSWERED))
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
                self._tasks.start_soon(self._receive_from_self, Receive(message))
            case Send(to, message):
                self._peers.send(Channel.CLAIMS, to, encode_message(message))
            case SetTimer(at):
                self._wake_timer.set(at)
            case RecordEvent(kind, fields):
                self._events.emit(kind, **fields)
            case Resolve(token, outcome):
                self._resolve(token, outcome)
            case StoreDelete(key):
                self._tasks.start_soon(self._delete_key, key)
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

    async def _receive_from_self(self, event: Receive) -> None:
        # Runs as a task, so that the event is handled only after the current one.
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

    async def _delete_key(self, key: str) -> None:
        try:
            await self._store.delete(key, None)
        except StoreError:
            # The next owner that loads the shard deletes all unreferenced segments.
            return

    def _request_member_refresh(self, *_changes: object) -> None:
        self._has_member_changes = True

    async def _refresh_periodically(self) -> None:
        while True:
            if self._has_member_changes:
                self._has_member_changes = False
                self._update_members()
            self._handle(ClockChanged(time.time() - time.monotonic()))
            await anyio.sleep(REFRESH_INTERVAL_S)

    def _update_members(self) -> None:
        members = frozenset(
            Peer(member.address, member.region)
            for member in self._membership.members()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        )
        joined, left = members - self._known_members, self._known_members - members
        self._known_members = members
        self._handle(MembersChanged(tuple(joined), tuple(left)))


def _parse_key(request: RequestDescriptor) -> ClaimKey:
    path = request.target.partition(b"?")[0].decode("latin-1")
    return parse_key(request.idempotency_key, f"{request.method} {path}")
