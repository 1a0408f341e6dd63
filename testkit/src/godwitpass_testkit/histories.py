"""Inject random faults into simulated daemons, operators and a store, and check invariants.

Everything runs in virtual time and is determined by one seed.
"""

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
from godwitpass_testkit.fleet import build_caching_codec, build_document
from godwitpass_testkit.virtual import Link, VirtualQueue
from godwitpass_testkit.virtual_store import VirtualStore

START_TIME_S = 1_700_000_000
"""Unix time at which the virtual clock starts."""
ACCEPTANCE_TIMEOUT_S = 6.0
SETTLING_TIME_S = 60.0
FAULT_PERIOD_S = 60.0
"""Time within which all faults begin and end and the proposals are made."""

SERVICE_COUNT = 6
PROPOSAL_COUNT = 6
MAX_TIMELINE_EVENTS = 60
SMALL_DEPLOYMENT_TUNING = msgspec.structs.replace(DEFAULT_TUNING, join_jitter_s=0.5)
"""The default join jitter suits thousands of daemons and would prolong the start of a history."""


class Fault(Enum):
    """Fault or load that a history may inject."""

    KILL_SOME = "kill-some"
    KILL_ZONE = "kill-zone"
    KILL_ALL = "kill-all"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    LOSE_ANSWERS = "lose-answers"
    """Some writes to the store take effect without an answer."""

    PAUSE_SOME = "pause-some"
    PARTITION_REGIONS = "part-regions"
    LOSE_MESSAGES = "lose-messages"
    DUPLICATE_MESSAGES = "double-messages"
    RACE = "race"
    """Two operators propose a document at the same time."""


class HistoryFailed(GodwitpassError):
    """A history violated an invariant; the message holds its seed and the last events."""


class _Operator:
    """Node that runs the acceptor of an operator's proposal."""

    def __init__(self, change: ChangeId, acceptor: Acceptor) -> None:
        self.change = change
        self.acceptor = acceptor

    def handle(self, event: Any, now: float) -> list[Any]:
        return list(self.acceptor.handle(event, now))


