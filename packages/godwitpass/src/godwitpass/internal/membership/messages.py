"""Messages of the membership protocol, and the updates that they carry.

A member is identified by a 62-bit key, the hash of its instance id; see `hash_instance`.
"""

from enum import Enum
from typing import Annotated

import msgspec
import xxhash

from godwitpass.ids import Address, InstanceId, RegionId, ServiceName, SoftwareVersion, ZoneId
from godwitpass.mesh import MemberState, UpstreamState

BoundedInt = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
"""A key or counter; the upper bound leaves room to raise a counter above any received value."""

Nonce = Annotated[int, msgspec.Meta(ge=0, le=2**32)]

ANY_MEMBER = 0
"""Key that stands for whichever member receives the message."""

DAEMON_SERVICE = ServiceName("")
"""Service name of the summary of a region's daemons."""


class Scope(Enum):
    """Which records a digest covers: the members of a region, or summaries of regions."""

    MEMBERS = 0
    SUMMARIES = 1


class AnnouncedUpstream(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a daemon announces about the upstream beside it.

    `canary_permille` is `Upstream.canary_share` in thousandths, one byte if there is none.
    """

    service: ServiceName
    address: Address
    state: UpstreamState
    slots: int
    software_version: SoftwareVersion = SoftwareVersion("")
    canary_permille: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0


class MemberMetadata(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a daemon announces about itself; only the daemon itself changes it.

    `link_class` grows with the rate of its network link; see `mesh.classify_link`.
    """

    instance: InstanceId
    zone: ZoneId
    region: RegionId
    address: Address
    upstream: AnnouncedUpstream | None = None
    link_class: int = 0


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The state of one member: two independent registers, each with its highest value winning.

    (`incarnation`, `state`) tells whether the member is alive; `sequence` orders versions of
    `metadata`, which is left out where the receiver most likely has it. A dead member is sent as a
    suspect, so that each receiver grants it time to refute.
    """

    key: BoundedInt
    incarnation: BoundedInt
    state: MemberState
    sequence: BoundedInt
    metadata: MemberMetadata | None = None


class Contact(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One upstream of another region or, in the summary of daemons, one daemon."""

    instance: InstanceId
    zone: ZoneId
    address: Address
    slots: int = 0


class SummaryUpdate(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Summary of one service in one region: its ready upstreams, their slots and a few contacts.

    The highest version wins; between equal versions, the greater of the other fields.
    """

    region: RegionId
    service: ServiceName
    version: BoundedInt
    ready_count: BoundedInt
    slots: BoundedInt
    contacts: tuple[Contact, ...] = ()


class HeartbeatUpdate(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Shows that a region is alive; the highest `counter` wins."""

    region: RegionId
    counter: BoundedInt


Update = MemberUpdate | SummaryUpdate | HeartbeatUpdate


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks the member with key `target` for an `Ack`.

    Within a region the roots are those of the digests of its members and of the summaries of all
    other regions. A ping to another region has the sender's `region`; its `summary_root` covers
    the summaries of that region only.
    """

    nonce: Nonce
    target: BoundedInt
    member_root: int
    summary_root: int
    updates: tuple[Update, ...] = ()
    region: RegionId | None = None


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a `Ping`; has no roots when sent to another region."""

    nonce: Nonce
    member_root: int | None
    summary_root: int | None
    updates: tuple[Update, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks another member to ping `target` at `address`; answered by an `IndirectAck` if alive."""

    nonce: Nonce
    target: BoundedInt
    address: Address


class IndirectAck(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Tells the sender of a `PingRequest` that its target has answered."""

    nonce: Nonce


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Carries updates that the sender has recently received or made."""

    updates: tuple[Update, ...]


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Starts a sync with one hash for every bucket of the sender's records.

    Summaries are those of `region`, or of all regions but the sender's own.
    """

    scope: Scope
    hashes: bytes
    region: RegionId | None = None


class BucketItems(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Answers a `Digest`: keys and hashes of the sender's records in the buckets that differ."""

    scope: Scope
    buckets: bytes
    items: bytes
    region: RegionId | None = None


class Records(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Carries complete records, and the keys of records that the sender requests.

    If `requests_newer`, the receiver also returns those records of which it has a newer version.
    """

    scope: Scope
    updates: tuple[Update, ...]
    requested_keys: tuple[BoundedInt, ...] = ()
    requests_newer: bool = False


Message = Ping | Ack | PingRequest | IndirectAck | Gossip | Digest | BucketItems | Records


class SeedRecord(msgspec.Struct, frozen=True, array_like=True):
    """Value of `seeds/<zone>` in the store: a few daemons of a zone, through which others join."""

    region: RegionId
    addresses: tuple[Address, ...] = ()


def hash_instance(instance: InstanceId) -> int:
    """Return the key of the member `instance`; never `ANY_MEMBER`.

    `distribution` ranks daemons with equally fast links in the order of their keys.
    """
    return xxhash.xxh64_intdigest(instance.encode()) >> 2 or 1


def hash_summary(region: RegionId, service: ServiceName) -> int:
    """Return the key of the summary of `service` in `region`."""
    return xxhash.xxh64_intdigest(f"{region}\0{service}".encode()) >> 2


def compute_digest_key(update: MemberUpdate | SummaryUpdate) -> int:
    """Return the key of the record that `update` changes, as used in digests."""
    if isinstance(update, MemberUpdate):
        return update.key
    return hash_summary(update.region, update.service)
