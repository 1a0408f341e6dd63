"""The members of the own region, with indexes by address, state and service."""

import random
from collections.abc import Iterable, Sequence

from godwitpass.ids import Address, RegionId, ServiceName
from godwitpass.internal.membership.digest import HashBuckets, hash_record
from godwitpass.internal.membership.key_set import KeySet
from godwitpass.internal.membership.messages import MemberUpdate
from godwitpass.internal.membership.records import (
    MemberRecord,
    MergeOutcome,
    build_member,
    build_record,
    build_update,
    merge_update,
)
from godwitpass.mesh import Member, MemberState, Upstream


class MemberTable:
    """Holds the records of all members, including this daemon and recently gone members.

    `live_peers` holds the keys of the members that are alive or suspect, without this daemon;
    `dead_members` those of the dead ones. `generation` grows with each change of what others read.
    `changed_services` collects the services whose upstreams changed until a delegate takes them.
    """

    def __init__(self, own_record: MemberRecord, max_gone_members: int) -> None:
        self.own_record = own_record
        self.region: RegionId = own_record.metadata.region
        self.live_peers = KeySet()
        self.dead_members = KeySet()
        self.buckets = HashBuckets()
        self.generation = 0
        self.changed_services: set[ServiceName] = set()
        self._max_gone_members = max_gone_members
        self._records: dict[int, MemberRecord] = {}
        self._gone_since: dict[int, float] = {}
        self._key_by_address: dict[Address, int] = {}
        self._members: dict[int, Member] = {}
        self._upstreams_by_service: dict[ServiceName, dict[int, Upstream]] = {}
        self._cached_members: tuple[Member, ...] | None = None
        self._records[own_record.key] = own_record
        self.reindex(own_record, 0.0)

    def __len__(self) -> int:
        return len(self._members)

    def get(self, key: int) -> MemberRecord | None:
        """Return the record of `key`."""
        return self._records.get(key)

    def find_by_address(self, address: Address) -> MemberRecord | None:
        """Return the record of the member that uses `address`, or was the last to use it."""
        key = self._key_by_address.get(address)
        return None if key is None else self._records[key]

    def merge(self, update: MemberUpdate, now: float) -> MergeOutcome:
        """Merge an update about another member."""
        assert update.key != self.own_record.key, "only this daemon itself changes its own record"
        record = self._records.get(update.key)
        if record is None:
            return self._add(update, now)
        previous = self.get_upstream(update.key)
        address = record.metadata.address
        outcome = merge_update(record, update)
        if outcome is MergeOutcome.CHANGED:
            self._forget_address(address, record.key)
            self.reindex(record, now, previous)
        return outcome

    def set_state(self, record: MemberRecord, state: MemberState, now: float) -> None:
        """Set the state of `record`, as decided by this daemon."""
        previous = self.get_upstream(record.key)
        record.state = state
        self.reindex(record, now, previous)

    def reindex(self, record: MemberRecord, now: float, previous: Upstream | None = None) -> None:
        """Update all indexes after a change of `record`, whose upstream was `previous` before."""
        self.generation += 1
        self._cached_members = None
        self._assign_address(record, now)
        if record.is_gone:
            self._index_gone(record, now)
        else:
            self._index_live(record)
        current = self.get_upstream(record.key)
        if current == previous:
            return
        for upstream in (previous, current):
            if upstream is not None:
                self.changed_services.add(upstream.service)

    def _assign_address(self, record: MemberRecord, now: float) -> None:
        """Assign the address of `record` to one live member and declare the other one dead.

        The higher incarnation wins, and between equal ones `record`; this daemon always keeps its
        own address.
        """
        address = record.metadata.address
        occupant_key = self._key_by_address.get(address)
        occupant = None if occupant_key is None else self._records[occupant_key]
        if occupant is None or occupant is record or occupant.is_gone:
            self._key_by_address[address] = record.key
        elif not record.is_gone:
            if occupant is self.own_record or occupant.incarnation > record.incarnation:
                record.state = MemberState.DEAD
            else:
                self._key_by_address[address] = record.key
                self.set_state(occupant, MemberState.DEAD, now)

    def prune_gone(self, cutoff: float) -> None:
        """Remove members that are gone since before `cutoff`, and the oldest above the limit."""
        excess = len(self._gone_since) - self._max_gone_members
        while self._gone_since:
            key, since = next(iter(self._gone_since.items()))
            if since >= cutoff and excess <= 0:
                return
            excess -= 1
            self._remove(key)

    def find_dead_since(self, time: float) -> list[MemberRecord]:
        """Return the records of members declared dead at `time` or later."""
        return [
            self._records[key]
            for key, since in self._gone_since.items()
            if since >= time and key in self.dead_members
        ]

    def choose_peers(self, rng: random.Random, count: int, exclude: int = 0) -> list[MemberRecord]:
        """Return up to `count` distinct random live members, without this daemon and `exclude`."""
        return [self._records[key] for key in self.live_peers.sample(rng, count, exclude)]

    def choose_dead_member(self, rng: random.Random) -> MemberRecord | None:
        """Return a random dead member, None if there is none."""
        keys = self.dead_members.sample(rng, 1)
        return self._records[keys[0]] if keys else None

    def live_records(self) -> Iterable[MemberRecord]:
        """Return the records of all live members, including this daemon."""
        return (self._records[key] for key in self._members)

    def members(self) -> Sequence[Member]:
        """Return the public views of all live members, including this daemon."""
        if self._cached_members is None:
            self._cached_members = tuple(self._members.values())
        return self._cached_members

    def upstreams(self, service: ServiceName) -> Iterable[Upstream]:
        """Return the upstreams of `service` beside live members."""
        return self._upstreams_by_service.get(service, {}).values()

    def services(self) -> Iterable[ServiceName]:
        """Return the services that have upstreams in this region."""
        return self._upstreams_by_service

    def build_updates(self, keys: Iterable[int]) -> list[MemberUpdate]:
        """Return complete updates of the known members among `keys`."""
        records = (self._records.get(key) for key in keys)
        return [build_update(record, with_metadata=True) for record in records if record]

    def _add(self, update: MemberUpdate, now: float) -> MergeOutcome:
        if update.state is MemberState.LEFT:
            return MergeOutcome.KNOWN
        record = build_record(update)
        if record is None:
            return MergeOutcome.INCOMPLETE
        if record.metadata.region != self.region:
            return MergeOutcome.KNOWN
        self._records[record.key] = record
        self.reindex(record, now)
        return MergeOutcome.CHANGED

    def _index_live(self, record: MemberRecord) -> None:
        key = record.key
        self._gone_since.pop(key, None)
        self.dead_members.discard(key)
        if record is not self.own_record:
            self.live_peers.add(key)
        self.buckets.put(key, hash_record(key, record.incarnation, record.sequence))
        member = build_member(record)
        self._remove_upstream(key)
        self._members[key] = member
        if member.upstream is not None:
            self._upstreams_by_service.setdefault(member.upstream.service, {})[
                key
            ] = member.upstream

    def _index_gone(self, record: MemberRecord, now: float) -> None:
        key = record.key
        self._remove_upstream(key)
        self._members.pop(key, None)
        self.live_peers.discard(key)
        self.buckets.remove(key)
        self._gone_since.setdefault(key, now)
        if record.state is MemberState.DEAD:
            self.dead_members.add(key)
        else:
            self.dead_members.discard(key)

    def _remove_upstream(self, key: int) -> None:
        upstream = self.get_upstream(key)
        if upstream is None:
            return
        upstreams = self._upstreams_by_service[upstream.service]
        del upstreams[key]
        if not upstreams:
            del self._upstreams_by_service[upstream.service]

    def get_upstream(self, key: int) -> Upstream | None:
        """Return the upstream beside the live member `key`, None without one."""
        member = self._members.get(key)
        return None if member is None else member.upstream

    def _remove(self, key: int) -> None:
        del self._gone_since[key]
        self.dead_members.discard(key)
        record = self._records.pop(key)
        self._forget_address(record.metadata.address, key)

    def _forget_address(self, address: Address, key: int) -> None:
        if self._key_by_address.get(address) == key:
            del self._key_by_address[address]