class History:
    """Simulated daemons in zones and regions, their store and operators.

    `seed` determines the whole history. `outcomes` holds the outcome of each proposal that has
    finished.
    """

    def __init__(
        self, seed: int, daemon_count: int = 18, zone_count: int = 6, region_count: int = 2
    ) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.store = VirtualStore()
        self.queue = VirtualQueue(seed, Link(0.0005, 0.004), self._perform)
        self.outcomes: dict[ChangeId, Outcome] = {}
        self.identities = [
            _build_identity(number, zone_count, region_count) for number in range(daemon_count)
        ]
        self._codec = build_caching_codec()
        self._invariants = ConfigurationInvariants()
        self._start_count = 0
        self._start_number_by_address: dict[Address, int] = {}
        self._change_count = 0
        self._newest_version = NO_VERSION

    def start(self, identities: Iterable[Identity]) -> None:
        """Start a daemon without any state for each of `identities` whose daemon isn't running."""
        for identity in identities:
            address = identity.address
            if self.queue.is_alive(address):
                continue
            self._start_count += 1
            self._start_number_by_address[address] = self._start_count
            started_identity = msgspec.structs.replace(
                identity, started_s=START_TIME_S + int(self.queue.now)
            )
            generator = random.Random(self.random.getrandbits(32))
            daemon = Daemon(started_identity, generator, self._codec, SMALL_DEPLOYMENT_TUNING)
            self.queue.attach(address, daemon)
            self.queue.post(address, Start())

    def kill(self, identities: Iterable[Identity]) -> None:
        """Kill the daemons of `identities` without notice to the others."""
        for identity in identities:
            if self.queue.is_alive(identity.address):
                self.queue.detach(identity.address)

    def propose(self) -> ChangeId:
        """Let an operator propose a new document through a random daemon.

        Returns the change id, under which `outcomes` later holds the outcome.
        """
        self._change_count += 1
        change = ChangeId(f"change-{self._change_count}")
        document = build_document(SERVICE_COUNT, variant=self._change_count)
        operator_address = Address(f"192.0.2.{self._change_count}:1")
        held_snapshot = self._choose_held_snapshot()
        proposal = Proposal(document, change, None, held_snapshot, self.queue.now)
        acceptor = Acceptor(proposal, random.Random(self.random.getrandbits(32)))
        self.queue.attach(operator_address, _Operator(change, acceptor))
        self.queue.post(operator_address, proposal)
        return change

    def begin_fault(self, fault: Fault) -> Callable[[], None]:
        """Begin `fault` and return a function that ends it."""
        return _BEGIN_FUNCTIONS[fault](self)

    def run(self, faults: Iterable[Fault]) -> None:
        """Run a history: start, overlapping `faults` with proposals, time to settle, checks.

        Raises `HistoryFailed` when an invariant is violated.
        """
        self.start(self.identities)
        self.queue.run(SETTLING_TIME_S / 4)
        first_change = self.propose()
        self.queue.run(self.queue.now + ACCEPTANCE_TIMEOUT_S)
        if not isinstance(self.outcomes.get(first_change), AcceptedVersion):
            self.fail(f"{first_change} was not accepted, though no fault was injected")
        faults_begin_s = self.queue.now
        for fault in faults:
            self._schedule(fault, faults_begin_s)
        for _ in range(PROPOSAL_COUNT):
            self.queue.call_at(
                faults_begin_s + self.random.uniform(0, FAULT_PERIOD_S), self._propose_and_ignore_id
            )
        self.queue.run(faults_begin_s + FAULT_PERIOD_S + SETTLING_TIME_S)
        self.check_settled()

    def check_settled(self) -> None:
        """Check that all daemons run with the newest version and that reported outcomes are true.

        An outcome is true if each version reported as accepted is in the store.
        """
        root = decode_root(self.store.memory.get(ROOT_KEY))
        stored_versions = {accepted.change: accepted for accepted in root.history}
        for change, outcome in self.outcomes.items():
            if isinstance(outcome, AcceptedVersion) and stored_versions.get(change) != outcome:
                self.fail(
                    f"{change} was reported as accepted, "
                    f"but the store has {stored_versions.get(change)}"
                )
        outdated = [
            identity.instance
            for identity in self.identities
            if self._version_at(identity.address) != root.version
        ]
        if outdated:
            self.fail(f"version {root.version} is not in force on {outdated}")

    def fail(self, message: str) -> None:
        """Raise `HistoryFailed` with `message`, the seed and the last recorded events."""
        names = {identity.address: identity.instance for identity in self.identities}
        lines = [
            f"{time:10.3f} {names.get(address, InstanceId(address))} {event.kind.name} "
            f"{event.fields}"
            for time, address, event in self.queue.recorded_events[-MAX_TIMELINE_EVENTS:]
        ]
        raise HistoryFailed("\n".join([f"seed {self.seed}: {message}", *lines]))

    def _version_at(self, address: Address) -> Version:
        if not self.queue.is_alive(address):
            return NO_VERSION
        current = self.queue.node(address).current
        return current.version if current else NO_VERSION

    def _choose_held_snapshot(self) -> Any:
        alive = [identity for identity in self.identities if self.queue.is_alive(identity.address)]
        return self.queue.node(self.random.choice(alive).address).current if alive else None

    def _propose_and_ignore_id(self) -> None:
        self.propose()

    def _schedule(self, fault: Fault, faults_begin_s: float) -> None:
        # The two shares add up to 1, so that every fault ends within the period.
        begin_s = faults_begin_s + self.random.uniform(0, FAULT_PERIOD_S * 0.6)
        end_s = begin_s + self.random.uniform(1.0, FAULT_PERIOD_S * 0.4)

        def begin() -> None:
            self.queue.call_at(end_s, self.begin_fault(fault))

        self.queue.call_at(begin_s, begin)

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
            self._invariants.check_activation(
                self._start_number_by_address[address], action.snapshot
            )
        except GodwitpassError as error:
            self.fail(f"{address}: {error}")
        root = decode_root(self.store.memory.get(ROOT_KEY))
        if action.snapshot.version > root.version:
            self.fail(
                f"{address} activated version {action.snapshot.version}, "
                f"but the accepted version is {root.version}"
            )
        if root.version < self._newest_version:
            self.fail(
                f"the accepted version went back from {self._newest_version} to {root.version}"
            )
        self._newest_version = root.version

    def choose_daemons(self, share: float) -> list[Identity]:
        """Choose a random share of the daemons, at least one."""
        count = max(1, int(len(self.identities) * share))
        return self.random.sample(self.identities, count)


