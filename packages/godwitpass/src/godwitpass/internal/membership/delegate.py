"""The delegates of a region publish its summaries and communicate with other regions."""

import heapq
from collections.abc import Sequence
from itertools import zip_longest

import msgspec

from godwitpass.ids import Address, RegionId, ServiceName, ZoneId
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.membership.events import REGION_FOUND, REGION_LOST
from godwitpass.internal.membership.messages import (
    DAEMON_SERVICE,
    Contact,
    Gossip,
    HeartbeatUpdate,
    Message,
    SummaryUpdate,
    Update,
    hash_instance,
)
from godwitpass.internal.membership.state import SharedState
from godwitpass.mesh import Member, UpstreamState

SETTLE_DELAY_S = 10.0
"""Time after joining until a daemon may be a delegate; before, it may not know all members.

A new delegate waits as long again before it publishes. Meanwhile other regions send it their
stored summaries, whose versions it must exceed.
"""

DAEMON_SUMMARY_DELAY_S = 10.0
"""Additional delay of the summary of daemons, which then covers all changes made meanwhile."""

Action = Send[Message] | RecordEvent


class Delegate:
    """Acts as a delegate while this daemon has one of the lowest keys of its region.

    The daemons need no agreement on who is a delegate: several that publish at the same time send
    equal summaries, and the highest version wins everywhere. `_rank` is this daemon's position
    among the delegates, None if it is not one; a higher rank waits longer before it publishes.
    """

    def __init__(self, state: SharedState) -> None:
        self._state = state
        self._rank: int | None = None
        self._ranked_generation = -1
        self._counted_generation = -1
        self._due_at: dict[ServiceName, float] = {}
        self._published_at: dict[ServiceName, float] = {}
        self._settled_at = float("inf")
        self._next_region_probe_at = 0.0
        self._publish_from = 0.0
        self._other_delegates: list[Address] = []

    def record_join(self, now: float) -> None:
        """Record that this daemon joined at `now`."""
        self._settled_at = now + SETTLE_DELAY_S

    def tick(self, now: float) -> list[Action]:
        """Publish changed summaries and send a heartbeat when due; called about once a second."""
        state = self._state
        actions = self._report_lost_regions(now)
        if now >= self._settled_at:
            self._update_rank(now)
        if self._rank is None:
            state.table.changed_services.clear()
            self._due_at.clear()
            return actions
        self._schedule_summaries(now)
        actions += self._publish_summaries(now)
        actions += self._send_heartbeat(now)
        return actions + self._compare_with_remote_region(now)

    def _report_lost_regions(self, now: float) -> list[Action]:
        heard_before = now - self._state.tuning.region_timeout_s
        lost = self._state.regions.mark_lost_regions(heard_before)
        return [RecordEvent(REGION_LOST, {"lost": region}) for region in lost]

    def _update_rank(self, now: float) -> None:
        table, own_key = self._state.table, self._state.own_record.key
        if self._ranked_generation == table.generation:
            return
        self._ranked_generation = table.generation
        keys = (record.key for record in table.live_records())
        lowest = heapq.nsmallest(self._state.tuning.delegate_count, keys)
        rank = lowest.index(own_key) if own_key in lowest else None
        if rank is not None and self._rank is None:
            self._mark_all_services_changed()
            self._publish_from = now + SETTLE_DELAY_S
        self._rank = rank
        records = (table.get(key) for key in lowest if key != own_key)
        self._other_delegates = [
            record.metadata.address for record in records if record is not None
        ]

    def _mark_all_services_changed(self) -> None:
        """Schedule all summaries, since a previous delegate may have left some unpublished."""
        state = self._state
        state.table.changed_services.update(state.table.services())
        state.table.changed_services.update(state.regions.list_services(state.regions.own_region))

    def _schedule_summaries(self, now: float) -> None:
        tuning, rank = self._state.tuning, self._rank
        assert rank is not None
        changed, self._state.table.changed_services = self._state.table.changed_services, set()
        due_at = now + tuning.summary_delay_s + rank * tuning.delegate_stagger_s
        for service in changed - {DAEMON_SERVICE}:
            earliest_at = self._published_at.get(service, 0.0) + tuning.summary_interval_s
            self._due_at.setdefault(service, max(due_at, earliest_at))
        if self._counted_generation != self._state.table.generation:
            self._counted_generation = self._state.table.generation
            self._due_at.setdefault(DAEMON_SERVICE, due_at + DAEMON_SUMMARY_DELAY_S)

    def _publish_summaries(self, now: float) -> list[Action]:
        if now < self._publish_from:
            return []
        due_services = [service for service, at in self._due_at.items() if at <= now]
        updates: list[Update] = []
        for service in due_services[: self._state.tuning.max_summaries_per_s]:
            del self._due_at[service]
            update = self._summarize(service)
            if update is not None:
                self._published_at[service] = now
                self._state.merge(update, now)
                updates.append(update)
        return self._push(updates)

    def _summarize(self, service: ServiceName) -> SummaryUpdate | None:
        """Return a new summary of `service`, None if the stored one is up to date."""
        regions = self._state.regions
        current = regions.get(regions.own_region, service)
        version = 0 if current is None else current.version
        build = self._summarize_daemons if service == DAEMON_SERVICE else self._summarize_upstreams
        update = build(service, version)
        if current is None:
            return update if update.ready_count else None
        if update == current:
            return None
        return msgspec.structs.replace(update, version=version + 1)

    def _summarize_upstreams(self, service: ServiceName, version: int) -> SummaryUpdate:
        ready = [
            upstream
            for upstream in self._state.table.upstreams(service)
            if upstream.state is UpstreamState.READY
        ]
        count = self._state.tuning.contacts_per_summary
        chosen = heapq.nsmallest(count, ready, key=lambda upstream: upstream.instance)
        contacts = tuple(
            Contact(upstream.instance, upstream.zone, upstream.address, upstream.slots)
            for upstream in chosen
        )
        slots = sum(upstream.slots for upstream in ready)
        return SummaryUpdate(
            self._state.regions.own_region, service, version, len(ready), slots, contacts
        )

    def _summarize_daemons(self, service: ServiceName, version: int) -> SummaryUpdate:
        members = self._state.table.members()
        contacts = tuple(
            Contact(member.instance, member.zone, member.address)
            for member in _choose_across_zones(members, self._state.tuning.contacts_per_region)
        )
        return SummaryUpdate(
            self._state.regions.own_region, service, version, len(members), 0, contacts
        )

    def _send_heartbeat(self, now: float) -> list[Action]:
        """Send a heartbeat of the region, unless another delegate has recently done so."""
        state, rank = self._state, self._rank
        assert rank is not None
        current = state.regions.heartbeats.get(state.regions.own_region)
        # A higher rank waits longer, so that normally only one delegate sends heartbeats.
        interval_s = state.tuning.heartbeat_interval_s * (1 + rank / 2)
        if current is not None and now - current.received_at < interval_s:
            return []
        # After a restart of the whole region its heartbeats must exceed those that other regions
        # remember; the wall clock at the start does.
        counter = 1 + (current.counter if current is not None else state.identity.started_s)
        update = HeartbeatUpdate(state.regions.own_region, counter)
        state.merge(update, now)
        # The ping carries the heartbeat together with a digest root, so that a region that was
        # unreachable syncs at once.
        actions: list[Action] = []
        actions += [state.build_region_ping(address) for address in self._choose_contacts()]
        actions += [Send(address, Gossip((update,))) for address in self._other_delegates]
        return actions

    def _choose_contacts(self) -> list[Address]:
        """Return a random contact of every remote region."""
        state = self._state
        return [
            state.rng.choice(state.regions.contacts(region)).address
            for region in state.regions.find_remote_regions()
        ]

    def _push(self, updates: list[Update]) -> list[Action]:
        """Send `updates` to one contact of every remote region and to the other delegates."""
        if not updates:
            return []
        message = Gossip(tuple(updates))
        return [
            Send(address, message) for address in (*self._choose_contacts(), *self._other_delegates)
        ]

    def _compare_with_remote_region(self, now: float) -> list[Action]:
        """Compare the own region's summaries with a random remote region, when due."""
        state = self._state
        regions: list[RegionId] = state.regions.find_remote_regions()
        if now < self._next_region_probe_at or not regions:
            return []
        self._next_region_probe_at = now + state.tuning.region_probe_interval_s
        contact = state.rng.choice(state.regions.contacts(state.rng.choice(regions)))
        return [state.build_region_ping(contact.address)]


def report_region_found(region: RegionId) -> RecordEvent:
    """Build the report that `region` became reachable, for the first time or again."""
    return RecordEvent(REGION_FOUND, {"found": region})


def _choose_across_zones(members: Sequence[Member], count: int) -> list[Member]:
    """Return up to `count` members, taken from the availability zones in turn.

    Each zone contributes its members with the lowest keys, a choice that seldom changes.
    """
    by_zone: dict[ZoneId, list[Member]] = {}
    for member in members:
        by_zone.setdefault(member.zone, []).append(member)
    per_zone = -(-count // max(1, len(by_zone)))
    lowest_by_zone = [
        heapq.nsmallest(per_zone, zone_members, key=lambda member: hash_instance(member.instance))
        for _, zone_members in sorted(by_zone.items())
    ]
    return [member for turn in zip_longest(*lowest_by_zone) for member in turn if member][:count]
