"""Seeded histories of faults over whole daemons, operators and a store in virtual time."""

import random
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any

import msgspec

from godwitpass.errors import GodwitpassError
from godwitpass.ids import NO_VERSION, Address, ChangeId, InstanceId, RegionId, Version, ZoneId
from godwitpass.internal.acceptance.acceptor import Acceptor, Finished, Outcome, Proposal
from godwitpass.internal.acceptance.record import ROOT_KEY, AcceptedVersion, decode_root
from godwitpass.internal.distribution.interface import Activate
from godwitpass.internal.invariants import ConfigurationInvariants
from godwitpass.internal.membership import Identity, Start
from godwitpass.internal.membership.tuning import DEFAULT_TUNING
from godwitpass_testkit.daemon import Daemon
from godwitpass_testkit.fleet import build_document, build_caching_codec
from godwitpass_testkit.virtual import Link, VirtualQueue
from godwitpass_testkit.virtual_store import VirtualStore

STARTED_S = 1_700_000_000
TARGET_S = 6.0
SETTLE_S = 60.0
FAULTS_S = 60.0
SERVICES = 6
TIMELINE_EVENTS = 60
TUNING = msgspec.structs.replace(DEFAULT_TUNING, join_jitter_s=0.5)
"""The tuning that small deployments run with."""


class Fault(Enum):
    """Everything that a history may do to the mesh."""

    KILL_SOME = "kill-some"
    KILL_ZONE = "kill-zone"
    KILL_ALL = "kill-all"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    LOSE_ANSWERS = "lose-answers"
    PAUSE_SOME = "pause-some"
    PART_REGIONS = "part-regions"
    LOSE_MESSAGES = "lose-messages"
    DOUBLE_MESSAGES = "double-messages"
    RACE = "race"


class HistoryFailed(GodwitpassError):
    """A history broke a promise; the text holds its seed and the time line of all processes."""


class _Operator:
    """An operator's proposal, carried by an acceptor of its own."""

    def __init__(self, change: ChangeId, acceptor: Acceptor) -> None:
        self.change = change
        self.acceptor = acceptor

    def handle(self, event: Any, now: float) -> list[Any]:
        return list(self.acceptor.handle(event, now))


class History:
    """Daemons in zones of regions, a store, operators, and one seed that decides everything."""

    def __init__(self, seed: int, daemons: int = 18, zones: int = 6, regions: int = 2) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.store = VirtualStore()
        self.queue = VirtualQueue(seed, Link(0.0005, 0.004), self._perform)
        self.outcomes: dict[ChangeId, Outcome] = {}
        self.identities = [_build_identity(number, zones, regions) for number in range(daemons)]
        self._codec = build_caching_codec()
        self._checks = ConfigurationInvariants()
        self._lives = 0
        self._life_of: dict[Address, int] = {}
        self._changes = 0
        self._newest = NO_VERSION

    def start(self, identities: Iterable[Identity]) -> None:
        """Start a daemon that knows nothing for each identity whose daemon is not alive."""
        for identity in identities:
            address = identity.address
            if self.queue.is_alive(address):
                continue
            self._lives += 1
            self._life_of[address] = self._lives
            started = msgspec.structs.replace(identity, started_s=STARTED_S + int(self.queue.now))
            generator = random.Random(self.random.getrandbits(32))
            daemon = Daemon(started, generator, self._codec, TUNING)
            self.queue.attach(address, daemon)
            self.queue.post(address, Start())

    def kill(self, identities: Iterable[Identity]) -> None:
        """Kill the daemons of `identities`; nobody is told."""
        for identity in identities:
            if self.queue.is_alive(identity.address):
                self.queue.detach(identity.address)

    def propose(self) -> ChangeId:
        """Let an operator hand a new document to some daemon; the outcome comes later."""
        self._changes += 1
        change = ChangeId(f"change-{self._changes}")
        document = build_document(SERVICES, mark=self._changes)
        operator = Address(f"192.0.2.{self._changes}:1")
        held = self._pick_held()
        proposal = Proposal(document, change, None, held, self.queue.now)
        acceptor = Acceptor(proposal, random.Random(self.random.getrandbits(32)))
        self.queue.attach(operator, _Operator(change, acceptor))
        self.queue.post(operator, proposal)
        return change

    def apply(self, fault: Fault) -> Callable[[], None]:
        """Begin `fault` and return what ends it."""
        return _BEGIN[fault](self)

    def run(self, faults: Iterable[Fault]) -> None:
        """Run a history: settle, proposals amid overlapping `faults`, then quiet and the checks."""
        self.start(self.identities)
        self.queue.run(SETTLE_S / 4)
        first = self.propose()
        self.queue.run(self.queue.now + TARGET_S)
        if not isinstance(self.outcomes.get(first), AcceptedVersion):
            self.fail(f"{first} was not accepted, though nothing had failed")
        began = self.queue.now
        for fault in faults:
            self._schedule(fault, began)
        for _ in range(6):
            self.queue.call_at(began + self.random.uniform(0, FAULTS_S), self._propose_unwatched)
        self.queue.run(began + FAULTS_S + SETTLE_S)
        self.check_settled()

    def check_settled(self) -> None:
        """Check that every daemon lives, holds the newest accepted version, and no answer lied."""
        root = decode_root(self.store.memory.get(ROOT_KEY))
        recorded = {accepted.change: accepted for accepted in root.history}
        for change, outcome in self.outcomes.items():
            if isinstance(outcome, AcceptedVersion) and recorded.get(change) != outcome:
                self.fail(f"{change} was called accepted, but the store has {recorded.get(change)}")
        behind = [
            identity.instance
            for identity in self.identities
            if self._version_at(identity.address) != root.version
        ]
        if behind:
            self.fail(f"version {root.version} is not in force on {behind}")

    def fail(self, message: str) -> None:
        """Raise with the seed and the end of the time line."""
        names = {identity.address: identity.instance for identity in self.identities}
        lines = [
            f"{time:10.3f} {names.get(address, InstanceId(address))} {report.kind.name} "
            f"{report.fields}"
            for time, address, report in self.queue.recorded_events[-TIMELINE_EVENTS:]
        ]
        raise HistoryFailed("\n".join([f"seed {self.seed}: {message}", *lines]))

    def _version_at(self, address: Address) -> Version:
        if not self.queue.is_alive(address):
            return NO_VERSION
        current = self.queue.node(address).current
        return current.version if current else NO_VERSION

    def _pick_held(self) -> Any:
        alive = [item for item in self.identities if self.queue.is_alive(item.address)]
        return self.queue.node(self.random.choice(alive).address).current if alive else None

    def _propose_unwatched(self) -> None:
        self.propose()

    def _schedule(self, fault: Fault, began: float) -> None:
        start_at = began + self.random.uniform(0, FAULTS_S * 0.6)
        end_at = start_at + self.random.uniform(1.0, FAULTS_S * 0.4)

        def begin() -> None:
            self.queue.call_at(end_at, self.apply(fault))

        self.queue.call_at(start_at, begin)

    def _perform(self, queue: VirtualQueue, address: Address, action: Any) -> None:
        if isinstance(action, Activate):
            self._check_activation(address, action)
        elif isinstance(action, Finished):
            node = queue.node(address)
            assert isinstance(node, _Operator)
            self.outcomes[node.change] = action.outcome
        else:
            self.store.perform(queue, address, action)

    def _check_activation(self, address: Address, action: Activate) -> None:
        try:
            self._checks.check_activation(self._life_of[address], action.snapshot)
        except GodwitpassError as error:
            self.fail(f"{address}: {error}")
        root = decode_root(self.store.memory.get(ROOT_KEY))
        if action.snapshot.version > root.version:
            self.fail(f"{address} activated {action.snapshot.version}, accepted is {root.version}")
        if root.version < self._newest:
            self.fail(f"the accepted version fell from {self._newest} to {root.version}")
        self._newest = root.version

    def choose(self, share: float) -> list[Identity]:
        """Return a random share of the daemons, at least one."""
        count = max(1, int(len(self.identities) * share))
        return self.random.sample(self.identities, count)


