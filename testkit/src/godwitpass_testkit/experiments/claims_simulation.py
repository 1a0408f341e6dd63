"""Daemons' claims, the network between them and the store, under virtual time."""

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
STORE_TIMEOUT_S = 2.0
ONE_REGION = RegionId("great-lakes")
NO_REGIONS: Mapping[Address, RegionId] = {}
CONTACTS = 2
Answer = Entry | EntryList | WriteResult | StoreFailure


class Sending(msgspec.Struct):
    """One sending by a caller, and what became of it."""

    key: ClaimKey
    node: Address
    asked_at: float
    resolved_at: float | None = None
    outcome: ClaimOutcome | None = None
    status: int = 0


class _Machine(msgspec.Struct):
    node: ClaimsNode
    incarnation: int = 0
    paused_until: float = 0.0


class ClaimsSimulation:
    """Runs claims nodes; `runs` counts how often the call of each key ran."""

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
        self.requests: dict[int, Sending] = {}
        self.event_counts: Counter[EventKind] = Counter()
        self.peer_bytes = 0
        self.random = random.Random(seed)
        self._writes_per_s = writes_per_s
        self._regions = regions
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self.daemons = {address: _Machine(self._build_node(address)) for address in addresses}
        for address in self.daemons:
            self.set_members(address, self.daemons)

    def _build_node(self, address: Address) -> ClaimsNode:
        seed = self.random.getrandbits(64)
        own = self._peer(address)
        return ClaimsNode(own, random.Random(seed), WALL_OFFSET_S, self._writes_per_s)

    def at(self, time: float, callback: Callable[[], object]) -> None:
        """Call `callback` at `time`."""
        heapq.heappush(self._queue, (max(time, self.now), next(self._order), callback))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = max(self.now, until)

    def make_key(self, digest: bytes, age_s: float = 0.0) -> ClaimKey:
        """Return a key made `age` seconds ago."""
        padded = digest.rjust(12, b"\0")
        return msgspec.convert((padded, int(WALL_OFFSET_S + self.now - age_s)), ClaimKey)

    def set_members(self, address: Address, members: Iterable[Address]) -> None:
        """Let one daemon believe that of those it may know just `members` are alive."""
        known = self._list_known(address)
        alive = set(members)
        joined = tuple(self._peer(member) for member in known if member in alive)
        left = tuple(self._peer(member) for member in known if member not in alive)
        self.deliver(address, MembersChanged(joined, left))

    def _peer(self, address: Address) -> Peer:
        return Peer(address, self._regions.get(address, ONE_REGION))

    def _list_known(self, address: Address) -> list[Address]:
        """Return the daemons of one daemon's region and a few contacts of each other region."""
        known: dict[RegionId, list[Address]] = {}
        for member in self.daemons:
            known.setdefault(self._peer(member).region, []).append(member)
        own = self._peer(address).region
        return [
            member
            for region, members in known.items()
            for member in (members if region == own else members[:CONTACTS])
        ]

    def pause(self, address: Address, seconds: float) -> None:
        """Stop one daemon for a while; what arrives meanwhile is handled afterwards."""
        self.daemons[address].paused_until = self.now + seconds

    def restart(self, address: Address) -> None:
        """Replace one daemon by a new one that knows nothing."""
        machine = self.daemons[address]
        machine.node = self._build_node(address)
        machine.incarnation += 1
        machine.paused_until = 0.0
        self.set_members(address, self.daemons)

    def send(self, key: ClaimKey, address: Address, timeout_s: float = 1.0) -> int:
        """Let a caller send a request with `key` to a daemon; returns the sending's token."""
        token = self.random.getrandbits(63)
        self.requests[token] = Sending(key, address, self.now)
        self.deliver(address, StartClaim(token, key, self.now + timeout_s))
        return token

    def find_outcome(self, token: int) -> ClaimOutcome | None:
        """Return the answer to a sending, if there is one."""
        return self.requests[token].outcome

    def deliver(self, address: Address, event: ClaimsEvent) -> None:
        """Let a daemon handle `event` now, or once it is no longer paused."""
        machine = self.daemons[address]
        if machine.paused_until > self.now:
            self.at(machine.paused_until, lambda: self.deliver(address, event))
            return
        self._perform(address, machine.node.handle(event, self.now))

    def _perform(self, address: Address, actions: Iterable[ClaimsAction]) -> None:
        for action in actions:
            match action:
                case Send(to, message):
                    self._send_message(address, to, message)
                case SetTimer(at):
                    self._wake(address, at)
                case RecordEvent(kind):
                    self.event_counts[kind] += 1
                case Resolve():
                    self._resolve(address, action)
                case StoreDelete(key):
                    self.at(self.now + self.conditions.store_delay_s, partial(self._delete, key))
                case StoreGet() | StoreList() | StorePut():
                    self._call_store(address, action)

    def _wake(self, address: Address, at: float) -> None:
        incarnation = self.daemons[address].incarnation

        def tick() -> None:
            if self.daemons[address].incarnation == incarnation:
                self.deliver(address, Tick())

        self.at(at, tick)

    def _send_message(self, sender: Address, to: Address, message: ClaimMessage) -> None:
        encoded = encode_message(message)
        self.peer_bytes += len(encoded)
        copies = 1 + (self.random.random() < self.conditions.message_duplication_rate)
        for _ in range(copies):
            if sender != to and self.random.random() < self.conditions.message_loss_rate:
                continue
            decoded = decode_message(encoded)
            delay = 0.0
            if sender != to:
                delay = self.conditions.peer_delay_s + self.random.random() * self.conditions.peer_jitter_s
            event = Receive(decoded)
            self.at(self.now + delay, partial(self.deliver, to, event))

    def _resolve(self, address: Address, resolve: Resolve) -> None:
        sending = self.requests[resolve.token]
        assert sending.outcome is None, "a sending is answered once"
        sending.outcome, sending.status = resolve.outcome, resolve.status
        sending.resolved_at = self.now
        if resolve.outcome is ClaimOutcome.GRANTED and self.should_run_calls:
            incarnation = self.daemons[address].incarnation
            self.at(self.now + 0.01, lambda: self._run_call(address, incarnation, resolve.token))

    def _run_call(self, address: Address, incarnation: int, token: int) -> None:
        machine = self.daemons[address]
        if machine.paused_until > self.now:
            self.at(machine.paused_until, lambda: self._run_call(address, incarnation, token))
            return
        if machine.incarnation != incarnation:
            return
        fate = self.random.random()
        if fate < self.conditions.cancelled_call_rate:
            self.deliver(address, Cancel(token))
            return
        self.runs[self.requests[token].key.digest] += 1
        answered = fate < 1 - self.conditions.unanswered_call_rate
        self.deliver(address, Complete(token, 201) if answered else Abandon(token))

    def _call_store(self, address: Address, call: StoreCall) -> None:
        incarnation = self.daemons[address].incarnation

        def answer(result: Answer) -> None:
            machine = self.daemons[address]
            if machine.incarnation != incarnation:
                return
            if machine.paused_until > self.now:
                self.at(machine.paused_until, partial(answer, result))
            else:
                self.deliver(address, StoreAnswered(call.shard, call.request_id, result))

        delay = self.conditions.store_delay_s / 2
        lost = StoreFailure.UNKNOWN if isinstance(call, StorePut) else StoreFailure.UNAVAILABLE
        if self.random.random() < self.conditions.lost_request_rate:
            self.at(self.now + STORE_TIMEOUT_S, lambda: answer(lost))
            return
        if self.random.random() < self.conditions.late_request_rate:
            late = self.random.uniform(0.0, 2 * STORE_TIMEOUT_S)
            self.at(self.now + late, lambda: self._apply(call))
            self.at(self.now + STORE_TIMEOUT_S, lambda: answer(lost))
            return
        loses_answer = self.random.random() < self.conditions.lost_answer_rate

        def arrive() -> None:
            result = self._apply(call)
            if loses_answer:
                self.at(self.now + STORE_TIMEOUT_S, lambda: answer(lost))
            else:
                self.at(self.now + delay, lambda: answer(result))

        self.at(self.now + delay, arrive)

    def _apply(self, call: StoreCall) -> Answer:
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

    def _delete(self, key: str) -> None:
        try:
            self.store.delete(key, None, self.now)
        except (StoreUnavailable, StoreOutcomeUnknown):
            return
