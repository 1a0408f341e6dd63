"""Simulates a mesh of daemons' membership under virtual time."""

import random
from collections.abc import Iterable

import msgspec

from godwitpass.ids import Address, InstanceId, RegionId, ServiceName, ZoneId
from godwitpass.internal.membership import Announce, Identity, Leave, Membership, Start, Tuning
from godwitpass.internal.membership.messages import (
    DAEMON_SERVICE,
    AnnouncedUpstream,
    Contact,
    MemberMetadata,
    MemberUpdate,
    SummaryUpdate,
    hash_instance,
)
from godwitpass.internal.membership.tuning import DEFAULT_TUNING
from godwitpass.mesh import MemberState, UpstreamState
from godwitpass_testkit.virtual import Link, VirtualQueue
from godwitpass_testkit.virtual_store import VirtualStore

START_TIME_S = 1_700_000_000
ZONES_PER_REGION = 3
UPSTREAMS_PER_SERVICE = 5
SLOTS_PER_UPSTREAM = 12
MAX_DAEMON_CONTACTS = 8
MAX_SERVICE_CONTACTS = 3


class DaemonSpec(msgspec.Struct, frozen=True):
    """The location, addresses and service of a simulated daemon, derived from its number."""

    number: int
    region: RegionId
    zone: ZoneId
    service: ServiceName

    @property
    def instance(self) -> InstanceId:
        """Return the instance id, which is as long as real ones."""
        return InstanceId(f"{self.zone}-instance-{self.number:05}")

    @property
    def address(self) -> Address:
        """Return the daemon's address."""
        return Address(
            f"10.{self.number // 65536}.{self.number // 256 % 256}.{self.number % 256}:70"
        )

    @property
    def upstream(self) -> Address:
        """Return the upstream's address."""
        return Address(self.address[:-3] + ":8080")


def build_spec(number: int, members_per_region: int) -> DaemonSpec:
    """Return daemon `number`; numbers fill one region after another."""
    region = number // members_per_region
    zone = region * ZONES_PER_REGION + number % ZONES_PER_REGION
    service = f"service-{number // UPSTREAMS_PER_SERVICE:04}"
    return DaemonSpec(
        number, RegionId(f"region-{region}"), ZoneId(f"zone-{zone:02}"), ServiceName(service)
    )


def build_identity(spec: DaemonSpec, started_s: int = START_TIME_S) -> Identity:
    """Return the identity of the daemon of `spec`."""
    return Identity(
        spec.instance,
        spec.zone,
        spec.region,
        spec.address,
        started_s,
        spec.service,
        spec.upstream,
    )


