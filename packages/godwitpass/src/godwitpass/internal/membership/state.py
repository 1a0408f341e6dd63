"""State shared by the components of `Membership`, and how updates change it."""

import random
from collections.abc import Iterable

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.membership.broadcasts import BroadcastQueue
from godwitpass.internal.membership.events import SUSPICION_REFUTED
from godwitpass.internal.membership.inputs import Identity
from godwitpass.internal.membership.messages import (
    ANY_MEMBER,
    AnnouncedUpstream,
    HeartbeatUpdate,
    MemberMetadata,
    MemberUpdate,
    Message,
    Ping,
    SummaryUpdate,
    Update,
    hash_instance,
)
from godwitpass.internal.membership.records import MemberRecord, MergeOutcome, build_update
from godwitpass.internal.membership.regions import RegionTable
from godwitpass.internal.membership.table import MemberTable
from godwitpass.internal.membership.tuning import Tuning
from godwitpass.mesh import MemberState, UpstreamState

MIN_REFUTATION_INTERVAL_S = 0.5
"""Limits how often two daemons that share an instance id by mistake refute each other."""

NONCE_BITS = 31


class SharedState:
    """Members, region summaries, running suspicions and the updates still to be gossiped.

    `suspicion_deadlines` maps the key of each suspect to the time at which it counts as dead.
    """

    def __init__(self, identity: Identity, tuning: Tuning, rng: random.Random) -> None:
        self.identity = identity
        self.tuning = tuning
        self.rng = rng
        self.own_record = _build_own_record(identity)
        self.table = MemberTable(self.own_record, tuning.max_gone_members)
        self.regions = RegionTable(identity.region)
        self.member_broadcasts = BroadcastQueue(tuning.retransmit_factor)
        self.summary_broadcasts = BroadcastQueue(tuning.summary_retransmit_factor)
        self.heartbeat_broadcasts = BroadcastQueue(tuning.retransmit_factor)
        self.suspicion_deadlines: dict[int, float] = {}
        self.is_leaving = False
        self._refuted_at = -MIN_REFUTATION_INTERVAL_S

    def merge(
        self, update: Update, now: float, should_rebroadcast: bool = True
    ) -> tuple[MergeOutcome, list[RecordEvent]]:
        """Merge an update from another daemon, and gossip it on if it is new.

        Without `should_rebroadcast`, members and summaries aren't gossiped on.
        """
        if isinstance(update, SummaryUpdate):
            return self._merge_summary(update, should_rebroadcast), []
        if isinstance(update, HeartbeatUpdate):
            return self._merge_heartbeat(update, now), []
        if update.key == self.own_record.key:
            return MergeOutcome.KNOWN, self._refute(update, now)
        return self._merge_member(update, now, should_rebroadcast), []

    def mark_suspect(self, record: MemberRecord, now: float) -> None:
        """Suspect the member of `record` and gossip the suspicion."""
        self.table.set_state(record, MemberState.SUSPECT, now)
        self.update_suspicion_timer(record, now)
        self.broadcast(record, with_metadata=False)

    def update_suspicion_timer(self, record: MemberRecord, now: float) -> None:
        """Start the suspicion timeout of `record` if it is a suspect, else cancel it."""
        if record.state is MemberState.SUSPECT:
            self.suspicion_deadlines.setdefault(record.key, now + self.tuning.suspicion_timeout_s)
        else:
            self.suspicion_deadlines.pop(record.key, None)

    def broadcast(self, record: MemberRecord, with_metadata: bool) -> None:
        """Queue `record` to be gossiped."""
        self.member_broadcasts.add(record.key, build_update(record, with_metadata))

    def update_own_upstream(self, now: float, upstream: AnnouncedUpstream | None) -> None:
        """Change the upstream in the own record and announce it."""
        previous = self.table.get_upstream(self.own_record.key)
        self.own_record.sequence += 1
        self.own_record.metadata = msgspec.structs.replace(
            self.own_record.metadata, upstream=upstream
        )
        self.table.reindex(self.own_record, now, previous)
        self.broadcast(self.own_record, with_metadata=True)

    def leave(self, now: float) -> None:
        """Announce that this daemon leaves."""
        self.is_leaving = True
        self.table.set_state(self.own_record, MemberState.LEFT, now)
        self.broadcast(self.own_record, with_metadata=False)

    def build_own_update(self) -> MemberUpdate:
        """Return an update with the complete own record."""
        return build_update(self.own_record, with_metadata=True)

    def take_piggyback_updates(self, budget_bytes: int) -> list[Update]:
        """Take queued updates to piggyback on a message of the failure detector.

        Members come first and summaries when no member is queued. Heartbeats of regions have a
        budget of their own, a quarter of `budget_bytes`.
        """
        members = len(self.table)
        updates = self.member_broadcasts.take(budget_bytes, members)
        if not updates:
            updates = self.summary_broadcasts.take(budget_bytes, members)
        return updates + self.heartbeat_broadcasts.take(budget_bytes // 4, members)

    def build_ping(self, to: Address, target: int, nonce: int) -> Send[Message]:
        """Build a ping to the member with key `target` of the own region."""
        updates = self.take_piggyback_updates(self.tuning.max_piggyback_bytes)
        updates[:0] = self.build_suspicion_notice(self.table.get(target))
        if target == ANY_MEMBER:
            updates.insert(0, self.build_own_update())
        roots = self.table.buckets.root, self.regions.root
        return Send(to, Ping(nonce, target, *roots, tuple(updates)))

    def build_region_ping(self, to: Address) -> Send[Message]:
        """Build a ping to any daemon of another region, to compare the own region's summaries."""
        region = self.regions.own_region
        root = self.regions.get_buckets(region).root
        heartbeats = self.list_heartbeats()
        return Send(to, Ping(self.draw_nonce(), ANY_MEMBER, 0, root, heartbeats, region))

    def list_heartbeats(self) -> tuple[Update, ...]:
        """Return the latest heartbeat of every region."""
        heartbeats = self.regions.heartbeats.items()
        return tuple(HeartbeatUpdate(region, heartbeat.counter) for region, heartbeat in heartbeats)

    def build_suspicion_notice(self, record: MemberRecord | None) -> list[Update]:
        """Return the update by which a suspect or dead member learns of it, to refute it."""
        if record is None or record.state not in (MemberState.SUSPECT, MemberState.DEAD):
            return []
        return [build_update(record, with_metadata=False)]

    def draw_nonce(self) -> int:
        """Return a random number that matches an answer to its ping."""
        return self.rng.getrandbits(NONCE_BITS)

    def build_updates(self, keys: Iterable[int]) -> list[MemberUpdate]:
        """Return complete updates of the members in `keys`; `ANY_MEMBER` stands for this daemon."""
        resolved_keys = (self.own_record.key if key == ANY_MEMBER else key for key in keys)
        return self.table.build_updates(resolved_keys)

    def _merge_summary(self, update: SummaryUpdate, should_rebroadcast: bool) -> MergeOutcome:
        if self.regions.merge_summary(update):
            if update.region == self.regions.own_region:
                self.table.changed_services.add(update.service)
            elif should_rebroadcast:
                self.summary_broadcasts.add((update.region, update.service), update)
            return MergeOutcome.CHANGED
        stored = self.regions.get(update.region, update.service)
        return MergeOutcome.KNOWN if stored == update else MergeOutcome.OUTDATED

    def _merge_heartbeat(self, update: HeartbeatUpdate, now: float) -> MergeOutcome:
        if not self.regions.merge_heartbeat(update, now):
            return MergeOutcome.KNOWN
        self.heartbeat_broadcasts.add(update.region, update)
        return MergeOutcome.CHANGED

    def _merge_member(
        self, update: MemberUpdate, now: float, should_rebroadcast: bool
    ) -> MergeOutcome:
        stored = self.table.get(update.key)
        sequence = None if stored is None else stored.sequence
        outcome = self.table.merge(update, now)
        if outcome is MergeOutcome.CHANGED:
            record = self.table.get(update.key)
            assert record is not None
            self.update_suspicion_timer(record, now)
            if should_rebroadcast:
                self.broadcast(record, with_metadata=record.sequence != sequence)
        return outcome

    def _refute(self, update: MemberUpdate, now: float) -> list[RecordEvent]:
        """Raise the own numbers above those in `update` if it contradicts this daemon."""
        own = self.own_record
        # This daemon itself announces ALIVE at its incarnation. Anything above that is a suspicion,
        # or left over from before a restart, when the clock was ahead.
        is_liveness_contested = (update.incarnation, update.state.value) > (
            own.incarnation,
            own.state.value,
        )
        is_sequence_exceeded = update.sequence > own.sequence or (
            update.sequence == own.sequence
            and update.metadata is not None
            and update.metadata != own.metadata
        )
        has_refuted_recently = now - self._refuted_at < MIN_REFUTATION_INTERVAL_S
        if (
            self.is_leaving
            or has_refuted_recently
            or not (is_liveness_contested or is_sequence_exceeded)
        ):
            return []
        self._refuted_at = now
        previous = self.table.get_upstream(own.key)
        if is_liveness_contested:
            own.incarnation = update.incarnation + 1
        if is_sequence_exceeded:
            own.sequence = update.sequence + 1
        self.table.reindex(own, now, previous)
        self.broadcast(own, with_metadata=is_sequence_exceeded)
        return [RecordEvent(SUSPICION_REFUTED, {"incarnation": own.incarnation})]


def _build_own_record(identity: Identity) -> MemberRecord:
    upstream = None
    if identity.service is not None and identity.upstream is not None:
        upstream = AnnouncedUpstream(
            identity.service, identity.upstream, UpstreamState.STARTING, identity.slots
        )
    metadata = MemberMetadata(
        identity.instance,
        identity.zone,
        identity.region,
        identity.address,
        upstream,
        identity.link_class,
    )
    key = hash_instance(identity.instance)
    started_s = identity.started_s
    return MemberRecord(key, started_s, MemberState.ALIVE, started_s, metadata)
