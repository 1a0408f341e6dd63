"""Simulate distribution over a fleet of daemons in virtual time."""

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
"""Number of members that daemons of other availability zones know of each zone."""


def build_document(
    service_count: int, favour: Favour = Favour.CONVERGENCE, variant: int = 0
) -> Document:
    """Build a document with one route for each service.

    `variant` changes the slots of the last service, so that documents with different variants
    differ in one service.
    """
    generator = random.Random(service_count)
    names = [ServiceName(f"service-{generator.getrandbits(40):010x}") for _ in range(service_count)]
    services = [Service(name) for name in names]
    services[-1] = Service(names[-1], slots=12 + variant)
    routes = [
        Route(RouteName(f"route-{name}"), f"/{name}", name, host=f"{name}.example")
        for name in names
    ]
    return Document(1, tuple(services), tuple(routes), distribution=Distribution(favour))


def build_caching_codec() -> DocumentCodec:
    """Return a codec for all daemons of a fleet that caches its results.

    The daemons of a fleet share one process and would repeat each encoding and decoding.
    """
    encoded_deltas: dict[tuple[int, int], tuple[Document, Document, bytes]] = {}
    encoded_documents: dict[int, tuple[Document, bytes]] = {}
    decoded_documents: dict[tuple[bytes, ContentHash], Document] = {}

    def encode_delta_once(old: Document, new: Document) -> bytes:
        key = id(old), id(new)
        if key not in encoded_deltas:
            encoded_deltas[key] = old, new, encode_delta(old, new)
        return encoded_deltas[key][2]

    def encode_full_once(document: Document) -> bytes:
        if id(document) not in encoded_documents:
            encoded_documents[id(document)] = document, encode_full(document)
        return encoded_documents[id(document)][1]

    def decode_delta_once(old: Document, body: bytes, expected: ContentHash) -> Document:
        key = body, expected
        if key not in decoded_documents:
            decoded_documents[key] = decode_delta(old, body, expected)
        return decoded_documents[key]

    def decode_full_once(body: bytes, expected: ContentHash) -> Document:
        key = body, expected
        if key not in decoded_documents:
            decoded_documents[key] = decode_full(body, expected)
        return decoded_documents[key]

    return DocumentCodec(encode_delta_once, encode_full_once, decode_delta_once, decode_full_once)