class SimulatedMesh:
    """Starts, kills and drains daemons whose membership runs under virtual time."""

    def __init__(
        self,
        seed: int,
        members_per_region: int,
        link: Link | None = None,
        tuning: Tuning = DEFAULT_TUNING,
    ) -> None:
        self.store = VirtualStore()
        self.queue = VirtualQueue(seed, link or Link(), self.store.perform)
        self.specs: dict[Address, DaemonSpec] = {}
        self._random = random.Random(seed)
        self._members_per_region = members_per_region
        self._tuning = tuning

    def start(self, number: int, started_s: int | None = None, is_ready: bool = True) -> Address:
        """Start daemon `number`, with a ready upstream if `is_ready`, and return its address."""
        spec = build_spec(number, self._members_per_region)
        started_s = START_TIME_S + int(self.queue.now) if started_s is None else started_s
        rng = random.Random(self._random.random())
        node = Membership(build_identity(spec, started_s), rng, self._tuning)
        self.specs[spec.address] = spec
        self.queue.attach(spec.address, node)
        self.queue.post(spec.address, Start())
        if is_ready:
            self.queue.post(spec.address, Announce(UpstreamState.READY))
        return spec.address

    def start_many(self, numbers: Iterable[int]) -> list[Address]:
        """Start several daemons at the same time and return their addresses."""
        return [self.start(number) for number in numbers]

    def start_converged(self, count: int) -> list[Address]:
        """Start daemons that already know each other and return their addresses."""
        addresses = self.start_many(range(count))
        addresses_by_region: dict[RegionId, list[Address]] = {}
        for address in addresses:
            addresses_by_region.setdefault(self.specs[address].region, []).append(address)
        summaries = [
            _summarize_daemons(self.specs, region, members)
            for region, members in addresses_by_region.items()
        ]
        for members in addresses_by_region.values():
            updates = [build_member_update(self.specs[address]) for address in members]
            for address in members:
                self.install_records(address, updates, summaries)
        return addresses

    def install_records(
        self, address: Address, updates: Iterable[MemberUpdate], summaries: Iterable[SummaryUpdate]
    ) -> None:
        """Install records at the daemon at `address` without exchanging messages."""
        state = self.find_node(address)._state
        for update in updates:
            if update.key != state.own_record.key:
                state.table.merge(update, self.queue.now)
        for summary in summaries:
            state.regions.merge_summary(summary)
        state.member_broadcasts.discard(state.own_record.key)

    def find_node(self, address: Address) -> Membership:
        """Return the membership object at `address`."""
        node = self.queue.node(address)
        assert isinstance(node, Membership)
        return node

    def list_nodes(self) -> list[Membership]:
        """Return all living membership objects."""
        return [self.find_node(address) for address in self.queue.addresses()]

    def kill(self, address: Address) -> None:
        """Remove the daemon at `address` without notice."""
        self.queue.detach(address)

    def drain(self, address: Address) -> None:
        """Announce that the upstream of the daemon at `address` drains."""
        self.queue.post(address, Announce(UpstreamState.DRAINING))

    def leave(self, address: Address) -> None:
        """Stop the daemon at `address` gracefully."""
        self.queue.post(address, Leave())
        self.queue.run(self.queue.now + 1)
        self.queue.detach(address)

    def is_converged(self) -> bool:
        """Tell whether each daemon considers exactly the living daemons of its region alive."""
        living_instances = self.group_instances_by_region()
        return all(
            {
                member.instance
                for member in node.members()
                if member.state is MemberState.ALIVE and member.region == self.specs[address].region
            }
            == living_instances[self.specs[address].region]
            for address, node in zip(self.queue.addresses(), self.list_nodes(), strict=True)
        )

    def group_instances_by_region(self) -> dict[RegionId, set[InstanceId]]:
        """Return the living instances of each region."""
        living_instances: dict[RegionId, set[InstanceId]] = {}
        for address in self.queue.addresses():
            spec = self.specs[address]
            living_instances.setdefault(spec.region, set()).add(spec.instance)
        return living_instances

    def count_viewers(self, address: Address, viewers: Iterable[Address]) -> int:
        """Return how many of `viewers` list the daemon at `address` as a member."""
        instance = self.specs[address].instance
        return sum(
            any(member.instance == instance for member in self.find_node(viewer).members())
            for viewer in viewers
        )

    def run_until_converged(self, limit_s: float, step_s: float = 0.5) -> float | None:
        """Run until `is_converged` and return the seconds that took; None past `limit_s`."""
        start = self.queue.now
        while self.queue.now < start + limit_s:
            if self.is_converged():
                return self.queue.now - start
            self.queue.run(self.queue.now + step_s)
        return None


def build_member_update(spec: DaemonSpec, started_s: int = START_TIME_S) -> MemberUpdate:
    """Return the membership update of a daemon with a ready upstream."""
    upstream = AnnouncedUpstream(
        spec.service, spec.upstream, UpstreamState.READY, SLOTS_PER_UPSTREAM
    )
    metadata = MemberMetadata(spec.instance, spec.zone, spec.region, spec.address, upstream)
    key = hash_instance(spec.instance)
    return MemberUpdate(key, started_s, MemberState.ALIVE, started_s + 1, metadata)


def _summarize_daemons(
    specs: dict[Address, DaemonSpec], region: RegionId, addresses: list[Address]
) -> SummaryUpdate:
    contacts = tuple(
        Contact(specs[address].instance, specs[address].zone, address)
        for address in addresses[:MAX_DAEMON_CONTACTS]
    )
    return SummaryUpdate(region, DAEMON_SERVICE, 1, len(addresses), 0, contacts)


def build_service_summaries(specs: Iterable[DaemonSpec]) -> list[SummaryUpdate]:
    """Return a summary for each region and service of `specs`; all upstreams are ready."""
    specs_by_service: dict[tuple[RegionId, ServiceName], list[DaemonSpec]] = {}
    for spec in specs:
        specs_by_service.setdefault((spec.region, spec.service), []).append(spec)
    return [
        SummaryUpdate(
            region,
            service,
            1,
            len(members),
            SLOTS_PER_UPSTREAM * len(members),
            tuple(
                Contact(spec.instance, spec.zone, spec.upstream, SLOTS_PER_UPSTREAM)
                for spec in members[:MAX_SERVICE_CONTACTS]
            ),
        )
        for (region, service), members in specs_by_service.items()
    ]
