"""Handling of the messages of other daemons."""

from collections.abc import Iterable

from godwitpass.ids import Address, RegionId
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.membership.delegate import report_found
from godwitpass.internal.membership.detector import Detector
from godwitpass.internal.membership.messages import (
    ANY_MEMBER,
    Ack,
    BeatUpdate,
    Digest,
    Gossip,
    Items,
    MemberUpdate,
    Message,
    Ping,
    PingRequest,
    Records,
    Scope,
    Update,
    find_key,
)
from godwitpass.internal.membership.records import Outcome
from godwitpass.internal.membership.state import State
from godwitpass.internal.membership.anti_entropy import Sync

EARLY_S = 10.0
EARLY_SYNC_INTERVAL_S = 2.0
"""A daemon that has just started repairs its records at shorter intervals."""

MAX_NEWS = 32
"""Records beyond which a repair is taken for old news, which others need not be told."""

Action = Send[Message] | RecordEvent


class Exchange:
    """Merges what arrives, answers it and begins repairs where digests differ."""

    def __init__(self, state: State, detector: Detector) -> None:
        self._state = state
        self._detector = detector
        self._sync = Sync(state)
        self._sync_at = {Scope.MEMBERS: 0.0, Scope.SUMS: 0.0}
        self._early_until: float | None = None

    def receive(self, sender: Address, message: Message, now: float) -> list[Action]:
        """Handle one message."""
        if isinstance(message, Ping):
            return self._answer_ping(sender, message, now)
        if isinstance(message, Ack):
            return self._take_ack(sender, message, now)
        if isinstance(message, Gossip):
            return self._merge(sender, message.updates, now)
        if isinstance(message, Records):
            return self._take_records(sender, message, now)
        if isinstance(message, Digest):
            return [*self._sync.answer_digest(sender, message, now)]
        if isinstance(message, Items):
            return [*self._sync.answer_items(sender, message, now)]
        if isinstance(message, PingRequest):
            return self._detector.relay(sender, message, now)
        return self._detector.note_answer(message.nonce)

    def _answer_ping(self, sender: Address, ping: Ping, now: float) -> list[Action]:
        state = self._state
        if ping.target not in (ANY_MEMBER, state.own.key):
            return []
        if ping.region is not None:
            return self._answer_region(sender, ping, ping.region, now)
        actions = self._introduce(sender, ping.target == ANY_MEMBER)
        actions += self._merge(sender, ping.updates, now)
        updates = state.tell_suspicion(state.table.find_address(sender))
        updates += state.piggyback(state.tuning.piggyback_bytes)
        roots = state.table.buckets.root, state.regions.root
        return [*actions, Send(sender, Ack(ping.nonce, *roots, tuple(updates)))]

    def _answer_region(
        self, sender: Address, ping: Ping, region: RegionId, now: float
    ) -> list[Action]:
        """Answer a delegate of another region, whose sums are compared with those held here."""
        actions = self._merge(sender, ping.updates, now)
        actions.append(Send(sender, Ack(ping.nonce, None, None, self._state.list_beats())))
        held = self._state.regions.buckets_of(region)
        if region != self._state.regions.own and held.root != ping.sum_root:
            actions += self._sync.begin(Scope.SUMS, sender, region)
        return actions

    def _take_ack(self, sender: Address, ack: Ack, now: float) -> list[Action]:
        actions = self._detector.note_answer(ack.nonce)
        actions += self._merge(sender, ack.updates, now)
        if ack.member_root is not None:
            actions += self._introduce(sender, False)
            actions += self._compare(Scope.MEMBERS, ack.member_root, sender, now)
        if ack.sum_root is not None:
            actions += self._compare(Scope.SUMS, ack.sum_root, sender, now)
        return actions

    def _introduce(self, sender: Address, wanted: bool) -> list[Action]:
        """Exchange own records with a daemon that isn't known, or that knows nobody."""
        known = self._state.table.find_address(sender) is not None
        if known and not wanted:
            return []
        updates = (self._state.build_own_update(),)
        return [Send(sender, Records(Scope.MEMBERS, updates, () if known else (ANY_MEMBER,)))]

    def _compare(self, scope: Scope, root: int, sender: Address, now: float) -> list[Action]:
        state = self._state
        held = state.table.buckets.root if scope is Scope.MEMBERS else state.regions.root
        if root == held or now < self._sync_at[scope]:
            return []
        if self._early_until is None:
            self._early_until = now + EARLY_S
        early = now < self._early_until
        interval_s = EARLY_SYNC_INTERVAL_S if early else state.tuning.sync_interval_s
        self._sync_at[scope] = now + interval_s * state.rng.uniform(0.75, 1.25)
        return [*self._sync.begin(scope, sender)]

    def _merge(self, sender: Address, updates: Iterable[Update], now: float) -> list[Action]:
        """Apply updates, and ask the sender for contents that it left out."""
        actions: list[Action] = []
        wanted: list[int] = []
        for update in updates:
            outcome, reports = self._apply(update, now)
            actions += reports
            if outcome is Outcome.INCOMPLETE and isinstance(update, MemberUpdate):
                wanted.append(update.key)
        if wanted:
            actions.append(Send(sender, Records(Scope.MEMBERS, (), tuple(wanted))))
        return actions

    def _apply(self, update: Update, now: float) -> tuple[Outcome, list[RecordEvent]]:
        if not isinstance(update, BeatUpdate):
            return self._state.merge(update, now)
        regions = self._state.regions
        known = update.region in regions.beats and regions.is_reachable(update.region)
        outcome, reports = self._state.merge(update, now)
        if outcome is Outcome.CHANGED and not known and update.region != regions.own:
            reports.append(report_found(update.region))
        return outcome, reports

    def _take_records(self, sender: Address, message: Records, now: float) -> list[Action]:
        actions: list[Action] = []
        outdated: list[int] = []
        pass_on = len(message.updates) <= MAX_NEWS
        for update in message.updates:
            outcome, reports = self._state.merge(update, now, pass_on)
            actions += reports
            if outcome is Outcome.OUTDATED and not isinstance(update, BeatUpdate):
                outdated.append(find_key(update))
        updates = self._sync.collect(message.scope, message.wanted, now)
        if message.reply:
            updates += self._sync.collect(message.scope, outdated, now)
        if updates:
            actions += self._sync.send_records(message.scope, sender, updates)
        return actions