def _build_identity(number: int, zones: int, regions: int) -> Identity:
    zone = number % zones
    return Identity(
        InstanceId(f"instance-{number:02}"),
        ZoneId(f"zone-{zone}"),
        RegionId(f"region-{zone % regions}"),
        Address(f"10.0.0.{number + 1}:7000"),
        STARTED_S,
    )


def _kill(choose: Callable[[History], list[Identity]]) -> Callable[[History], Callable[[], None]]:
    def begin(history: History) -> Callable[[], None]:
        victims = choose(history)
        history.kill(victims)
        return lambda: history.start(victims)

    return begin


def _choose_zone(history: History) -> list[Identity]:
    zone = history.random.choice(history.identities).zone
    return [identity for identity in history.identities if identity.zone == zone]


def _take_store_down(history: History) -> Callable[[], None]:
    history.store.set_down(True)
    return lambda: history.store.set_down(False)


def _slow_store(history: History) -> Callable[[], None]:
    usual = VirtualStore().delay_s
    history.store.delay_s = history.random.uniform(0.5, 3.0)

    def end() -> None:
        history.store.delay_s = usual

    return end


def _lose_answers(history: History) -> Callable[[], None]:
    history.store.lost_answers = history.random.randint(1, 5)

    def end() -> None:
        history.store.lost_answers = 0

    return end


def _pause(history: History) -> Callable[[], None]:
    paused = [item.address for item in history.choose(0.2) if history.queue.is_alive(item.address)]
    nodes = {address: history.queue.node(address) for address in paused}
    for address in paused:
        history.queue.pause(address)

    def end() -> None:
        for address, node in nodes.items():
            if history.queue.is_alive(address) and history.queue.node(address) is node:
                history.queue.resume(address)

    return end


def _part_regions(history: History) -> Callable[[], None]:
    regions = {identity.address: identity.region for identity in history.identities}
    history.queue.is_blocked = lambda sender, to: regions[sender] != regions[to]

    def end() -> None:
        history.queue.is_blocked = lambda sender, to: False

    return end


def _change_link(link: Link) -> Callable[[History], Callable[[], None]]:
    def begin(history: History) -> Callable[[], None]:
        usual = history.queue.choose_link
        history.queue.choose_link = lambda sender, to: choose_link

        def end() -> None:
            history.queue.choose_link = usual

        return end

    return begin


def _race(history: History) -> Callable[[], None]:
    history.propose()
    history.propose()
    return lambda: None


_BEGIN: dict[Fault, Callable[[History], Callable[[], None]]] = {
    Fault.KILL_SOME: _kill(lambda history: history.choose(1 / 3)),
    Fault.KILL_ZONE: _kill(_choose_zone),
    Fault.KILL_ALL: _kill(lambda history: history.identities),
    Fault.STORE_DOWN: _take_store_down,
    Fault.STORE_SLOW: _slow_store,
    Fault.LOSE_ANSWERS: _lose_answers,
    Fault.PAUSE_SOME: _pause,
    Fault.PART_REGIONS: _part_regions,
    Fault.LOSE_MESSAGES: _change_link(Link(0.001, 0.05, loss=0.3)),
    Fault.DOUBLE_MESSAGES: _change_link(Link(0.001, 0.5, duplication=0.5)),
    Fault.RACE: _race,
}
