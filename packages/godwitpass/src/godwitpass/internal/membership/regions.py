"""Sums of all regions: ready upstreams by service, daemons, and a few contacts of each."""

import sys
from collections.abc import Iterable

import msgspec

from godwitpass.ids import RegionId, ServiceName, ZoneId
from godwitpass.internal.membership.digest import Buckets, DigestView, hash_numbers
from godwitpass.internal.membership.messages import (
    DAEMON_SERVICE,
    BeatUpdate,
    Contact,
    SummaryUpdate,
    hash_sum,
)
from godwitpass.mesh import Member, MemberState, Upstream, UpstreamState

_encoder = msgspec.msgpack.Encoder()
_contacts_decoder = msgspec.msgpack.Decoder(tuple[Contact, ...])

MAX_SUMS = 100_000
"""Bounds what a faulty daemon can make others hold: 2,500 services in nine regions, four times."""


class HeldSum(msgspec.Struct, gc=False):
    """A sum as it is kept: its contacts stay encoded, since most are never asked for."""

    region: RegionId
    service: ServiceName
    version: int
    ready: int
    slots: int
    contacts: bytes

    def build_update(self) -> SummaryUpdate:
        """Return the update that tells others of this sum."""
        contacts = _contacts_decoder.decode(self.contacts)
        return SummaryUpdate(self.region, self.service, self.version, self.ready, self.slots, contacts)


class Beat(msgspec.Struct):
    """The highest beat heard of a region; `reachable` until none came for too long."""

    beat: int
    heard_at: float
    reachable: bool = True


class Regions:
    """Holds the sums of every region and knows which other regions are reachable.

    The sums of the own region are held by its delegates only, since everybody there knows the
    members themselves.
    """

    def __init__(self, own: RegionId) -> None:
        self.own = own
        self._buckets: dict[RegionId, Buckets] = {}
        self.beats: dict[RegionId, Beat] = {}
        self.generation = 0
        self._sums: dict[int, HeldSum] = {}
        self._keys: dict[ServiceName, tuple[int, ...]] = {}

    def buckets_of(self, region: RegionId) -> Buckets:
        """Return the digest of the sums of `region`."""
        return self._buckets.setdefault(region, Buckets())

    @property
    def root(self) -> int:
        """Return the root of the digest of the sums of all other regions."""
        root = 0
        for region, buckets in self._buckets.items():
            root ^= buckets.root if region != self.own else 0
        return root

    def digest(self) -> DigestView:
        """Return the digest of the sums of all other regions."""
        return DigestView(
            buckets for region, buckets in self._buckets.items() if region != self.own
        )

    def merge_summary(self, update: SummaryUpdate) -> bool:
        """Keep `update` if it is newer than what is held; tell whether it was."""
        key = hash_sum(update.region, update.service)
        held = self._sums.get(key)
        if held is not None and not _is_newer(update, held):
            return False
        self._store(key, update)
        return True

    def merge_beat(self, update: BeatUpdate, now: float) -> bool:
        """Keep `update` if it is newer than what is held; tell whether it was."""
        held = self.beats.get(update.region)
        if held is not None and update.beat <= held.beat:
            return False
        if held is None or not held.reachable:
            self.generation += 1
        self.beats[update.region] = Beat(update.beat, now)
        return True

    def find_newly_lost(self, heard_before: float) -> list[RegionId]:
        """Mark the other regions not heard of since a time as unreachable and return them."""
        lost = [
            region
            for region, beat in self.beats.items()
            if beat.reachable and beat.heard_at < heard_before and region != self.own
        ]
        for region in lost:
            self.beats[region].reachable = False
            self.generation += 1
        return lost

    def is_reachable(self, region: RegionId) -> bool:
        """Tell whether `region` was heard of lately."""
        beat = self.beats.get(region)
        return beat is None or beat.reachable

    def get(self, region: RegionId, service: ServiceName) -> SummaryUpdate | None:
        """Return the sum of `service` in `region`."""
        held = self._sums.get(hash_sum(region, service))
        return None if held is None else held.build_update()

    def contacts(self, region: RegionId) -> tuple[Contact, ...]:
        """Return a few daemons of `region`."""
        held = self.get(region, DAEMON_SERVICE)
        return () if held is None else held.contacts

    def members(self) -> tuple[Member, ...]:
        """Return the known daemons of other, reachable regions."""
        return tuple(
            build_remote_member(held, contact)
            for held in self.sums(DAEMON_SERVICE)
            if self.is_reachable(held.region)
            for contact in held.contacts
        )

    def others(self) -> list[RegionId]:
        """Return the other regions of which contacts are known."""
        return [held.region for held in self.sums(DAEMON_SERVICE) if held.contacts]

    def sums(self, service: ServiceName) -> list[SummaryUpdate]:
        """Return the sums of `service` in the other regions where it was ever seen."""
        found = (self._sums[key] for key in self._keys.get(service, ()))
        return [held.build_update() for held in found if held.region != self.own]

    def services_of(self, region: RegionId) -> list[ServiceName]:
        """Return the services that have a sum in `region`."""
        return [held.service for held in self._sums.values() if held.region == region]

    def upstreams(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the known upstreams of `service` in other, reachable regions."""
        return tuple(
            build_remote_upstream(held, contact)
            for held in self.sums(service)
            if self.is_reachable(held.region)
            for contact in held.contacts
        )

    def build_updates(self, keys: Iterable[int]) -> list[SummaryUpdate]:
        """Return the sums with these keys."""
        return [self._sums[key].build_update() for key in keys if key in self._sums]

    def _store(self, key: int, update: SummaryUpdate) -> None:
        is_new = key not in self._sums
        if is_new and len(self._sums) >= MAX_SUMS:
            return
        self.generation += 1
        region, service = _intern(update)
        self._sums[key] = HeldSum(
            region,
            service,
            update.version,
            update.ready,
            update.slots,
            _encoder.encode(update.contacts),
        )
        if is_new:
            self._keys[service] = (*self._keys.get(service, ()), key)
        value = hash_numbers(key, update.version, update.ready)
        self.buckets_of(region).put(key, value)


def build_remote_member(held: SummaryUpdate, contact: Contact) -> Member:
    """Build the public view of a daemon of another region; its numbers aren't known."""
    return Member(
        contact.instance, contact.zone, held.region, contact.address, 0, 0, MemberState.ALIVE
    )


def build_remote_upstream(held: SummaryUpdate, contact: Contact) -> Upstream:
    """Build the public view of one contact of a sum."""
    return Upstream(
        contact.instance,
        held.service,
        contact.address,
        ZoneId(sys.intern(contact.zone)),
        held.region,
        UpstreamState.READY,
        contact.slots,
    )


def _intern(update: SummaryUpdate) -> tuple[RegionId, ServiceName]:
    """Return region and service as strings that all sums share."""
    return RegionId(sys.intern(update.region)), ServiceName(sys.intern(update.service))


def _is_newer(update: SummaryUpdate, held: HeldSum) -> bool:
    if update.version != held.version:
        return update.version > held.version
    told = (update.ready, update.slots, _encoder.encode(update.contacts))
    return told > (held.ready, held.slots, held.contacts)
