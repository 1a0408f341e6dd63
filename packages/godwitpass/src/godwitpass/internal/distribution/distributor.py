"""Decision logic of the distribution of versions in one daemon."""

import math
import random

from godwitpass.document import Favour
from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import NO_VERSION, Address, Version
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.distribution import events
from godwitpass.internal.distribution.delta import DocumentCodec, InvalidContent
from godwitpass.internal.distribution.fetcher import Fetcher
from godwitpass.internal.distribution.holdings import ConvergenceStatus
from godwitpass.internal.distribution.interface import (
    Action,
    Activate,
    ConvergenceRequested,
    Event,
    HolderReported,
    ReadRequested,
    ViewChanged,
)
from godwitpass.internal.distribution.messages import (
    Announce,
    Busy,
    Fetch,
    Handover,
    HoldingsRequest,
    HoldingsResponse,
    Message,
    SubtreeHoldings,
    Update,
    ZoneHoldings,
)
from godwitpass.internal.distribution.pusher import Pusher
from godwitpass.internal.distribution.rate_limiter import SnapshotRateLimiter
from godwitpass.internal.distribution.reader import (
    DocumentSource,
    ReaderAction,
    ReadingFailed,
    RejectedDocument,
    StoredVersion,
    StoreReader,
    VersionFound,
)
from godwitpass.internal.distribution.reporting import HoldingsReporter
from godwitpass.internal.distribution.snapshot_cache import (
    NO_BASE,
    SnapshotCache,
    find_dangling_references,
)
from godwitpass.internal.distribution.tuning import (
    HANDOVER_S,
    MAX_OWN_READ_DELAY_S,
    MAX_READER_DELAY_S,
    OWN_READ_DELAY_S,
    OWN_READS_PER_S,
    REMOTE_ANNOUNCE_FRACTION,
    Tuning,
    choose_tuning,
)
from godwitpass.internal.distribution.view import ReaderRanking, View, find_parent_position
from godwitpass.internal.requests import EntriesRead, EntryRead, RequestFailed
from godwitpass.snapshot import Snapshot


