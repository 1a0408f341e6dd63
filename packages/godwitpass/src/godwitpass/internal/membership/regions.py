"""Summaries of all regions: ready upstreams by service, daemons, and a few contacts of each."""

import sys
from collections.abc import Iterable

import msgspec

from godwitpass.ids import RegionId, ServiceName, ZoneId
from godwitpass.internal.membership.digest import DigestView, HashBuckets, hash_record
from godwitpass.internal.membership.messages import (
    DAEMON_SERVICE,
    Contact,
    HeartbeatUpdate,
    SummaryUpdate,
    hash_summary,
)
from godwitpass.mesh import Member, MemberState, Upstream, UpstreamState

_encoder = msgspec.msgpack.Encoder()
_contacts_decoder = msgspec.msgpack.Decoder(tuple[Contact, ...])

MAX_SUMMARIES = 100_000
"""Limits what a faulty daemon can make others store.

2,500 services in nine regions need about a quarter of it.
"""


class StoredSummary(msgspec.Struct, gc=False):
    """A summary as kept in memory; its contacts stay encoded, since most are never used."""

    region: RegionId
    service: ServiceName
    version: int
    ready_count: int
    slots: int
    contacts: bytes

    def build_update(self) -> SummaryUpdate:
        """Return the update that sends this summary to others."""
        contacts = _contacts_decoder.decode(self.contacts)
        return SummaryUpdate(
            self.region, self.service, self.version, self.ready_count, self.slots, contacts
        )


class RegionHeartbeat(msgspec.Struct):
    """The latest heartbeat of a region; `is_reachable` until none arrives for too long."""

    counter: int
    received_at: float
    is_reachable: bool = True