class FleetNode(Protocol):
    """Decision object of one daemon that holds a version."""

    @property
    def current(self) -> Snapshot | None:
        """Return the version in force."""
        ...

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle `event` at virtual time `now` in seconds and return the actions."""
        ...


NodeBuilder = Callable[[Address, random.Random, DocumentCodec], FleetNode]


class Fleet:
    """Simulated daemons in availability zones, and their store.

    `activation_times_s` holds, by version, the virtual time at which each daemon activated it.
    `on_activate` is called at each activation. Membership isn't simulated: views are built from the
    member records directly.
    """

    def __init__(
        self,
        daemon_count: int,
        zone_count: int,
        seed: int = 1,
        tuning: Tuning | None = None,
        build_node: NodeBuilder | None = None,
    ) -> None:
        self._build_node = build_node or (
            lambda address, generator, codec: Distributor(address, generator, codec, tuning)
        )
        self.store = VirtualStore()
        self.queue = VirtualQueue(seed, perform=self._perform)
        self.queue.choose_link = lambda sender, to: choose_default_link(self, sender, to)
        self.members = [_build_member(index, zone_count) for index in range(daemon_count)]
        self.members_by_address = {member.address: member for member in self.members}
        self.activation_times_s: dict[Version, dict[Address, float]] = {}
        self.on_activate: Callable[[Address, Activate], None] = lambda address, action: None
        self._newest_document = Document(1)
        self._codec = build_caching_codec()
        self._generator = random.Random(seed)
        self.views: dict[ZoneId, View] = {}
        self.update_views(self.members)

    @property
    def zones(self) -> list[ZoneId]:
        """Return the names of all availability zones, sorted."""
        return sorted({member.zone for member in self.members})

    def start(self, addresses: Iterable[Address]) -> None:
        """Start a daemon without any state at each of `addresses`."""
        for address in addresses:
            seed = self._generator.getrandbits(32)
            node = self._build_node(address, random.Random(seed), self._codec)
            self.queue.attach(address, node)
            self.queue.post(address, ViewChanged(self.views[self.members_by_address[address].zone]))

    def start_all(self) -> None:
        """Start all daemons."""
        self.start(member.address for member in self.members)

    def kill(self, addresses: Iterable[Address]) -> None:
        """Kill the daemons at `addresses` without notice to the others."""
        for address in addresses:
            self.queue.detach(address)

    def update_views(self, members: Iterable[Member]) -> None:
        """Build the views from those of `members` that are alive, and send them to all daemons."""
        alive = [member for member in members if member.state is MemberState.ALIVE]
        contacts = _choose_contacts(alive)
        for zone in self.zones:
            zone_members = [member for member in alive if member.zone == zone]
            other_contacts = [member for member in contacts if member.zone != zone]
            self.views[zone] = build_view(zone_members + other_contacts, zone)
        for address in self.queue.addresses():
            self.queue.post(address, ViewChanged(self.views[self.members_by_address[address].zone]))

    def sync_membership(self) -> None:
        """Update the views to exactly the daemons that are running."""
        self.update_views(member for member in self.members if self.queue.is_alive(member.address))

    def accept(self, document: Document, change: str) -> Version:
        """Write `document` to the store as the next version, as acceptance does, and return it."""
        root = decode_root(self.store.memory.get(ROOT_KEY))
        content_hash = hash_content(encode_canonical(document))
        for number, value in enumerate(split_content(encode_full(document))):
            self.store.write(build_content_key(content_hash, number), value)
        version = Version(root.version + 1)
        delta = encode_delta(self._newest_document, document) if root.version else None
        self._newest_document = document
        accepted = AcceptedVersion(version, ChangeId(change), content_hash, self.queue.now)
        self.store.write(ROOT_KEY, encode_root(append_version(root, accepted, delta)))
        return version

    def count_control_bytes(self) -> dict[Address, int]:
        """Return the bytes that each daemon has sent to daemons and exchanged with the store."""
        members = self.members_by_address
        return {
            address: self.queue.sent_bytes[address] + self.store.transferred_bytes[address]
            for address in members
        }

    def list_versions(self) -> set[Version]:
        """Return the versions in force on the running daemons; 0 stands for none."""
        nodes = [self.queue.node(address) for address in self.queue.addresses()]
        return {node.current.version if node.current else Version(0) for node in nodes}

    def is_held(self, version: Version) -> bool:
        """Return whether all running daemons hold `version` or a later one."""
        return min(self.list_versions()) >= version

    def _perform(self, queue: VirtualQueue, address: Address, action: msgspec.Struct) -> None:
        if isinstance(action, Activate):
            times_s = self.activation_times_s.setdefault(action.snapshot.version, {})
            times_s[address] = queue.now
            self.on_activate(address, action)
        else:
            self.store.perform(queue, address, action)


def choose_default_link(fleet: Fleet, sender: Address, to: Address) -> Link:
    """Return the link by distance: within a zone, within a region or between regions."""
    first, second = fleet.members_by_address[sender], fleet.members_by_address[to]
    if first.zone == second.zone:
        return ZONE_LINK
    return INTER_ZONE_LINK if first.region == second.region else INTER_REGION_LINK


ZONE_LINK = Link(0.0003, 0.002)
INTER_ZONE_LINK = Link(0.001, 0.004)
INTER_REGION_LINK = Link(0.03, 0.09)


def _build_member(index: int, zone_count: int) -> Member:
    zone = index % zone_count
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
    members_by_zone: dict[ZoneId, list[Member]] = {}
    for member in members:
        members_by_zone.setdefault(member.zone, []).append(member)
    contacts: list[Member] = []
    for zone, zone_members in members_by_zone.items():
        ranked_members = build_view(zone_members, zone).ranked_members[:CONTACTS_PER_ZONE]
        contacts += [member for member in zone_members if member.address in ranked_members]
    return contacts