class Distributor:
    """Obtains versions from the store and from peers, and pushes them to other daemons.

    It accepts only later versions, each complete and verified by its hash.
    """

    def __init__(
        self,
        own_address: Address,
        generator: random.Random,
        codec: DocumentCodec | None = None,
        tuning: Tuning | None = None,
        source: DocumentSource | None = None,
    ) -> None:
        self._own_address = own_address
        self._random = generator
        self._fixed_tuning = tuning
        self._tuning = tuning or choose_tuning(Favour.CONVERGENCE)
        codec = codec or DocumentCodec()
        self._cache = SnapshotCache(codec)
        self._reader = StoreReader(self._cache, codec, generator, source)
        self._pusher = Pusher(own_address, self._cache)
        self._fetcher = Fetcher(own_address, self._cache, generator)
        self._rate_limiter = SnapshotRateLimiter()
        self._reporter = HoldingsReporter(own_address, self._cache, self._pusher, generator)
        self._view: View | None = None
        self._next_announce_at = math.inf
        self._reader_start_at = math.inf
        self._timer_at = math.inf
        self._store_reported_at = -math.inf
        self._reader_ranking: ReaderRanking | None = None
        self._substitute_until = math.inf
        self._unrecorded_for: Address | None = None
        self._own_read_at = math.inf
        self._own_reads = 0
        self._reads_for_itself = False

    @property
    def current(self) -> Snapshot | None:
        """Return the active version, if there is one."""
        return self._cache.current

    def compute_convergence(self) -> ConvergenceStatus:
        """Return the known convergence of the newest version over all availability zones."""
        return self._reporter.zones.summarize()

    def list_zone_holdings(self) -> tuple[ZoneHoldings, ...]:
        """Return the known holdings of each availability zone."""
        return self._reporter.zones.list_zones()

    def compute_store_age(self, now: float) -> float:
        """Return the seconds since an answer of the store to any reader that is known here.

        It is infinite if none is known.
        """
        return now - max(self._reader.heard_at, self._store_reported_at)

    def compute_version_lag(self, now: float) -> float:
        """Return the seconds for which others are known to hold a later version; 0 if none does."""
        return self._fetcher.compute_lag(now)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return the actions that `event` causes."""
        actions = self._dispatch(event, now)
        actions += self._reporter.run_due(now, self._tuning)
        self._schedule_own_read(now)
        return actions + self._set_timer(now)

    def _dispatch(self, event: Event, now: float) -> list[Action]:
        if isinstance(event, MessageReceived):
            return self._handle_message(event.sender, event.message, now)
        if isinstance(event, TimerFired):
            return self._run_due(now)
        if isinstance(event, ViewChanged):
            return self._change_view(event.view, now)
        if isinstance(event, ConvergenceRequested):
            return self._request_holdings()
        if isinstance(event, HolderReported):
            return [*self._fetcher.record_holder(event.address, event.version, now)]
        if isinstance(event, ReadRequested):
            return self._perform_reader_actions(self._reader.read_now(now), now)
        if isinstance(event, EntryRead | EntriesRead | RequestFailed):
            reader_actions = self._reader.handle(event, now)
            started = self._record_started_substitution()
            return [*started, *self._perform_reader_actions(reader_actions, now)]
        return []

    def _run_due(self, now: float) -> list[Action]:
        if now < self._timer_at:
            return []
        self._timer_at = math.inf
        actions: list[Action] = [*self._pusher.run_due(now, self._tuning)]
        actions += self._fetcher.run_due(self._view, now)
        if now >= self._reader.deadline:
            actions += self._perform_reader_actions(self._reader.run_due(now), now)
            actions += (
                [] if self._reader.is_store_reachable else self._announce_to_random_peer(True, now)
            )
        if now >= self._reader_start_at:
            self._reader_start_at = math.inf
            actions += self._perform_reader_actions(self._reader.start(now), now)
        if now >= self._own_read_at:
            actions += self._start_own_read(now)
        if now >= self._substitute_until:
            actions += self._end_substitution()
        if now >= self._next_announce_at:
            self._next_announce_at = now + self._draw_announce_interval()
            self._reporter.zones.remove_expired(now)
            actions += self._pusher.probe_incomplete_children()
            actions += self._announce_to_random_peer(
                self._random.random() < REMOTE_ANNOUNCE_FRACTION, now
            )
        return actions

    def _set_timer(self, now: float) -> list[Action]:
        due_at = min(
            self._pusher.deadline,
            self._fetcher.deadline,
            self._reader.deadline,
            self._next_announce_at,
            self._reader_start_at,
            self._reporter.deadline,
            self._substitute_until,
            self._own_read_at,
        )
        if due_at >= self._timer_at:
            return []
        self._timer_at = max(due_at, now)
        return [SetTimer(self._timer_at)]

    def _change_view(self, view: View, now: float) -> list[Action]:
        if view == self._view:
            return []
        is_first, self._view = self._view is None, view
        actions: list[Action] = [*self._pusher.change_view(view)]
        self._reporter.change_view(view, self._find_parent())
        self._update_reader_role(view, now)
        if is_first:
            self._next_announce_at = now + self._draw_announce_interval() * self._random.random()
        if self.current is None and not self._fetcher.is_bootstrapping and len(view.positions) > 1:
            actions += self._fetcher.start_bootstrap(view, now)
        return actions

    @property
    def rejected_document(self) -> RejectedDocument | None:
        """Return the newest document in the store if this daemon read it and can't use it."""
        return self._reader.rejected_document

    @property
    def stored_version(self) -> StoredVersion | None:
        """Return the version that this daemon, as a reader, has read last from the store."""
        return self._reader.stored_version

    def _update_reader_role(self, view: View, now: float) -> None:
        """Start reading the store after a random delay, unless this daemon is no reader by then."""
        self._reader_ranking = view.rank_readers()
        self._reader.phase = self._reader_ranking.compute_phase(self._own_address)
        if not view.is_reader(self._own_address):
            self._reader_start_at = math.inf
            if self._substitute_until == math.inf:
                self._reader.stop()
            return
        self._substitute_until = math.inf
        self._unrecorded_for = None
        self._reads_for_itself = False
        if not self._reader.is_running and self._reader_start_at == math.inf:
            self._reader_start_at = now + self._random.random() * MAX_READER_DELAY_S

    def _draw_announce_interval(self) -> float:
        return self._tuning.announce_interval_s * self._random.uniform(0.75, 1.25)

    def _find_parent(self) -> Address | None:
        position = self._view.find_position(self._own_address) if self._view else None
        parent = find_parent_position(position) if position else None
        return self._view.ranked_members[parent] if self._view and parent is not None else None

    def _build_announce(self, now: float) -> Announce:
        age_s = self.compute_store_age(now)
        age_ms = int(age_s * 1000) if age_s < math.inf else None
        return Announce(self._cache.version, self._cache.digest, store_age_ms=age_ms)

    def _announce_to_random_peer(self, to_other_zone: bool, now: float) -> list[Action]:
        if self._view is None or self.current is None:
            return []
        zones = [addresses for addresses in self._view.remote_members.values() if addresses]
        peers = self._random.choice(zones) if to_other_zone and zones else self._view.ranked_members
        peer = self._random.choice(peers) if peers else self._own_address
        if peer == self._own_address:
            return []
        return [Send(peer, self._build_announce(now))]

    def _perform_reader_actions(
        self, reader_actions: list[ReaderAction], now: float
    ) -> list[Action]:
        actions: list[Action] = []
        for action in reader_actions:
            if isinstance(action, VersionFound):
                actions += self._activate(action.snapshot, None, now)
                if self._reads_for_itself:
                    return [*actions, *self._end_substitution()]
            elif isinstance(action, ReadingFailed):
                if self._substitute_until < math.inf:
                    return [*actions, *self._end_substitution()]
                actions += self._hand_over(action.attempt)
            else:
                actions.append(action)
        return actions

    def _hand_over(self, attempt: int) -> list[Action]:
        """Let another daemon read in place of this one, if this is a reader."""
        ranking = self._reader_ranking
        substitute = ranking.choose_substitute(self._own_address, attempt) if ranking else None
        return [Send(substitute, Handover())] if substitute is not None else []

    def _start_substitution(self, sender: Address, now: float) -> list[Action]:
        ranking = self._reader_ranking
        if ranking is None or self._own_address not in ranking.substitutes:
            return []
        self._substitute_until = now + HANDOVER_S
        self._reads_for_itself = False
        if self._reader.is_running:
            return []
        self._unrecorded_for = sender
        return [
            *self._record_started_substitution(),
            *self._perform_reader_actions(self._reader.start(now), now),
        ]

    def _schedule_own_read(self, now: float) -> None:
        """Read the store here if a later version is known for long and no daemon delivers it.

        The delay is spread so that the reads of a whole availability zone stay below a rate.
        """
        awaited_since = self._fetcher.awaited_since
        if awaited_since is None or self.current is None or self._view is None:
            self._own_read_at, self._own_reads = math.inf, 0
        elif self._own_read_at == math.inf and not self._reader.is_running:
            spread_s = len(self._view.ranked_members) / OWN_READS_PER_S
            wait_s = OWN_READ_DELAY_S * 2**self._own_reads + spread_s * self._random.random()
            base_s = now if self._own_reads else awaited_since
            self._own_read_at = base_s + min(wait_s, MAX_OWN_READ_DELAY_S + spread_s)

    def _start_own_read(self, now: float) -> list[Action]:
        self._own_read_at = math.inf
        if self._reader.is_running:
            return []
        self._own_reads += 1
        self._reads_for_itself = True
        self._substitute_until = now + HANDOVER_S
        fields = self._fetcher.describe_wait(now)
        return [
            RecordEvent(events.OWN_READ_STARTED, fields),
            *self._perform_reader_actions(self._reader.start(now), now),
        ]

    def _record_started_substitution(self) -> list[Action]:
        """Record the start once; after a failed attempt, only when the store answers."""
        sender = self._unrecorded_for
        if sender is None or not self._reader.is_store_reachable:
            return []
        self._unrecorded_for = None
        return [RecordEvent(events.SUBSTITUTION_STARTED, {"for": sender})]

    def _end_substitution(self) -> list[Action]:
        self._substitute_until = math.inf
        self._unrecorded_for = None
        self._reader.stop()
        if self._reads_for_itself:
            self._reads_for_itself = False
            return []
        return self._record_substitution(events.SUBSTITUTION_ENDED, {})

    def _record_substitution(self, kind: EventKind, fields: dict[str, FieldValue]) -> list[Action]:
        """Record the event, unless the last attempt here failed, as all do in an outage."""
        return [RecordEvent(kind, fields)] if self._reader.is_store_reachable else []

    def _activate(
        self,
        snapshot: Snapshot,
        sender: Address | None,
        now: float,
        update: Update | None = None,
    ) -> list[Action]:
        """Activate a later version and push it to the targets."""
        if snapshot.version <= self._cache.version:
            return []
        if find_dangling_references(snapshot.document):
            self._reader.record_unusable(snapshot.version)
            return [RecordEvent(events.VERSION_NOT_CLOSED, {"refused": snapshot.version})]
        previous = self._cache.version
        reader_fields = self._reader.describe(now)
        store_age_s = self.compute_store_age(now)
        if store_age_s < math.inf:
            reader_fields["store_ms"] = int(store_age_s * 1000)
        wait_fields = self._fetcher.describe_wait(now)
        self._cache.add(snapshot, update)
        self._fetcher.handle_activation(now)
        # A daemon that makes progress is given versions, though later ones may be known already.
        self._own_read_at, self._own_reads = math.inf, 0
        favour = snapshot.document.distribution.favour
        self._tuning = self._fixed_tuning or choose_tuning(favour)
        self._reader.pause_s = self._tuning.push_interval_s
        self._reader.aligned_at = now
        include_upward = not self._is_above(sender)
        actions: list[Action] = [
            Activate(snapshot),
            RecordEvent(
                events.VERSION_ACTIVATED,
                {
                    "previous": previous,
                    "source": sender or "store",
                    **reader_fields,
                    **wait_fields,
                },
            ),
        ]
        return [*actions, *self._pusher.start_push(previous, include_upward, now, self._tuning)]

    def _is_above(self, sender: Address | None) -> bool:
        """Return whether `sender` is ahead in the tree, so that it informs other daemons itself."""
        if self._view is None or sender is None:
            return False
        own, other = self._view.find_position(self._own_address), self._view.find_position(sender)
        return own is not None and other is not None and other < own

    def _handle_message(self, sender: Address, message: Message, now: float) -> list[Action]:
        if isinstance(message, Announce):
            return self._handle_announce(sender, message, now)
        if isinstance(message, Update):
            return self._handle_update(sender, message, now)
        if isinstance(message, SubtreeHoldings):
            return [
                *self._pusher.record_holdings(sender, message, now, self._tuning),
                *self._fetcher.record_holder(sender, message.version, now),
            ]
        if isinstance(message, Fetch):
            return self._handle_fetch(sender, message, now)
        if isinstance(message, Busy):
            return [*self._fetcher.record_busy(sender, message.retry_s, now)]
        if isinstance(message, Handover):
            return self._start_substitution(sender, now)
        if isinstance(message, HoldingsRequest):
            return [Send(sender, HoldingsResponse(self._reporter.zones.list_zones()))]
        if isinstance(message, ZoneHoldings):
            return [*self._reporter.handle_zone_holdings(sender, message, now)]
        if isinstance(message, HoldingsResponse):
            self._reporter.zones.merge(message.zones, now)
        return []

    def _contradicts_current(self, version: Version, digest: bytes) -> bool:
        return version == self._cache.version != NO_VERSION and digest != self._cache.digest

    def _handle_announce(self, sender: Address, message: Announce, now: float) -> list[Action]:
        self._pusher.record_contact(sender, message.version)
        if message.store_age_ms is not None:
            answered_at = now - message.store_age_ms / 1000
            self._store_reported_at = max(self._store_reported_at, answered_at)
        if self._contradicts_current(message.version, message.digest):
            return [RecordEvent(events.VERSION_DIFFERS, {"held": message.version, "peer": sender})]
        if message.version > self._cache.version:
            return [*self._fetcher.record_holder(sender, message.version, now)]
        if message.version < self._cache.version:
            return [Send(sender, self._build_announce(now))]
        return [Send(sender, self._reporter.summarize())] if message.wants_reply else []

    def _handle_update(self, sender: Address, message: Update, now: float) -> list[Action]:
        if self._contradicts_current(message.version, message.digest):
            return [RecordEvent(events.VERSION_DIFFERS, {"held": message.version, "peer": sender})]
        if message.version <= self._cache.version:
            return [Send(sender, self._reporter.summarize())]
        if message.base != NO_BASE and self._cache.find(message.base) is None:
            return [*self._fetcher.record_holder(sender, message.version, now)]
        try:
            snapshot = self._cache.decode_update(message)
        except InvalidContent as error:
            event = RecordEvent(events.CONTENT_WRONG, {"peer": sender, "reason": str(error)})
            return [event, *self._fetcher.record_invalid_update(sender, message.version, now)]
        actions = self._activate(snapshot, sender, now, message)
        return [self._reporter.acknowledge(sender), *actions]

    def _handle_fetch(self, sender: Address, message: Fetch, now: float) -> list[Action]:
        self._pusher.record_fetch(sender, message.bases)
        if self.current is None:
            return []
        base = self._cache.choose_base(message.bases)
        if base == self._cache.version:
            return [Send(sender, self._reporter.summarize())]
        if base == NO_BASE and (wait_s := self._rate_limiter.try_acquire(now)) > 0:
            return [
                Send(sender, Busy(wait_s)),
                RecordEvent(events.SNAPSHOT_DELAYED, {"peer": sender}),
            ]
        return [Send(sender, self._cache.build_update(base))]

    def _request_holdings(self) -> list[Action]:
        if (
            self._view is None
            or not self._view.ranked_members
            or self._view.ranked_members[0] == self._own_address
        ):
            return []
        return [Send(self._view.ranked_members[0], HoldingsRequest())]