class RegionTable:
    """Holds the summaries of all regions, and tells which remote regions are reachable.

    Only delegates hold the summaries of the own region; the other daemons don't need them, as they
    know its members themselves. `generation` grows with each change of what others read.
    """

    def __init__(self, own_region: RegionId) -> None:
        self.own_region = own_region
        self._buckets: dict[RegionId, HashBuckets] = {}
        self.heartbeats: dict[RegionId, RegionHeartbeat] = {}
        self.generation = 0
        self._summaries: dict[int, StoredSummary] = {}
        self._keys_by_service: dict[ServiceName, tuple[int, ...]] = {}

    def get_buckets(self, region: RegionId) -> HashBuckets:
        """Return the hash buckets of the summaries of `region`."""
        return self._buckets.setdefault(region, HashBuckets())

    @property
    def root(self) -> int:
        """Return the root of the digest of the summaries of all remote regions."""
        root = 0
        for region, buckets in self._buckets.items():
            root ^= buckets.root if region != self.own_region else 0
        return root

    def build_digest(self) -> DigestView:
        """Return the digest of the summaries of all remote regions."""
        return DigestView(
            buckets for region, buckets in self._buckets.items() if region != self.own_region
        )

    def merge_summary(self, update: SummaryUpdate) -> bool:
        """Store `update` if it is newer than the stored summary; return whether it was newer."""
        key = hash_summary(update.region, update.service)
        stored = self._summaries.get(key)
        if stored is not None and not _is_newer(update, stored):
            return False
        self._store(key, update)
        return True

    def merge_heartbeat(self, update: HeartbeatUpdate, now: float) -> bool:
        """Store `update` if it is newer than the stored heartbeat; return whether it was newer."""
        stored = self.heartbeats.get(update.region)
        if stored is not None and update.counter <= stored.counter:
            return False
        if stored is None or not stored.is_reachable:
            self.generation += 1
        self.heartbeats[update.region] = RegionHeartbeat(update.counter, now)
        return True

    def mark_lost_regions(self, heard_before: float) -> list[RegionId]:
        """Mark and return the remote regions that got lost: no heartbeat since `heard_before`."""
        lost = [
            region
            for region, heartbeat in self.heartbeats.items()
            if heartbeat.is_reachable
            and heartbeat.received_at < heard_before
            and region != self.own_region
        ]
        for region in lost:
            self.heartbeats[region].is_reachable = False
            self.generation += 1
        return lost

    def is_reachable(self, region: RegionId) -> bool:
        """Return whether `region` counts as reachable, as it does before its first heartbeat."""
        heartbeat = self.heartbeats.get(region)
        return heartbeat is None or heartbeat.is_reachable

    def get(self, region: RegionId, service: ServiceName) -> SummaryUpdate | None:
        """Return the summary of `service` in `region`, None if there is none."""
        stored = self._summaries.get(hash_summary(region, service))
        return None if stored is None else stored.build_update()

    def contacts(self, region: RegionId) -> tuple[Contact, ...]:
        """Return the known daemons of `region`, a few of them."""
        stored = self.get(region, DAEMON_SERVICE)
        return () if stored is None else stored.contacts

    def members(self) -> tuple[Member, ...]:
        """Return the known daemons of reachable remote regions."""
        return tuple(
            build_remote_member(summary, contact)
            for summary in self.summaries(DAEMON_SERVICE)
            if self.is_reachable(summary.region)
            for contact in summary.contacts
        )

    def find_remote_regions(self) -> list[RegionId]:
        """Return the remote regions of which a daemon is known."""
        return [summary.region for summary in self.summaries(DAEMON_SERVICE) if summary.contacts]

    def summaries(self, service: ServiceName) -> list[SummaryUpdate]:
        """Return the summaries of `service` in all remote regions that ever had it."""
        found = (self._summaries[key] for key in self._keys_by_service.get(service, ()))
        return [stored.build_update() for stored in found if stored.region != self.own_region]

    def list_services(self, region: RegionId) -> list[ServiceName]:
        """Return the services that have a summary in `region`."""
        return [stored.service for stored in self._summaries.values() if stored.region == region]

    def upstreams(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the known upstreams of `service` in reachable remote regions."""
        return tuple(
            build_remote_upstream(summary, contact)
            for summary in self.summaries(service)
            if self.is_reachable(summary.region)
            for contact in summary.contacts
        )

    def build_updates(self, keys: Iterable[int]) -> list[SummaryUpdate]:
        """Return the stored summaries among `keys`."""
        return [self._summaries[key].build_update() for key in keys if key in self._summaries]

    def _store(self, key: int, update: SummaryUpdate) -> None:
        is_new = key not in self._summaries
        if is_new and len(self._summaries) >= MAX_SUMMARIES:
            return
        self.generation += 1
        region, service = _intern(update)
        self._summaries[key] = StoredSummary(
            region,
            service,
            update.version,
            update.ready_count,
            update.slots,
            _encoder.encode(update.contacts),
        )
        if is_new:
            self._keys_by_service[service] = (*self._keys_by_service.get(service, ()), key)
        record_hash = hash_record(key, update.version, update.ready_count)
        self.get_buckets(region).put(key, record_hash)


def build_remote_member(summary: SummaryUpdate, contact: Contact) -> Member:
    """Build the public view of a daemon of another region.

    Its incarnation and sequence number aren't known and set to 0.
    """
    return Member(
        contact.instance, contact.zone, summary.region, contact.address, 0, 0, MemberState.ALIVE
    )


def build_remote_upstream(summary: SummaryUpdate, contact: Contact) -> Upstream:
    """Build the public view of an upstream of another region."""
    return Upstream(
        contact.instance,
        summary.service,
        contact.address,
        ZoneId(sys.intern(contact.zone)),
        summary.region,
        UpstreamState.READY,
        contact.slots,
    )


def _intern(update: SummaryUpdate) -> tuple[RegionId, ServiceName]:
    """Return the region and service of `update` interned, to save memory."""
    return RegionId(sys.intern(update.region)), ServiceName(sys.intern(update.service))


def _is_newer(update: SummaryUpdate, stored: StoredSummary) -> bool:
    if update.version != stored.version:
        return update.version > stored.version
    received = (update.ready_count, update.slots, _encoder.encode(update.contacts))
    return received > (stored.ready_count, stored.slots, stored.contacts)
