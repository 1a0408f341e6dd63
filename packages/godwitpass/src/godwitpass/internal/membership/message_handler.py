"""Handles the messages that arrive from other daemons."""

from collections.abc import Iterable

from godwitpass.ids import Address, RegionId
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.membership.anti_entropy import AntiEntropy
from godwitpass.internal.membership.delegate import report_region_found
from godwitpass.internal.membership.detector import FailureDetector
from godwitpass.internal.membership.messages import (
    ANY_MEMBER,
    Ack,
    BucketItems,
    Digest,
    Gossip,
    HeartbeatUpdate,
    MemberUpdate,
    Message,
    Ping,
    PingRequest,
    Records,
    Scope,
    Update,
    compute_digest_key,
)
from godwitpass.internal.membership.records import MergeOutcome
from godwitpass.internal.membership.state import SharedState

STARTUP_S = 10.0
STARTUP_SYNC_INTERVAL_S = 2.0
"""Least time between two syncs during the first `STARTUP_S`, when most records are missing."""

MAX_REBROADCAST_RECORDS = 32
"""Records of a longer message aren't gossiped on, since other daemons most likely have them."""

Action = Send[Message] | RecordEvent


class MessageHandler:
    """Merges received updates, answers messages and starts a sync where digests differ."""

    def __init__(self, state: SharedState, detector: FailureDetector) -> None:
        self._state = state
        self._detector = detector
        self._anti_entropy = AntiEntropy(state)
        self._next_sync_at = {Scope.MEMBERS: 0.0, Scope.SUMMARIES: 0.0}
        self._startup_until: float | None = None

    def receive(self, sender: Address, message: Message, now: float) -> list[Action]:
        """Handle one message from `sender`."""
        if isinstance(message, Ping):
            return self._answer_ping(sender, message, now)
        if isinstance(message, Ack):
            return self._handle_ack(sender, message, now)
        if isinstance(message, Gossip):
            return self._merge(sender, message.updates, now)
        if isinstance(message, Records):
            return self._handle_records(sender, message, now)
        if isinstance(message, Digest):
            return [*self._anti_entropy.handle_digest(sender, message, now)]
        if isinstance(message, BucketItems):
            return [*self._anti_entropy.handle_items(sender, message, now)]
        if isinstance(message, PingRequest):
            return self._detector.relay_probe(sender, message, now)
        return self._detector.record_ack(message.nonce)

    def _answer_ping(self, sender: Address, ping: Ping, now: float) -> list[Action]:
        state = self._state
        if ping.target not in (ANY_MEMBER, state.own_record.key):
            return []
        if ping.region is not None:
            return self._answer_region_ping(sender, ping, ping.region, now)
        actions = self._exchange_own_records(sender, ping.target == ANY_MEMBER)
        actions += self._merge(sender, ping.updates, now)
        updates = state.build_suspicion_notice(state.table.find_by_address(sender))
        updates += state.take_piggyback_updates(state.tuning.max_piggyback_bytes)
        roots = state.table.buckets.root, state.regions.root
        return [*actions, Send(sender, Ack(ping.nonce, *roots, tuple(updates)))]

    def _answer_region_ping(
        self, sender: Address, ping: Ping, region: RegionId, now: float
    ) -> list[Action]:
        """Answer a delegate of another region and compare its summaries with those stored here."""
        actions = self._merge(sender, ping.updates, now)
        actions.append(Send(sender, Ack(ping.nonce, None, None, self._state.list_heartbeats())))
        stored = self._state.regions.get_buckets(region)
        if region != self._state.regions.own_region and stored.root != ping.summary_root:
            actions += self._anti_entropy.start(Scope.SUMMARIES, sender, region)
        return actions

    def _handle_ack(self, sender: Address, ack: Ack, now: float) -> list[Action]:
        actions = self._detector.record_ack(ack.nonce)
        actions += self._merge(sender, ack.updates, now)
        if ack.member_root is not None:
            actions += self._exchange_own_records(sender, False)
            actions += self._compare_roots(Scope.MEMBERS, ack.member_root, sender, now)
        if ack.summary_root is not None:
            actions += self._compare_roots(Scope.SUMMARIES, ack.summary_root, sender, now)
        return actions

    def _exchange_own_records(self, sender: Address, is_requested: bool) -> list[Action]:
        """Send the own record if requested, or if `sender` is unknown and its record needed."""
        is_known = self._state.table.find_by_address(sender) is not None
        if is_known and not is_requested:
            return []
        updates = (self._state.build_own_update(),)
        return [Send(sender, Records(Scope.MEMBERS, updates, () if is_known else (ANY_MEMBER,)))]

    def _compare_roots(self, scope: Scope, root: int, sender: Address, now: float) -> list[Action]:
        state = self._state
        stored = state.table.buckets.root if scope is Scope.MEMBERS else state.regions.root
        if root == stored or now < self._next_sync_at[scope]:
            return []
        if self._startup_until is None:
            self._startup_until = now + STARTUP_S
        is_starting = now < self._startup_until
        interval_s = STARTUP_SYNC_INTERVAL_S if is_starting else state.tuning.sync_interval_s
        self._next_sync_at[scope] = now + interval_s * state.rng.uniform(0.75, 1.25)
        return [*self._anti_entropy.start(scope, sender)]

    def _merge(self, sender: Address, updates: Iterable[Update], now: float) -> list[Action]:
        """Apply `updates` and request the metadata that `sender` left out."""
        actions: list[Action] = []
        incomplete_keys: list[int] = []
        for update in updates:
            outcome, reports = self._apply(update, now)
            actions += reports
            if outcome is MergeOutcome.INCOMPLETE and isinstance(update, MemberUpdate):
                incomplete_keys.append(update.key)
        if incomplete_keys:
            actions.append(Send(sender, Records(Scope.MEMBERS, (), tuple(incomplete_keys))))
        return actions

    def _apply(self, update: Update, now: float) -> tuple[MergeOutcome, list[RecordEvent]]:
        if not isinstance(update, HeartbeatUpdate):
            return self._state.merge(update, now)
        regions = self._state.regions
        was_reachable = update.region in regions.heartbeats and regions.is_reachable(update.region)
        outcome, reports = self._state.merge(update, now)
        if (
            outcome is MergeOutcome.CHANGED
            and not was_reachable
            and update.region != regions.own_region
        ):
            reports.append(report_region_found(update.region))
        return outcome, reports

    def _handle_records(self, sender: Address, message: Records, now: float) -> list[Action]:
        actions: list[Action] = []
        outdated_keys: list[int] = []
        should_rebroadcast = len(message.updates) <= MAX_REBROADCAST_RECORDS
        for update in message.updates:
            outcome, reports = self._state.merge(update, now, should_rebroadcast)
            actions += reports
            if outcome is MergeOutcome.OUTDATED and not isinstance(update, HeartbeatUpdate):
                outdated_keys.append(compute_digest_key(update))
        updates = self._anti_entropy.collect_records(message.scope, message.requested_keys, now)
        if message.requests_newer:
            updates += self._anti_entropy.collect_records(message.scope, outdated_keys, now)
        if updates:
            actions += self._anti_entropy.send_records(message.scope, sender, updates)
        return actions
