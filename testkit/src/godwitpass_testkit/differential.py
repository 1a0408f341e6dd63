"""Runs one random history through distribution and through the naive baseline."""

import random
from collections.abc import Sequence
from enum import Enum

import msgspec

from godwitpass.document import Document, Route, Service
from godwitpass.ids import Address, ContentHash, RouteName, ServiceName, Version
from godwitpass.internal.acceptance.record import ROOT_KEY, decode_root
from godwitpass.internal.distribution.interface import Activate
from godwitpass.internal.invariants import ConfigurationInvariants
from godwitpass_testkit.experiments.naive_polling import PollingNode
from godwitpass_testkit.fleet import NodeBuilder, Fleet
from godwitpass_testkit.virtual import Link

DAEMONS = 18
ZONES = 3
SERVICES = 6
DETECTION_S = 4.0
RECOVERY_S = 120.0


class Action(Enum):
    """One thing that happens to a fleet."""

    ACCEPT = "accept"
    KILL = "kill"
    RESTART = "restart"
    PAUSE = "pause"
    RESUME = "resume"
    LOSE_STORE = "lose-store"
    REGAIN_STORE = "regain-store"
    CUT_ZONE = "cut-zone"
    JOIN_ZONES = "join-zones"
    DISTURB = "disturb"
    CALM = "calm"


class Step(msgspec.Struct, frozen=True):
    """A move, a number that chooses its object, and the time until the next step."""

    move: Action
    number: int
    wait_ms: int


class Result(msgspec.Struct, frozen=True):
    """What all daemons hold at the end, and what it took."""

    versions: frozenset[Version]
    content_hashes: frozenset[ContentHash]
    recovery_s: float
    control_bytes: int


def run_history(steps: Sequence[Step], seed: int, naive: bool) -> Result:
    """Run `steps`, end all faults, and wait until all daemons hold the newest version.

    Raises `InvariantViolation` at the first activation that breaks an invariant.
    """
    build_node: NodeBuilder | None = PollingNode if naive else None
    fleet = Fleet(DAEMONS, ZONES, seed, build_node=build_node)
    checks = ConfigurationInvariants()

    def check(address: Address, action: Activate) -> None:
        checks.check_activation(fleet.queue.node(address), action.snapshot)

    fleet.on_activate = check
    fleet.accept(_build_document(0), "first")
    fleet.start_all()
    history = _History(fleet, checks)
    for step in steps:
        history.apply(step)
        fleet.queue.run(fleet.queue.now + step.wait_ms / 1000)
    return history.recover()


class _History:
    """Applies moves to one fleet."""

    def __init__(self, fleet: Fleet, checks: ConfigurationInvariants) -> None:
        self._fleet = fleet
        self._checks = checks
        self._paused: set[Address] = set()
        self._accepted = 0

    def apply(self, step: Step) -> None:
        """Let `step` happen, as far as it can."""
        fleet, queue = self._fleet, self._fleet.queue
        member = fleet.members[step.number % DAEMONS]
        is_alive = queue.is_alive(member.address)
        match step.move:
            case Action.ACCEPT:
                self._accepted += 1
                fleet.accept(_build_document(step.number), f"change-{self._accepted}")
            case Action.KILL if is_alive:
                fleet.kill([member.address])
                self._paused.discard(member.address)
                queue.call_at(queue.now + DETECTION_S, fleet.sync_membership)
            case Action.RESTART if not is_alive:
                fleet.start([member.address])
                fleet.sync_membership()
            case Action.PAUSE if is_alive:
                queue.pause(member.address)
                self._paused.add(member.address)
            case Action.RESUME if member.address in self._paused:
                self._resume(member.address)
            case Action.LOSE_STORE | Action.REGAIN_STORE:
                fleet.store.set_down(step.move is Action.LOSE_STORE)
            case Action.CUT_ZONE:
                self._cut_zone(step.number)
            case Action.JOIN_ZONES:
                self._join_zones()
            case Action.DISTURB:
                queue.choose_link = lambda sender, to: DISTURBED
            case Action.CALM:
                queue.choose_link = lambda sender, to: CALM

    def recover(self) -> Result:
        """End all faults and run until all daemons hold the newest version."""
        fleet = self._fleet
        for address in list(self._paused):
            self._resume(address)
        fleet.store.set_down(False)
        self._join_zones()
        fleet.queue.choose_link = lambda sender, to: CALM
        if not fleet.queue.addresses():
            fleet.start([fleet.members[0].address])
        fleet.sync_membership()
        newest = decode_root(fleet.store.memory.get(ROOT_KEY)).version
        began = fleet.queue.now
        fleet.queue.run_until(lambda: fleet.is_held(newest), began + RECOVERY_S)
        nodes = [fleet.queue.node(address) for address in fleet.queue.addresses()]
        hashes = frozenset(node.current.content_hash for node in nodes if node.current)
        return Result(
            frozenset(fleet.list_versions()),
            hashes,
            fleet.queue.now - began,
            sum(fleet.count_control_bytes().values()),
        )

    def _resume(self, address: Address) -> None:
        self._paused.discard(address)
        self._fleet.queue.resume(address)

    def _cut_zone(self, number: int) -> None:
        fleet = self._fleet
        zone = fleet.zones[number % ZONES]

        def is_cut(address: Address) -> bool:
            return fleet.members_by_address[address].zone == zone

        fleet.store.is_cut_off = is_cut
        fleet.queue.is_blocked = lambda sender, to: is_cut(sender) != is_cut(to)

    def _join_zones(self) -> None:
        self._fleet.store.is_cut_off = lambda address: False
        self._fleet.queue.is_blocked = lambda sender, to: False


CALM = Link(0.001, 0.01)
DISTURBED = Link(0.001, 0.5, loss=0.2, duplication=0.3)


def _build_document(number: int) -> Document:
    """Build a document whose services and routes depend on `number`."""
    generator = random.Random(number)
    names = [ServiceName(f"service-{index}") for index in range(SERVICES)]
    present = [name for name in names if generator.random() < 0.7]
    services = tuple(Service(name, slots=generator.randint(1, 20)) for name in present)
    routes = tuple(Route(RouteName(f"route-{name}"), f"/{name}", name) for name in present)
    return Document(1, services, routes)
