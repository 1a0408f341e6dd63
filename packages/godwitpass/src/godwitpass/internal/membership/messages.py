"""Messages between daemons, and the updates that they carry.

A member is named by a 62-bit key, the hash of its instance id; see `hash_instance`.
"""

from enum import Enum
from typing import Annotated

import msgspec
import xxhash

from godwitpass.ids import Address, InstanceId, RegionId, ServiceName, ZoneId
from godwitpass.mesh import MemberState, UpstreamState

Number = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
"""A key or counter; the bound leaves room to exceed any received value."""

Nonce = Annotated[int, msgspec.Meta(ge=0, le=2**32)]

ANY_MEMBER = 0
"""Key that stands for whichever member receives or sent the message."""

DAEMON_SERVICE = ServiceName("")
"""The service name under which a region sums up its daemons."""


class Scope(Enum):
    """Which records a digest covers."""

    MEMBERS = 0
    SUMS = 1


class AnnouncedUpstream(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a daemon says of the upstream beside it."""

    service: ServiceName
    address: Address
    state: UpstreamState
    slots: int


class MemberMetadata(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a daemon says of itself; only the daemon itself changes it.

    `link_class` grows with the rate of its link; see `mesh.classify_link`.
    """

    instance: InstanceId
    zone: ZoneId
    region: RegionId
    address: Address
    upstream: AnnouncedUpstream | None = None
    link_class: int = 0


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Two independent registers of a member, each won by its highest value.

    (`incarnation`, `state`) says whether it lives, `sequence` orders its contents. The content is
    left out where the receiver most likely holds it. A dead member travels as a suspected one, so
    that each daemon grants it time to refute.
    """

    key: Number
    incarnation: Number
    state: MemberState
    sequence: Number
    content: MemberMetadata | None = None


class Contact(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One upstream of another region, or one daemon in a sum of daemons."""

    instance: InstanceId
    zone: ZoneId
    address: Address
    slots: int = 0


class SummaryUpdate(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Ready upstreams and their slots of one service in one region, with a few of them.

    The highest version wins; of equal ones the greater content.
    """

    region: RegionId
    service: ServiceName
    version: Number
    ready: Number
    slots: Number
    contacts: tuple[Contact, ...] = ()


class BeatUpdate(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Shows that a region lives; the highest `beat` wins."""

    region: RegionId
    beat: Number


Update = MemberUpdate | SummaryUpdate | BeatUpdate


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks the member with key `target` for an `Ack`.

    Within a region the roots cover its members and the sums of all other regions. A ping from
    another region names it in `region`; then `sum_root` covers the sums of that region only.
    """

    nonce: Nonce
    target: Number
    member_root: int
    sum_root: int
    updates: tuple[Update, ...] = ()
    region: RegionId | None = None


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a `Ping`; one that goes to another region has no roots to compare."""

    nonce: Nonce
    member_root: int | None
    sum_root: int | None
    updates: tuple[Update, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a helper to ping `target` at `address`; answered by `Relayed` if it lives."""

    nonce: Nonce
    target: Number
    address: Address


class Relayed(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Tells that the target of a `PingRequest` has answered."""

    nonce: Nonce


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Carries updates that the sender has learnt lately."""

    updates: tuple[Update, ...]


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Begins a repair: one hash for every bucket of the sender's records.

    Sums are those of `region`, or of all regions but the sender's own.
    """

    scope: Scope
    hashes: bytes
    region: RegionId | None = None


class Items(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Keys and hashes of the sender's records in the buckets that differ."""

    scope: Scope
    buckets: bytes
    items: bytes
    region: RegionId | None = None


class Records(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Carries whole records and the keys of those that the sender lacks.

    Where `reply` is set the receiver also returns records of which it holds a newer value.
    """

    scope: Scope
    updates: tuple[Update, ...]
    wanted: tuple[Number, ...] = ()
    reply: bool = False


Message = Ping | Ack | PingRequest | Relayed | Gossip | Digest | Items | Records


class SeedRecord(msgspec.Struct, frozen=True, array_like=True):
    """Value of `seeds/<zone>` in the store: a few daemons to make first contact with."""

    region: RegionId
    addresses: tuple[Address, ...] = ()


def hash_instance(instance: InstanceId) -> int:
    """Return the key of the member `instance`; never `ANY_MEMBER`.

    Its order is the one in which `distribution` ranks daemons with equally fast links.
    """
    return xxhash.xxh64_intdigest(instance.encode()) >> 2 or 1


def hash_sum(region: RegionId, service: ServiceName) -> int:
    """Return the key of the sum of `service` in `region`."""
    return xxhash.xxh64_intdigest(f"{region}\0{service}".encode()) >> 2


def find_key(update: MemberUpdate | SummaryUpdate) -> int:
    """Return the key under which digests list the subject of `update`."""
    if isinstance(update, MemberUpdate):
        return update.key
    return hash_sum(update.region, update.service)
