"""What a few daemons do for their region: publish its sums and talk to other regions."""

import heapq
from collections.abc import Sequence
from itertools import zip_longest

import msgspec

from godwitpass.ids import Address, RegionId, ServiceName, ZoneId
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.membership.events import REGION_FOUND, REGION_LOST
from godwitpass.internal.membership.messages import (
    DAEMON_SERVICE,
    BeatUpdate,
    Contact,
    Gossip,
    Message,
    SummaryUpdate,
    Update,
    hash_instance,
)
from godwitpass.internal.membership.state import State
from godwitpass.mesh import Member, UpstreamState

SETTLE_S = 10.0
"""Time after joining until a daemon may act, since it may not know all members before.

A new delegate waits as long again, in which other regions tell it the versions to exceed.
"""

DAEMON_SUM_DELAY_S = 10.0

Action = Send[Message] | RecordEvent


class Delegate:
    """Acts while this daemon has one of the lowest keys of its region.

    Which daemons those are needs no agreement: two that act at once publish equal sums, and the
    higher version wins everywhere.
    """

    def __init__(self, state: State) -> None:
        self._state = state
        self._rank: int | None = None
        self._ranked_generation = -1
        self._counted_generation = -1
        self._due: dict[ServiceName, float] = {}
        self._published_at: dict[ServiceName, float] = {}
        self._settled_at = float("inf")
        self._cross_at = 0.0
        self._publish_from = 0.0
        self._peers: list[Address] = []

    def settle(self, now: float) -> None:
        """Note that this daemon has just joined."""
        self._settled_at = now + SETTLE_S

    def advance(self, now: float) -> list[Action]:
        """Publish what has changed; called about once a second."""
        state = self._state
        actions = self._find_lost_regions(now)
        if now >= self._settled_at:
            self._update_rank(now)
        if self._rank is None:
            state.table.changed_services.clear()
            self._due.clear()
            return actions
        self._schedule(now)
        actions += self._publish(now)
        actions += self._beat(now)
        return actions + self._probe_region(now)

    def _find_lost_regions(self, now: float) -> list[Action]:
        before = now - self._state.tuning.region_lost_s
        lost = self._state.regions.find_newly_lost(before)
        return [RecordEvent(REGION_LOST, {"lost": region}) for region in lost]

    def _update_rank(self, now: float) -> None:
        table, own = self._state.table, self._state.own.key
        if self._ranked_generation == table.generation:
            return
        self._ranked_generation = table.generation
        keys = (record.key for record in table.living())
        lowest = heapq.nsmallest(self._state.tuning.delegates, keys)
        rank = lowest.index(own) if own in lowest else None
        if rank is not None and self._rank is None:
            self._mark_all()
            self._publish_from = now + SETTLE_S
        self._rank = rank
        records = (table.get(key) for key in lowest if key != own)
        self._peers = [record.content.address for record in records if record is not None]

    def _mark_all(self) -> None:
        """Compare all sums, since the delegates before may have left some undone."""
        state = self._state
        state.table.changed_services.update(state.table.services())
        state.table.changed_services.update(state.regions.services_of(state.regions.own))

    def _schedule(self, now: float) -> None:
        tuning, rank = self._state.tuning, self._rank
        assert rank is not None
        changed, self._state.table.changed_services = self._state.table.changed_services, set()
        due = now + tuning.sum_delay_s + rank * tuning.delegate_stagger_s
        for service in changed - {DAEMON_SERVICE}:
            earliest = self._published_at.get(service, 0.0) + tuning.sum_interval_s
            self._due.setdefault(service, max(due, earliest))
        if self._counted_generation != self._state.table.generation:
            self._counted_generation = self._state.table.generation
            self._due.setdefault(DAEMON_SERVICE, due + DAEMON_SUM_DELAY_S)

    def _publish(self, now: float) -> list[Action]:
        if now < self._publish_from:
            return []
        due = [service for service, at in self._due.items() if at <= now]
        updates: list[Update] = []
        for service in due[: self._state.tuning.max_sums_per_s]:
            del self._due[service]
            update = self._sum_up(service)
            if update is not None:
                self._published_at[service] = now
                self._state.merge(update, now)
                updates.append(update)
        return self._push(updates)

    def _sum_up(self, service: ServiceName) -> SummaryUpdate | None:
        """Return the sum of `service`, None when the one held is right."""
        regions = self._state.regions
        held = regions.get(regions.own, service)
        version = 0 if held is None else held.version
        build = self._sum_up_daemons if service == DAEMON_SERVICE else self._sum_up_upstreams
        update = build(service, version)
        if held is None:
            return update if update.ready else None
        if update == held:
            return None
        return msgspec.structs.replace(update, version=version + 1)

    def _sum_up_upstreams(self, service: ServiceName, version: int) -> SummaryUpdate:
        ready = [
            upstream
            for upstream in self._state.table.upstreams(service)
            if upstream.state is UpstreamState.READY
        ]
        count = self._state.tuning.contacts_per_sum
        sample = heapq.nsmallest(count, ready, key=lambda upstream: upstream.instance)
        contacts = tuple(
            Contact(upstream.instance, upstream.zone, upstream.address, upstream.slots)
            for upstream in sample
        )
        slots = sum(upstream.slots for upstream in ready)
        return SummaryUpdate(self._state.regions.own, service, version, len(ready), slots, contacts)

    def _sum_up_daemons(self, service: ServiceName, version: int) -> SummaryUpdate:
        members = self._state.table.members()
        contacts = tuple(
            Contact(member.instance, member.zone, member.address)
            for member in _choose_across_zones(members, self._state.tuning.contacts_per_region)
        )
        return SummaryUpdate(self._state.regions.own, service, version, len(members), 0, contacts)

    def _beat(self, now: float) -> list[Action]:
        """Show that the region lives, unless another delegate did so lately."""
        state, rank = self._state, self._rank
        assert rank is not None
        held = state.regions.beats.get(state.regions.own)
        interval_s = state.tuning.beat_s * (1 + rank / 2)
        if held is not None and now - held.heard_at < interval_s:
            return []
        # A restarted region must exceed the beats that others remember: its clock does.
        number = 1 + (held.beat if held is not None else state.identity.started_s)
        update = BeatUpdate(state.regions.own, number)
        state.merge(update, now)
        # The beat travels with a digest, so that a region that was apart is repaired at once.
        actions: list[Action] = []
        actions += [state.build_cross_ping(address) for address in self._choose_contacts()]
        actions += [Send(address, Gossip((update,))) for address in self._peers]
        return actions

    def _choose_contacts(self) -> list[Address]:
        """Return one contact of every other region."""
        state = self._state
        return [
            state.rng.choice(state.regions.contacts(region)).address
            for region in state.regions.others()
        ]

    def _push(self, updates: list[Update]) -> list[Action]:
        """Send `updates` to one contact of every other region and to the other delegates."""
        if not updates:
            return []
        message = Gossip(tuple(updates))
        return [Send(address, message) for address in (*self._choose_contacts(), *self._peers)]

    def _probe_region(self, now: float) -> list[Action]:
        """Compare sums with one other region."""
        state = self._state
        regions: list[RegionId] = state.regions.others()
        if now < self._cross_at or not regions:
            return []
        self._cross_at = now + state.tuning.cross_probe_s
        contact = state.rng.choice(state.regions.contacts(state.rng.choice(regions)))
        return [state.build_cross_ping(contact.address)]


def report_found(region: RegionId) -> RecordEvent:
    """Report that `region` was heard of for the first time or again."""
    return RecordEvent(REGION_FOUND, {"found": region})


def _choose_across_zones(members: Sequence[Member], count: int) -> list[Member]:
    """Return the lowest keys of every zone in turn, a choice that seldom changes."""
    by_zone: dict[ZoneId, list[Member]] = {}
    for member in members:
        by_zone.setdefault(member.zone, []).append(member)
    share = -(-count // max(1, len(by_zone)))
    firsts = [
        heapq.nsmallest(share, zone, key=lambda member: hash_instance(member.instance))
        for _, zone in sorted(by_zone.items())
    ]
    return [member for turn in zip_longest(*firsts) for member in turn if member][:count]
