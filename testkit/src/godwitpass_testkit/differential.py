"""Run the same history of faults with distribution and with the naive polling baseline."""

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
from godwitpass_testkit.fleet import Fleet, NodeBuilder
from godwitpass_testkit.virtual import Link

DAEMON_COUNT = 18
ZONE_COUNT = 3
SERVICE_COUNT = 6
DETECTION_DELAY_S = 4.0
"""Time from the death of a daemon until membership removes it."""
RECOVERY_TIMEOUT_S = 120.0


class Action(Enum):
    """Change or fault that a history applies to a fleet."""

    ACCEPT = "accept"
    KILL = "kill"
    RESTART = "restart"
    PAUSE = "pause"
    RESUME = "resume"
    BEGIN_STORE_OUTAGE = "lose-store"
    END_STORE_OUTAGE = "regain-store"
    ISOLATE_ZONE = "cut-zone"
    RECONNECT_ZONES = "join-zones"
    DEGRADE_LINKS = "disturb"
    RESTORE_LINKS = "calm"


class Step(msgspec.Struct, frozen=True):
    """An action, a number that selects its daemon, zone or document, and the time afterwards."""

    action: Action
    selector: int
    wait_ms: int


class Result(msgspec.Struct, frozen=True):
    """Versions and contents that the daemons hold at the end, recovery time and traffic."""

    versions: frozenset[Version]
    content_hashes: frozenset[ContentHash]
    recovery_s: float
    control_bytes: int


def run_history(steps: Sequence[Step], seed: int, naive: bool) -> Result:
    """Run `steps`, end all faults, and run until all daemons hold the newest version.

    Raises `InvariantViolation` at the first activation that violates an invariant.
    """
    build_node: NodeBuilder | None = PollingNode if naive else None
    fleet = Fleet(DAEMON_COUNT, ZONE_COUNT, seed, build_node=build_node)
    invariants = ConfigurationInvariants()

    def check_activation(address: Address, action: Activate) -> None:
        invariants.check_activation(fleet.queue.node(address), action.snapshot)

    fleet.on_activate = check_activation
    fleet.accept(_build_document(0), "first")
    fleet.start_all()
    runner = _HistoryRunner(fleet, invariants)
    for step in steps:
        runner.apply(step)
        fleet.queue.run(fleet.queue.now + step.wait_ms / 1000)
    return runner.recover()


class _HistoryRunner:
    """Applies the steps of a history to a fleet."""

    def __init__(self, fleet: Fleet, invariants: ConfigurationInvariants) -> None:
        self._fleet = fleet
        self._invariants = invariants
        self._paused_addresses: set[Address] = set()
        self._accepted_count = 0

    def apply(self, step: Step) -> None:
        """Apply `step`; ignore it when it doesn't fit the state of its daemon."""
        fleet, queue = self._fleet, self._fleet.queue
        member = fleet.members[step.selector % DAEMON_COUNT]
        is_alive = queue.is_alive(member.address)
        match step.action:
            case Action.ACCEPT:
                self._accepted_count += 1
                fleet.accept(_build_document(step.selector), f"change-{self._accepted_count}")
            case Action.KILL if is_alive:
                fleet.kill([member.address])
                self._paused_addresses.discard(member.address)
                queue.call_at(queue.now + DETECTION_DELAY_S, fleet.sync_membership)
            case Action.RESTART if not is_alive:
                fleet.start([member.address])
                fleet.sync_membership()
            case Action.PAUSE if is_alive:
                queue.pause(member.address)
                self._paused_addresses.add(member.address)
            case Action.RESUME if member.address in self._paused_addresses:
                self._resume(member.address)
            case Action.BEGIN_STORE_OUTAGE | Action.END_STORE_OUTAGE:
                fleet.store.set_down(step.action is Action.BEGIN_STORE_OUTAGE)
            case Action.ISOLATE_ZONE:
                self._isolate_zone(step.selector)
            case Action.RECONNECT_ZONES:
                self._reconnect_zones()
            case Action.DEGRADE_LINKS:
                queue.choose_link = lambda sender, to: DEGRADED_LINK
            case Action.RESTORE_LINKS:
                queue.choose_link = lambda sender, to: NORMAL_LINK

    def recover(self) -> Result:
        """End all faults, run until all daemons hold the newest version, and return the result."""
        fleet = self._fleet
        for address in list(self._paused_addresses):
            self._resume(address)
        fleet.store.set_down(False)
        self._reconnect_zones()
        fleet.queue.choose_link = lambda sender, to: NORMAL_LINK
        if not fleet.queue.addresses():
            fleet.start([fleet.members[0].address])
        fleet.sync_membership()
        newest = decode_root(fleet.store.memory.get(ROOT_KEY)).version
        started_at_s = fleet.queue.now
        fleet.queue.run_until(lambda: fleet.is_held(newest), started_at_s + RECOVERY_TIMEOUT_S)
        nodes = [fleet.queue.node(address) for address in fleet.queue.addresses()]
        hashes = frozenset(node.current.content_hash for node in nodes if node.current)
        return Result(
            frozenset(fleet.list_versions()),
            hashes,
            fleet.queue.now - started_at_s,
            sum(fleet.count_control_bytes().values()),
        )

    def _resume(self, address: Address) -> None:
        self._paused_addresses.discard(address)
        self._fleet.queue.resume(address)

    def _isolate_zone(self, selector: int) -> None:
        fleet = self._fleet
        zone = fleet.zones[selector % ZONE_COUNT]

        def is_in_zone(address: Address) -> bool:
            return fleet.members_by_address[address].zone == zone

        fleet.store.is_cut_off = is_in_zone
        fleet.queue.is_blocked = lambda sender, to: is_in_zone(sender) != is_in_zone(to)

    def _reconnect_zones(self) -> None:
        self._fleet.store.is_cut_off = lambda address: False
        self._fleet.queue.is_blocked = lambda sender, to: False


NORMAL_LINK = Link(0.001, 0.01)
DEGRADED_LINK = Link(0.001, 0.5, loss=0.2, duplication=0.3)


def _build_document(seed: int) -> Document:
    """Build a document with a random subset of the services and a route to each of them."""
    generator = random.Random(seed)
    names = [ServiceName(f"service-{index}") for index in range(SERVICE_COUNT)]
    chosen_names = [name for name in names if generator.random() < 0.7]
    services = tuple(Service(name, slots=generator.randint(1, 20)) for name in chosen_names)
    routes = tuple(Route(RouteName(f"route-{name}"), f"/{name}", name) for name in chosen_names)
    return Document(1, services, routes)
