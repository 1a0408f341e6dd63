"""A fleet of distributors on a virtual-time queue, with shared work remembered."""

import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import msgspec

from godwitpass.document import Distribution, Document, Favour, Route, Service
from godwitpass.ids import (
    Address,
    ChangeId,
    ContentHash,
    InstanceId,
    RegionId,
    RouteName,
    ServiceName,
    Version,
    ZoneId,
)
from godwitpass.internal.acceptance.record import (
    ROOT_KEY,
    AcceptedVersion,
    append_version,
    build_content_key,
    decode_root,
    encode_root,
    split_content,
)
from godwitpass.internal.codec import encode_canonical, hash_content
from godwitpass.internal.distribution.delta import (
    DocumentCodec,
    decode_delta,
    decode_full,
    encode_delta,
    encode_full,
)
from godwitpass.internal.distribution.distributor import Distributor
from godwitpass.internal.distribution.interface import Activate, ViewChanged
from godwitpass.internal.distribution.tuning import Tuning
from godwitpass.internal.distribution.view import View, build_view
from godwitpass.mesh import Member, MemberState
from godwitpass.snapshot import Snapshot
from godwitpass_testkit.virtual import Link, VirtualQueue
from godwitpass_testkit.virtual_store import VirtualStore

ZONES_PER_REGION = 3
CONTACTS_PER_ZONE = 8
"""Members of each other availability zone that a daemon knows."""


def build_document(services: int, favour: Favour = Favour.CONVERGENCE, mark: int = 0) -> Document:
    """Build a document with one route a service; `mark` changes the last service."""
    generator = random.Random(services)
    names = [ServiceName(f"service-{generator.getrandbits(40):010x}") for _ in range(services)]
    entries = [Service(name) for name in names]
    entries[-1] = Service(names[-1], slots=12 + mark)
    routes = [
        Route(RouteName(f"route-{name}"), f"/{name}", name, host=f"{name}.example")
        for name in names
    ]
    return Document(1, tuple(entries), tuple(routes), distribution=Distribution(favour))


def build_caching_codec() -> DocumentCodec:
    """Return a codec that does equal work once for a whole fleet."""
    deltas: dict[tuple[int, int], tuple[Document, Document, bytes]] = {}
    wholes: dict[int, tuple[Document, bytes]] = {}
    opened: dict[tuple[bytes, ContentHash], Document] = {}

    def encode_delta_once(old: Document, new: Document) -> bytes:
        key = id(old), id(new)
        if key not in deltas:
            deltas[key] = old, new, encode_delta(old, new)
        return deltas[key][2]

    def encode_full_once(document: Document) -> bytes:
        if id(document) not in wholes:
            wholes[id(document)] = document, encode_full(document)
        return wholes[id(document)][1]

    def decode_delta_once(old: Document, body: bytes, expected: ContentHash) -> Document:
        key = body, expected
        if key not in opened:
            opened[key] = decode_delta(old, body, expected)
        return opened[key]

    def decode_full_once(body: bytes, expected: ContentHash) -> Document:
        key = body, expected
        if key not in opened:
            opened[key] = decode_full(body, expected)
        return opened[key]

    return DocumentCodec(encode_delta_once, encode_full_once, decode_delta_once, decode_full_once)


class FleetNode(Protocol):
    """A decision object that holds a version."""

    @property
    def current(self) -> Snapshot | None:
        """Return the version in force."""
        ...

    def handle(self, event: Any, now: float) -> list[Any]:
        """Decide on `event` and return actions."""
        ...


NodeBuilder = Callable[[Address, random.Random, DocumentCodec], FleetNode]


