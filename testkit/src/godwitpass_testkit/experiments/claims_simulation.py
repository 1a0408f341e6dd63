"""Simulates claims nodes, the network between them and the store under virtual time."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from functools import partial

import msgspec

from godwitpass.errors import StoreOutcomeUnknown, StoreUnavailable
from godwitpass.events import EventKind
from godwitpass.ids import Address, RegionId
from godwitpass.internal.actions import RecordEvent, Send, SetTimer
from godwitpass.internal.claims.keys import ClaimKey
from godwitpass.internal.claims.messages import (
    ClaimMessage,
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
from godwitpass.store import Entry, EntryList, WriteResult
from godwitpass_testkit.experiments.claims_conditions import Conditions
from godwitpass_testkit.store import StoreState

WALL_OFFSET_S = 1_700_000_000.0
"""Unix time at the start of virtual time."""

STORE_TIMEOUT_S = 2.0
CALL_DURATION_S = 0.01
DEFAULT_REGION = RegionId("great-lakes")
NO_REGIONS: Mapping[Address, RegionId] = {}
CONTACTS_PER_REGION = 2
StoreResult = Entry | EntryList | WriteResult | StoreFailure


class CallerRequest(msgspec.Struct):
    """A caller's request, with its outcome once it is known."""

    key: ClaimKey
    address: Address
    sent_at: float
    resolved_at: float | None = None
    outcome: ClaimOutcome | None = None
    status: int = 0


class _Daemon(msgspec.Struct):
    node: ClaimsNode
    incarnation: int = 0
    paused_until: float = 0.0


