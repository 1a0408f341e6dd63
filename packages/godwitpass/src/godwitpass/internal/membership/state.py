"""What one daemon knows, and how updates change it."""

import random
from collections.abc import Iterable

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.membership.broadcasts import Broadcasts
from godwitpass.internal.membership.events import SUSPICION_REFUTED
from godwitpass.internal.membership.inputs import Identity
from godwitpass.internal.membership.messages import (
    ANY_MEMBER,
    AnnouncedUpstream,
    BeatUpdate,
    MemberMetadata,
    MemberUpdate,
    Message,
    Ping,
    SummaryUpdate,
    Update,
    hash_instance,
)
from godwitpass.internal.membership.records import Outcome, Record, build_update
from godwitpass.internal.membership.regions import Regions
from godwitpass.internal.membership.table import Table
from godwitpass.internal.membership.tuning import Tuning
from godwitpass.mesh import MemberState, UpstreamState

MIN_REFUTATION_INTERVAL_S = 0.5
"""Bounds what two daemons that were given the same instance id do to each other."""

NONCE_BITS = 31


class State:
    """Members, sums and what is still to be passed on; shared by the parts of `Membership`."""

    def __init__(self, identity: Identity, tuning: Tuning, rng: random.Random) -> None:
        self.identity = identity
        self.tuning = tuning
        self.rng = rng
        self.own = _build_own_record(identity)
        self.table = Table(self.own, tuning.max_gone)
        self.regions = Regions(identity.region)
        self.member_broadcasts = Broadcasts(tuning.retransmit_factor)
        self.sums_to_send = Broadcasts(tuning.sum_retransmit_factor)
        self.beats_to_send = Broadcasts(tuning.retransmit_factor)
        self.suspects: dict[int, float] = {}
        self.leaving = False
        self._refuted_at = -MIN_REFUTATION_INTERVAL_S

    def merge(
        self, update: Update, now: float, pass_on: bool = True
    ) -> tuple[Outcome, list[RecordEvent]]:
        """Apply an update received from another daemon and pass it on if it was new."""
        if isinstance(update, SummaryUpdate):
            return self._merge_sum(update, pass_on), []
        if isinstance(update, BeatUpdate):
            return self._merge_beat(update, now), []
        if update.key == self.own.key:
            return Outcome.KNOWN, self._correct_own(update, now)
        return self._merge_member(update, now, pass_on), []

    def suspect(self, record: Record, now: float) -> None:
        """Begin to suspect `record` and tell others."""
        self.table.set_state(record, MemberState.SUSPECT, now)
        self.track(record, now)
        self.spread(record, with_content=False)

    def track(self, record: Record, now: float) -> None:
        """Start or end the time that `record` has to refute a suspicion."""
        if record.state is MemberState.SUSPECT:
            self.suspects.setdefault(record.key, now + self.tuning.suspicion_s)
        else:
            self.suspects.pop(record.key, None)

    def spread(self, record: Record, with_content: bool) -> None:
        """Pass on what is held of `record`."""
        self.member_broadcasts.add(record.key, build_update(record, with_content))

    def change_own(self, now: float, upstream: AnnouncedUpstream | None) -> None:
        """Announce a new content of the own record."""
        previous = self.table.upstream_of(self.own.key)
        self.own.sequence += 1
        self.own.content = msgspec.structs.replace(self.own.content, upstream=upstream)
        self.table.reindex(self.own, now, previous)
        self.spread(self.own, with_content=True)

    def leave(self, now: float) -> None:
        """Announce that this daemon stops."""
        self.leaving = True
        self.table.set_state(self.own, MemberState.LEFT, now)
        self.spread(self.own, with_content=False)

    def build_own_update(self) -> MemberUpdate:
        """Return the whole own record."""
        return build_update(self.own, with_content=True)

    def piggyback(self, budget_bytes: int) -> list[Update]:
        """Take updates to send along with a message of the failure detector."""
        members = len(self.table)
        updates = self.member_broadcasts.take(budget_bytes, members)
        if not updates:
            updates = self.sums_to_send.take(budget_bytes, members)
        return updates + self.beats_to_send.take(budget_bytes // 4, members)

    def build_ping(self, to: Address, target: int, nonce: int) -> Send[Message]:
        """Build a ping to a member of the own region."""
        updates = self.piggyback(self.tuning.piggyback_bytes)
        updates[:0] = self.tell_suspicion(self.table.get(target))
        if target == ANY_MEMBER:
            updates.insert(0, self.build_own_update())
        roots = self.table.buckets.root, self.regions.root
        return Send(to, Ping(nonce, target, *roots, tuple(updates)))

    def build_cross_ping(self, to: Address) -> Send[Message]:
        """Build a ping to a member of another region."""
        region = self.regions.own
        root = self.regions.buckets_of(region).root
        beats = self.list_beats()
        return Send(to, Ping(self.draw_nonce(), ANY_MEMBER, 0, root, beats, region))

    def list_beats(self) -> tuple[Update, ...]:
        """Return the latest beat of every region."""
        beats = self.regions.beats.items()
        return tuple(BeatUpdate(region, beat.beat) for region, beat in beats)

    def tell_suspicion(self, record: Record | None) -> list[Update]:
        """Return what a member that is believed dead or suspect must hear, to refute it."""
        if record is None or record.state not in (MemberState.SUSPECT, MemberState.DEAD):
            return []
        return [build_update(record, with_content=False)]

    def draw_nonce(self) -> int:
        """Return a number to recognise an answer by."""
        return self.rng.getrandbits(NONCE_BITS)

    def build_updates(self, keys: Iterable[int]) -> list[MemberUpdate]:
        """Return whole records of members; `ANY_MEMBER` stands for the own one."""
        wanted = (self.own.key if key == ANY_MEMBER else key for key in keys)
        return self.table.build_updates(wanted)

    def _merge_sum(self, update: SummaryUpdate, pass_on: bool) -> Outcome:
        if self.regions.merge_summary(update):
            if update.region == self.regions.own:
                self.table.changed_services.add(update.service)
            elif pass_on:
                self.sums_to_send.add((update.region, update.service), update)
            return Outcome.CHANGED
        held = self.regions.get(update.region, update.service)
        return Outcome.KNOWN if held == update else Outcome.OUTDATED

    def _merge_beat(self, update: BeatUpdate, now: float) -> Outcome:
        if not self.regions.merge_beat(update, now):
            return Outcome.KNOWN
        self.beats_to_send.add(update.region, update)
        return Outcome.CHANGED

    def _merge_member(self, update: MemberUpdate, now: float, pass_on: bool) -> Outcome:
        held = self.table.get(update.key)
        sequence = None if held is None else held.sequence
        outcome = self.table.merge(update, now)
        if outcome is Outcome.CHANGED:
            record = self.table.get(update.key)
            assert record is not None
            self.track(record, now)
            if pass_on:
                self.spread(record, with_content=record.sequence != sequence)
        return outcome

    def _correct_own(self, update: MemberUpdate, now: float) -> list[RecordEvent]:
        """Raise the own numbers above an update that others hold of this daemon."""
        own = self.own
        # Living at the own incarnation is what this daemon says itself; anything else at it or
        # above stems from a suspicion, or from an earlier life with a clock that was ahead.
        denied = (update.incarnation, update.state.value) > (own.incarnation, own.state.value)
        surpassed = update.sequence > own.sequence or (
            update.sequence == own.sequence
            and update.content is not None
            and update.content != own.content
        )
        recent = now - self._refuted_at < MIN_REFUTATION_INTERVAL_S
        if self.leaving or recent or not (denied or surpassed):
            return []
        self._refuted_at = now
        previous = self.table.upstream_of(own.key)
        if denied:
            own.incarnation = update.incarnation + 1
        if surpassed:
            own.sequence = update.sequence + 1
        self.table.reindex(own, now, previous)
        self.spread(own, with_content=surpassed)
        return [RecordEvent(SUSPICION_REFUTED, {"incarnation": own.incarnation})]


def _build_own_record(identity: Identity) -> Record:
    upstream = None
    if identity.service is not None and identity.upstream is not None:
        upstream = AnnouncedUpstream(
            identity.service, identity.upstream, UpstreamState.STARTING, identity.slots
        )
    content = MemberMetadata(
        identity.instance,
        identity.zone,
        identity.region,
        identity.address,
        upstream,
        identity.link_class,
    )
    key = hash_instance(identity.instance)
    started_s = identity.started_s
    return Record(key, started_s, MemberState.ALIVE, started_s, content)