class Fleet:
    """Daemons in availability zones, a store, and the times of activation."""

    def __init__(
        self,
        daemons: int,
        zones: int,
        seed: int = 1,
        tuning: Tuning | None = None,
        build_node: NodeBuilder | None = None,
    ) -> None:
        self._build_node = build_node or (
            lambda address, generator, codec: Distributor(address, generator, codec, tuning)
        )
        self.store = VirtualStore()
        self.queue = VirtualQueue(seed, perform=self._perform)
        self.queue.choose_link = lambda sender, to: default_link(self, sender, to)
        self.members = [_build_member(index, zones) for index in range(daemons)]
        self.members_by_address = {member.address: member for member in self.members}
        self.activation_times_s: dict[Version, dict[Address, float]] = {}
        self.on_activate: Callable[[Address, Activate], None] = lambda address, action: None
        self._newest = Document(1)
        self._codec = build_caching_codec()
        self._random = random.Random(seed)
        self.views: dict[ZoneId, View] = {}
        self.change_views(self.members)

    @property
    def zones(self) -> list[ZoneId]:
        """Return all availability zones."""
        return sorted({member.zone for member in self.members})

    def start(self, addresses: Iterable[Address]) -> None:
        """Start a daemon that knows nothing at each of `addresses`."""
        for address in addresses:
            seed = self._random.getrandbits(32)
            node = self._build_node(address, random.Random(seed), self._codec)
            self.queue.attach(address, node)
            self.queue.post(address, ViewChanged(self.views[self.members_by_address[address].zone]))

    def start_all(self) -> None:
        """Start all daemons."""
        self.start(member.address for member in self.members)

    def kill(self, addresses: Iterable[Address]) -> None:
        """Kill the daemons at `addresses`; nobody is told."""
        for address in addresses:
            self.queue.detach(address)

    def change_views(self, members: Iterable[Member]) -> None:
        """Tell all daemons of the members now known to membership."""
        known = [item for item in members if item.state is MemberState.ALIVE]
        contacts = _choose_contacts(known)
        for zone in self.zones:
            local = [item for item in known if item.zone == zone]
            others = [item for item in contacts if item.zone != zone]
            self.views[zone] = build_view(local + others, zone)
        for address in self.queue.addresses():
            self.queue.post(address, ViewChanged(self.views[self.members_by_address[address].zone]))

    def sync_membership(self) -> None:
        """Let membership remove the dead and add the living."""
        self.change_views(member for member in self.members if self.queue.is_alive(member.address))

    def accept(self, document: Document, change: str) -> Version:
        """Write the next version to the store, as acceptance does."""
        root = decode_root(self.store.memory.get(ROOT_KEY))
        digest = hash_content(encode_canonical(document))
        for number, value in enumerate(split_content(encode_full(document))):
            self.store.write(build_content_key(digest, number), value)
        version = Version(root.version + 1)
        delta = encode_delta(self._newest, document) if root.version else None
        self._newest = document
        accepted = AcceptedVersion(version, ChangeId(change), digest, self.queue.now)
        self.store.write(ROOT_KEY, encode_root(append_version(root, accepted, delta)))
        return version

    def count_control_bytes(self) -> dict[Address, int]:
        """Return the bytes that each daemon has sent, and exchanged with the store."""
        addresses = self.members_by_address
        return {item: self.queue.sent_bytes[item] + self.store.bytes[item] for item in addresses}

    def list_versions(self) -> set[Version]:
        """Return the versions in force on the living daemons, 0 for none."""
        nodes = [self.queue.node(address) for address in self.queue.addresses()]
        return {node.current.version if node.current else Version(0) for node in nodes}

    def is_held(self, version: Version) -> bool:
        """Tell whether all living daemons hold `version` or a later one."""
        return min(self.list_versions()) >= version

    def _perform(self, queue: VirtualQueue, address: Address, action: msgspec.Struct) -> None:
        if isinstance(action, Activate):
            times = self.activation_times_s.setdefault(action.snapshot.version, {})
            times[address] = queue.now
            self.on_activate(address, action)
        else:
            self.store.perform(queue, address, action)


def default_link(fleet: Fleet, sender: Address, to: Address) -> Link:
    """Return short delays inside an availability zone, longer ones across regions."""
    first, second = fleet.members_by_address[sender], fleet.members_by_address[to]
    if first.zone == second.zone:
        return ZONE_LINK
    return REGION_LINK if first.region == second.region else FAR_LINK


ZONE_LINK = Link(0.0003, 0.002)
REGION_LINK = Link(0.001, 0.004)
FAR_LINK = Link(0.03, 0.09)


def _build_member(index: int, zones: int) -> Member:
    zone = index % zones
    return Member(
        InstanceId(f"instance-{index}"),
        ZoneId(f"zone-{zone:02}"),
        RegionId(f"region-{zone // ZONES_PER_REGION}"),
        Address(f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:7000"),
        1,
        1,
        MemberState.ALIVE,
    )


def _choose_contacts(members: list[Member]) -> list[Member]:
    by_zone: dict[ZoneId, list[Member]] = {}
    for member in members:
        by_zone.setdefault(member.zone, []).append(member)
    chosen: list[Member] = []
    for zone, local in by_zone.items():
        ranked_members = build_view(local, zone).ranked_members[:CONTACTS_PER_ZONE]
        chosen += [item for item in local if item.address in ranked_members]
    return chosen
