"""A mesh of membership objects under virtual time."""

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


class DaemonSpec(msgspec.Struct, frozen=True):
    """Where the daemon with a number runs and what its upstream serves."""

    number: int
    region: RegionId
    zone: ZoneId
    service: ServiceName

    @property
    def instance(self) -> InstanceId:
        """Return the instance id, as long as usual ones."""
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
    """Return the place of daemon `number`, filling one region after another."""
    region = number // members_per_region
    zone = region * ZONES_PER_REGION + number % ZONES_PER_REGION
    service = f"service-{number // UPSTREAMS_PER_SERVICE:04}"
    return DaemonSpec(
        number, RegionId(f"region-{region}"), ZoneId(f"zone-{zone:02}"), ServiceName(service)
    )


def build_identity(where: DaemonSpec, started_s: int = START_TIME_S) -> Identity:
    """Return the identity of the daemon at `where`."""
    return Identity(
        where.instance,
        where.zone,
        where.region,
        where.address,
        started_s,
        where.service,
        where.upstream,
    )


class SimulatedMesh:
    """Daemons that start, fail and leave; their membership runs under virtual time."""

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
        """Start daemon `number`; its upstream becomes ready at once."""
        where = build_spec(number, self._members_per_region)
        started_s = START_TIME_S + int(self.queue.now) if started_s is None else started_s
        rng = random.Random(self._random.random())
        node = Membership(build_identity(where, started_s), rng, self._tuning)
        self.specs[where.address] = where
        self.queue.attach(where.address, node)
        self.queue.post(where.address, Start())
        if is_ready:
            self.queue.post(where.address, Announce(UpstreamState.READY))
        return where.address

    def start_many(self, numbers: Iterable[int]) -> list[Address]:
        """Start several daemons at the same time."""
        return [self.start(number) for number in numbers]

    def start_converged(self, count: int) -> list[Address]:
        """Start daemons that know one another already."""
        addresses = self.start_many(range(count))
        by_region: dict[RegionId, list[Address]] = {}
        for address in addresses:
            by_region.setdefault(self.specs[address].region, []).append(address)
        sums = [_sum_daemons(self.specs, region, each) for region, each in by_region.items()]
        for members in by_region.values():
            updates = [build_member_update(self.specs[address]) for address in members]
            for address in members:
                self.install_records(address, updates, sums)
        return addresses

    def install_records(
        self, address: Address, updates: Iterable[MemberUpdate], sums: Iterable[SummaryUpdate]
    ) -> None:
        """Make the daemon at `address` hold records without any message."""
        state = self.find_node(address)._state
        for update in updates:
            if update.key != state.own_record.key:
                state.table.merge(update, self.queue.now)
        for held in sums:
            state.regions.merge_summary(held)
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
        """End the daemon at `address` without notice."""
        self.queue.detach(address)

    def drain(self, address: Address) -> None:
        """Announce that the upstream at `address` leaves."""
        self.queue.post(address, Announce(UpstreamState.DRAINING))

    def leave(self, address: Address) -> None:
        """Stop the daemon at `address` gracefully."""
        self.queue.post(address, Leave())
        self.queue.run(self.queue.now + 1)
        self.queue.detach(address)

    def is_converged(self) -> bool:
        """Tell whether every daemon holds exactly the living daemons of its region as alive."""
        living = self.instances_by_region()
        return all(
            {
                member.instance
                for member in node.members()
                if member.state is MemberState.ALIVE
                and member.region == self.specs[address].region
            }
            == living[self.specs[address].region]
            for address, node in zip(self.queue.addresses(), self.list_nodes(), strict=True)
        )

    def instances_by_region(self) -> dict[RegionId, set[InstanceId]]:
        """Return the living instances of each region."""
        living: dict[RegionId, set[InstanceId]] = {}
        for address in self.queue.addresses():
            where = self.specs[address]
            living.setdefault(where.region, set()).add(where.instance)
        return living

    def count_viewers(self, address: Address, viewers: Iterable[Address]) -> int:
        """Return how many of `viewers` hold the daemon at `address` as a member."""
        instance = self.specs[address].instance
        return sum(
            any(member.instance == instance for member in self.find_node(viewer).members())
            for viewer in viewers
        )

    def run_until_converged(self, limit_s: float, step_s: float = 0.5) -> float | None:
        """Run until `is_converged`; return the seconds it took, None when it took too long."""
        start = self.queue.now
        while self.queue.now < start + limit_s:
            if self.is_converged():
                return self.queue.now - start
            self.queue.run(self.queue.now + step_s)
        return None


def build_member_update(where: DaemonSpec, started_s: int = START_TIME_S) -> MemberUpdate:
    """Return the update of a daemon with a ready upstream."""
    upstream = AnnouncedUpstream(where.service, where.upstream, UpstreamState.READY, 12)
    content = MemberMetadata(where.instance, where.zone, where.region, where.address, upstream)
    key = hash_instance(where.instance)
    return MemberUpdate(key, started_s, MemberState.ALIVE, started_s + 1, content)


def _sum_daemons(
    places: dict[Address, DaemonSpec], region: RegionId, addresses: list[Address]
) -> SummaryUpdate:
    contacts = tuple(
        Contact(places[address].instance, places[address].zone, address)
        for address in addresses[:8]
    )
    return SummaryUpdate(region, DAEMON_SERVICE, 1, len(addresses), 0, contacts)


def build_service_summaries(places: Iterable[DaemonSpec]) -> list[SummaryUpdate]:
    """Return the sums of services over daemons whose upstreams are ready."""
    by_service: dict[tuple[RegionId, ServiceName], list[DaemonSpec]] = {}
    for where in places:
        by_service.setdefault((where.region, where.service), []).append(where)
    return [
        SummaryUpdate(
            region,
            service,
            1,
            len(members),
            12 * len(members),
            tuple(Contact(where.instance, where.zone, where.upstream, 12) for where in members[:3]),
        )
        for (region, service), members in by_service.items()
    ]
