"""The members of this daemon's own region, with the indexes that others read."""

import random
from collections.abc import Iterable, Sequence

from godwitpass.ids import Address, RegionId, ServiceName
from godwitpass.internal.membership.digest import Buckets, hash_numbers
from godwitpass.internal.membership.messages import MemberUpdate
from godwitpass.internal.membership.records import (
    Outcome,
    Record,
    build_member,
    build_record,
    build_update,
    merge_update,
)
from godwitpass.internal.membership.key_set import KeySet
from godwitpass.mesh import Member, MemberState, Upstream


class Table:
    """Holds a record for every member heard of lately, the own one included.

    `others` are the keys of living members but oneself; `lost` of those that count as dead.
    `generation` grows with each change of what others read.
    """

    def __init__(self, own: Record, max_gone: int) -> None:
        self.own = own
        self.region: RegionId = own.content.region
        self.others = KeySet()
        self.lost = KeySet()
        self.buckets = Buckets()
        self.generation = 0
        self.changed_services: set[ServiceName] = set()
        self._max_gone = max_gone
        self._records: dict[int, Record] = {}
        self._gone_since: dict[int, float] = {}
        self._key_at: dict[Address, int] = {}
        self._members: dict[int, Member] = {}
        self._by_service: dict[ServiceName, dict[int, Upstream]] = {}
        self._cached_members: tuple[Member, ...] | None = None
        self._records[own.key] = own
        self.reindex(own, 0.0)

    def __len__(self) -> int:
        return len(self._members)

    def get(self, key: int) -> Record | None:
        """Return the record of `key`."""
        return self._records.get(key)

    def find_address(self, address: Address) -> Record | None:
        """Return the record of the latest member heard of at `address`."""
        key = self._key_at.get(address)
        return None if key is None else self._records[key]

    def merge(self, update: MemberUpdate, now: float) -> Outcome:
        """Apply an update about another member."""
        assert update.key != self.own.key, "the own record is changed by its owner only"
        record = self._records.get(update.key)
        if record is None:
            return self._add(update, now)
        previous = self.upstream_of(update.key)
        address = record.content.address
        outcome = merge_update(record, update)
        if outcome is Outcome.CHANGED:
            self._forget_address(address, record.key)
            self.reindex(record, now, previous)
        return outcome

    def set_state(self, record: Record, state: MemberState, now: float) -> None:
        """Change the state of `record` by a decision of this daemon."""
        previous = self.upstream_of(record.key)
        record.state = state
        self.reindex(record, now, previous)

    def reindex(self, record: Record, now: float, previous: Upstream | None = None) -> None:
        """Bring all indexes up to date with a changed `record`."""
        self.generation += 1
        self._cached_members = None
        self._settle_address(record, now)
        if record.is_gone:
            self._index_gone(record, now)
        else:
            self._index_living(record)
        current = self.upstream_of(record.key)
        if current == previous:
            return
        for upstream in (previous, current):
            if upstream is not None:
                self.changed_services.add(upstream.service)

    def _settle_address(self, record: Record, now: float) -> None:
        """Let one member have an address; one that was there before counts as dead."""
        address = record.content.address
        held = self._key_at.get(address)
        rival = None if held is None else self._records[held]
        if rival is None or rival is record or rival.is_gone:
            self._key_at[address] = record.key
        elif not record.is_gone:
            if rival is self.own or rival.incarnation > record.incarnation:
                record.state = MemberState.DEAD
            else:
                self._key_at[address] = record.key
                self.set_state(rival, MemberState.DEAD, now)

    def forget(self, before: float) -> None:
        """Drop the records of members that are gone since before a time, and those in excess."""
        excess = len(self._gone_since) - self._max_gone
        while self._gone_since:
            key, since = next(iter(self._gone_since.items()))
            if since >= before and excess <= 0:
                return
            excess -= 1
            self._drop(key)

    def find_gone_since(self, time: float) -> list[Record]:
        """Return the records of members that count as dead since `time` or later."""
        return [
            self._records[key]
            for key, since in self._gone_since.items()
            if since >= time and key in self.lost
        ]

    def choose(self, rng: random.Random, count: int, without: int = 0) -> list[Record]:
        """Return up to `count` different living members other than oneself and `without`."""
        return [self._records[key] for key in self.others.choose(rng, count, without)]

    def choose_lost(self, rng: random.Random) -> Record | None:
        """Return one of the members that count as dead."""
        keys = self.lost.choose(rng, 1)
        return self._records[keys[0]] if keys else None

    def living(self) -> Iterable[Record]:
        """Return the records of all living members, oneself included."""
        return (self._records[key] for key in self._members)

    def members(self) -> Sequence[Member]:
        """Return the public views of all living members, oneself included."""
        if self._cached_members is None:
            self._cached_members = tuple(self._members.values())
        return self._cached_members

    def upstreams(self, service: ServiceName) -> Iterable[Upstream]:
        """Return the upstreams of `service` beside living members."""
        return self._by_service.get(service, {}).values()

    def services(self) -> Iterable[ServiceName]:
        """Return the services that have upstreams in this region."""
        return self._by_service

    def build_updates(self, keys: Iterable[int]) -> list[MemberUpdate]:
        """Return full updates of the known members among `keys`."""
        records = (self._records.get(key) for key in keys)
        return [build_update(record, with_content=True) for record in records if record]

    def _add(self, update: MemberUpdate, now: float) -> Outcome:
        if update.state is MemberState.LEFT:
            return Outcome.KNOWN
        record = build_record(update)
        if record is None:
            return Outcome.INCOMPLETE
        if record.content.region != self.region:
            return Outcome.KNOWN
        self._records[record.key] = record
        self.reindex(record, now)
        return Outcome.CHANGED

    def _index_living(self, record: Record) -> None:
        key = record.key
        self._gone_since.pop(key, None)
        self.lost.discard(key)
        if record is not self.own:
            self.others.add(key)
        self.buckets.put(key, hash_numbers(key, record.incarnation, record.sequence))
        member = build_member(record)
        self._remove_upstream(key)
        self._members[key] = member
        if member.upstream is not None:
            self._by_service.setdefault(member.upstream.service, {})[key] = member.upstream

    def _index_gone(self, record: Record, now: float) -> None:
        key = record.key
        self._remove_upstream(key)
        self._members.pop(key, None)
        self.others.discard(key)
        self.buckets.remove(key)
        self._gone_since.setdefault(key, now)
        if record.state is MemberState.DEAD:
            self.lost.add(key)
        else:
            self.lost.discard(key)

    def _remove_upstream(self, key: int) -> None:
        upstream = self.upstream_of(key)
        if upstream is None:
            return
        upstreams = self._by_service[upstream.service]
        del upstreams[key]
        if not upstreams:
            del self._by_service[upstream.service]

    def upstream_of(self, key: int) -> Upstream | None:
        """Return the upstream beside the living member `key`."""
        member = self._members.get(key)
        return None if member is None else member.upstream

    def _drop(self, key: int) -> None:
        del self._gone_since[key]
        self.lost.discard(key)
        record = self._records.pop(key)
        self._forget_address(record.content.address, key)

    def _forget_address(self, address: Address, key: int) -> None:
        if self._key_at.get(address) == key:
            del self._key_at[address]