class ClaimsSimulation:
    """Runs claims nodes; `runs` counts by the digest of a key how often its call ran.

    A granted claim runs its call only if `should_run_calls` is set. `conditions` may be replaced
    while running. `requests` holds every request by its token.
    """

    def __init__(
        self,
        seed: int,
        addresses: Iterable[Address],
        writes_per_s: float = 6.25,
        regions: Mapping[Address, RegionId] = NO_REGIONS,
    ) -> None:
        self.now = 0.0
        self.conditions = Conditions()
        self.store = StoreState(seed)
        self.should_run_calls = True
        self.runs: Counter[bytes] = Counter()
        self.requests: dict[int, CallerRequest] = {}
        self.event_counts: Counter[EventKind] = Counter()
        self.peer_bytes = 0
        self.random = random.Random(seed)
        self._writes_per_s = writes_per_s
        self._regions = regions
        self._sequence = itertools.count()
        self._timers: list[tuple[float, int, Callable[[], object]]] = []
        self.daemons = {address: _Daemon(self._build_node(address)) for address in addresses}
        for address in self.daemons:
            self.set_members(address, self.daemons)

    def _build_node(self, address: Address) -> ClaimsNode:
        seed = self.random.getrandbits(64)
        own = self._build_peer(address)
        return ClaimsNode(own, random.Random(seed), WALL_OFFSET_S, self._writes_per_s)

    def call_at(self, time: float, callback: Callable[[], object]) -> None:
        """Call `callback` at `time`."""
        heapq.heappush(self._timers, (max(time, self.now), next(self._sequence), callback))

    def run(self, end: float) -> None:
        """Run all callbacks that are due until the time `end`."""
        while self._timers and self._timers[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._timers)
            callback()
        self.now = max(self.now, end)

    def make_key(self, digest: bytes, age_s: float = 0.0) -> ClaimKey:
        """Return a key that was created `age_s` ago."""
        padded = digest.rjust(12, b"\0")
        return msgspec.convert((padded, int(WALL_OFFSET_S + self.now - age_s)), ClaimKey)

    def set_members(self, address: Address, members: Iterable[Address]) -> None:
        """Make `members` the only daemons alive in the view of the daemon at `address`."""
        known = self._list_known_members(address)
        alive = set(members)
        joined = tuple(self._build_peer(member) for member in known if member in alive)
        left = tuple(self._build_peer(member) for member in known if member not in alive)
        self.deliver(address, MembersChanged(joined, left))

    def _build_peer(self, address: Address) -> Peer:
        return Peer(address, self._regions.get(address, DEFAULT_REGION))

    def _list_known_members(self, address: Address) -> list[Address]:
        """Return all daemons of the region of `address` and a few contacts in each other region."""
        known: dict[RegionId, list[Address]] = {}
        for member in self.daemons:
            known.setdefault(self._build_peer(member).region, []).append(member)
        own = self._build_peer(address).region
        return [
            member
            for region, members in known.items()
            for member in (members if region == own else members[:CONTACTS_PER_REGION])
        ]

    def pause(self, address: Address, duration_s: float) -> None:
        """Stop a daemon for `duration_s`; events that arrive meanwhile are handled afterwards."""
        self.daemons[address].paused_until = self.now + duration_s

    def restart(self, address: Address) -> None:
        """Replace a daemon with a new one without any state."""
        daemon = self.daemons[address]
        daemon.node = self._build_node(address)
        daemon.incarnation += 1
        daemon.paused_until = 0.0
        self.set_members(address, self.daemons)

    def send(self, key: ClaimKey, address: Address, timeout_s: float = 1.0) -> int:
        """Send a caller's request with `key` to a daemon and return the token of the request."""
        token = self.random.getrandbits(63)
        self.requests[token] = CallerRequest(key, address, self.now)
        self.deliver(address, StartClaim(token, key, self.now + timeout_s))
        return token

    def find_outcome(self, token: int) -> ClaimOutcome | None:
        """Return the outcome of the request with `token`; None if it has no answer yet."""
        return self.requests[token].outcome

    def deliver(self, address: Address, event: ClaimsEvent) -> None:
        """Let a daemon handle `event` now, or at the end of its pause."""
        daemon = self.daemons[address]
        if daemon.paused_until > self.now:
            self.call_at(daemon.paused_until, lambda: self.deliver(address, event))
            return
        self._perform_actions(address, daemon.node.handle(event, self.now))

    def _perform_actions(self, address: Address, actions: Iterable[ClaimsAction]) -> None:
        for action in actions:
            match action:
                case Send(receiver, message):
                    self._send_message(address, receiver, message)
                case SetTimer(at):
                    self._set_timer(address, at)
                case RecordEvent(kind):
                    self.event_counts[kind] += 1
                case Resolve():
                    self._resolve(address, action)
                case StoreDelete(key):
                    self.call_at(
                        self.now + self.conditions.store_delay_s, partial(self._delete_key, key)
                    )
                case StoreGet() | StoreList() | StorePut():
                    self._call_store(address, action)

    def _set_timer(self, address: Address, at: float) -> None:
        incarnation = self.daemons[address].incarnation

        def tick() -> None:
            if self.daemons[address].incarnation == incarnation:
                self.deliver(address, Tick())

        self.call_at(at, tick)

    def _send_message(self, sender: Address, receiver: Address, message: ClaimMessage) -> None:
        encoded = encode_message(message)
        self.peer_bytes += len(encoded)
        copies = 1 + (self.random.random() < self.conditions.message_duplication_rate)
        for _ in range(copies):
            if sender != receiver and self.random.random() < self.conditions.message_loss_rate:
                continue
            decoded = decode_message(encoded)
            delay_s = 0.0
            if sender != receiver:
                delay_s = (
                    self.conditions.peer_delay_s
                    + self.random.random() * self.conditions.peer_jitter_s
                )
            event = Receive(decoded)
            self.call_at(self.now + delay_s, partial(self.deliver, receiver, event))

    def _resolve(self, address: Address, resolve: Resolve) -> None:
        request = self.requests[resolve.token]
        assert request.outcome is None, "a request is answered only once"
        request.outcome, request.status = resolve.outcome, resolve.status
        request.resolved_at = self.now
        if resolve.outcome is ClaimOutcome.GRANTED and self.should_run_calls:
            incarnation = self.daemons[address].incarnation
            self.call_at(
                self.now + CALL_DURATION_S,
                lambda: self._run_call(address, incarnation, resolve.token),
            )

    def _run_call(self, address: Address, incarnation: int, token: int) -> None:
        daemon = self.daemons[address]
        if daemon.paused_until > self.now:
            self.call_at(daemon.paused_until, lambda: self._run_call(address, incarnation, token))
            return
        if daemon.incarnation != incarnation:
            return
        draw = self.random.random()
        if draw < self.conditions.cancelled_call_rate:
            self.deliver(address, Cancel(token))
            return
        self.runs[self.requests[token].key.digest] += 1
        has_answer = draw < 1 - self.conditions.unanswered_call_rate
        self.deliver(address, Complete(token, 201) if has_answer else Abandon(token))

    def _call_store(self, address: Address, call: StoreCall) -> None:
        incarnation = self.daemons[address].incarnation

        def deliver_result(result: StoreResult) -> None:
            daemon = self.daemons[address]
            if daemon.incarnation != incarnation:
                return
            if daemon.paused_until > self.now:
                self.call_at(daemon.paused_until, partial(deliver_result, result))
            else:
                self.deliver(address, StoreAnswered(call.shard, call.request_id, result))

        delay_s = self.conditions.store_delay_s / 2
        failure = StoreFailure.UNKNOWN if isinstance(call, StorePut) else StoreFailure.UNAVAILABLE
        if self.random.random() < self.conditions.lost_request_rate:
            self.call_at(self.now + STORE_TIMEOUT_S, lambda: deliver_result(failure))
            return
        if self.random.random() < self.conditions.late_request_rate:
            lateness_s = self.random.uniform(0.0, 2 * STORE_TIMEOUT_S)
            self.call_at(self.now + lateness_s, lambda: self._apply_store_call(call))
            self.call_at(self.now + STORE_TIMEOUT_S, lambda: deliver_result(failure))
            return
        is_answer_lost = self.random.random() < self.conditions.lost_answer_rate

        def apply_and_answer() -> None:
            result = self._apply_store_call(call)
            if is_answer_lost:
                self.call_at(self.now + STORE_TIMEOUT_S, lambda: deliver_result(failure))
            else:
                self.call_at(self.now + delay_s, lambda: deliver_result(result))

        self.call_at(self.now + delay_s, apply_and_answer)

    def _apply_store_call(self, call: StoreCall) -> StoreResult:
        try:
            match call:
                case StoreGet(_, _, key):
                    return self.store.get(key, self.now)
                case StoreList(_, _, prefix):
                    return self.store.list(prefix, self.now)
                case StorePut(_, _, key, value, expected):
                    return self.store.put(key, value, expected, None, self.now)
        except StoreUnavailable:
            return StoreFailure.UNAVAILABLE
        except StoreOutcomeUnknown:
            return StoreFailure.UNKNOWN

    def _delete_key(self, key: str) -> None:
        try:
            self.store.delete(key, None, self.now)
        except (StoreUnavailable, StoreOutcomeUnknown):
            return