def _build_identity(number: int, zone_count: int, region_count: int) -> Identity:
    zone = number % zone_count
    return Identity(
        InstanceId(f"instance-{number:02}"),
        ZoneId(f"zone-{zone}"),
        RegionId(f"region-{zone % region_count}"),
        Address(f"10.0.0.{number + 1}:7000"),
        START_TIME_S,
    )


def _build_kill(
    choose: Callable[[History], list[Identity]],
) -> Callable[[History], Callable[[], None]]:
    def begin(history: History) -> Callable[[], None]:
        killed = choose(history)
        history.kill(killed)
        return lambda: history.start(killed)

    return begin


def _choose_zone(history: History) -> list[Identity]:
    zone = history.random.choice(history.identities).zone
    return [identity for identity in history.identities if identity.zone == zone]


def _take_store_down(history: History) -> Callable[[], None]:
    history.store.set_down(True)
    return lambda: history.store.set_down(False)


def _slow_store(history: History) -> Callable[[], None]:
    usual_delay_s = VirtualStore().delay_s
    history.store.delay_s = history.random.uniform(0.5, 3.0)

    def end() -> None:
        history.store.delay_s = usual_delay_s

    return end


def _lose_answers(history: History) -> Callable[[], None]:
    history.store.lost_answers = history.random.randint(1, 5)

    def end() -> None:
        history.store.lost_answers = 0

    return end


def _pause_some(history: History) -> Callable[[], None]:
    paused = [
        identity.address
        for identity in history.choose_daemons(0.2)
        if history.queue.is_alive(identity.address)
    ]
    nodes = {address: history.queue.node(address) for address in paused}
    for address in paused:
        history.queue.pause(address)

    def end() -> None:
        for address, node in nodes.items():
            if history.queue.is_alive(address) and history.queue.node(address) is node:
                history.queue.resume(address)

    return end


def _partition_regions(history: History) -> Callable[[], None]:
    regions = {identity.address: identity.region for identity in history.identities}
    history.queue.is_blocked = lambda sender, to: regions[sender] != regions[to]

    def end() -> None:
        history.queue.is_blocked = lambda sender, to: False

    return end


def _build_link_change(link: Link) -> Callable[[History], Callable[[], None]]:
    def begin(history: History) -> Callable[[], None]:
        previous = history.queue.choose_link
        history.queue.choose_link = lambda sender, to: link

        def end() -> None:
            history.queue.choose_link = previous

        return end

    return begin


def _propose_twice(history: History) -> Callable[[], None]:
    history.propose()
    history.propose()
    return lambda: None


_BEGIN_FUNCTIONS: dict[Fault, Callable[[History], Callable[[], None]]] = {
    Fault.KILL_SOME: _build_kill(lambda history: history.choose_daemons(1 / 3)),
    Fault.KILL_ZONE: _build_kill(_choose_zone),
    Fault.KILL_ALL: _build_kill(lambda history: history.identities),
    Fault.STORE_DOWN: _take_store_down,
    Fault.STORE_SLOW: _slow_store,
    Fault.LOSE_ANSWERS: _lose_answers,
    Fault.PAUSE_SOME: _pause_some,
    Fault.PARTITION_REGIONS: _partition_regions,
    Fault.LOSE_MESSAGES: _build_link_change(Link(0.001, 0.05, loss=0.3)),
    Fault.DUPLICATE_MESSAGES: _build_link_change(Link(0.001, 0.5, duplication=0.5)),
    Fault.RACE: _propose_twice,
}
