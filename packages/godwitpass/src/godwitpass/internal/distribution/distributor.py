"""The decisions of distribution in one daemon."""

import math
import random

from godwitpass.document import Favour
from godwitpass.ids import NO_VERSION, Address, Version
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.distribution import events
from godwitpass.internal.distribution.rate_limiter import SnapshotRateLimiter
from godwitpass.internal.distribution.snapshot_cache import NO_BASE, SnapshotCache, find_dangling_references
from godwitpass.internal.distribution.delta import DocumentCodec, InvalidContent
from godwitpass.internal.distribution.fetcher import Fetcher
from godwitpass.internal.distribution.holdings import ConvergenceStatus
from godwitpass.internal.distribution.interface import (
    Action,
    Activate,
    ConvergenceRequested,
    Event,
    ViewChanged,
)
from godwitpass.internal.distribution.messages import (
    HoldingsResponse,
    Announce,
    HoldingsRequest,
    Busy,
    Fetch,
    SubtreeHoldings,
    Message,
    Update,
    ZoneHoldings,
)
from godwitpass.internal.distribution.pusher import Pusher
from godwitpass.internal.distribution.reader import (
    DocumentSource,
    VersionFound,
    ReaderAction,
    StoreReader,
)
from godwitpass.internal.distribution.reporting import HoldingsReporter
from godwitpass.internal.distribution.tuning import (
    MAX_READER_DELAY_S,
    REMOTE_DIGEST_SHARE,
    Tuning,
    choose_tuning,
)
from godwitpass.internal.distribution.view import View, find_parent_position
from godwitpass.internal.requests import EntryRead, EntriesRead, RequestFailed
from godwitpass.snapshot import Snapshot


class Distributor:
    """Learns versions from the store and from peers, and passes them on.

    Only later versions are taken, each one whole and verified by its hash.
    """

    def __init__(
        self,
        own: Address,
        generator: random.Random,
        codec: DocumentCodec | None = None,
        tuning: Tuning | None = None,
        source: DocumentSource | None = None,
    ) -> None:
        self._own = own
        self._random = generator
        self._fixed_tuning = tuning
        self._tuning = tuning or choose_tuning(Favour.CONVERGENCE)
        codec = codec or DocumentCodec()
        self._contents = SnapshotCache(codec)
        self._reader = StoreReader(self._contents, codec, generator, source)
        self._pusher = Pusher(own, self._contents)
        self._fetcher = Fetcher(own, self._contents, generator)
        self._admission = SnapshotRateLimiter()
        self._reporter = HoldingsReporter(own, self._contents, self._pusher, generator)
        self._view: View | None = None
        self._digest_at = math.inf
        self._read_at = math.inf
        self._wake_at = math.inf

    @property
    def current(self) -> Snapshot | None:
        """Return the version in force."""
        return self._contents.current

    def compute_convergence(self) -> ConvergenceStatus:
        """Return what is known of the convergence of the newest version."""
        return self._reporter.zones.summarize()

    def list_zone_holdings(self) -> tuple[ZoneHoldings, ...]:
        """Return what is known of each availability zone."""
        return self._reporter.zones.zones()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Decide on `event`."""
        actions = self._dispatch(event, now)
        actions += self._reporter.run(now, self._tuning)
        return actions + self._request_wake(now)

    def _dispatch(self, event: Event, now: float) -> list[Action]:
        if isinstance(event, MessageReceived):
            return self._receive(event.sender, event.message, now)
        if isinstance(event, TimerFired):
            return self._run(now)
        if isinstance(event, ViewChanged):
            return self._change_view(event.view, now)
        if isinstance(event, ConvergenceRequested):
            return self._ask_holdings()
        if isinstance(event, EntryRead | EntriesRead | RequestFailed):
            return self._perform_reader(self._reader.handle(event, now), now)
        return []

    def _run(self, now: float) -> list[Action]:
        if now < self._wake_at:
            return []
        self._wake_at = math.inf
        actions: list[Action] = [*self._pusher.run(now, self._tuning)]
        actions += self._fetcher.run(self._view, now)
        if now >= self._reader.deadline:
            actions += self._perform_reader(self._reader.run(now), now)
            actions += [] if self._reader.is_store_reachable else self._send_digest(remote=True)
        if now >= self._read_at:
            self._read_at = math.inf
            actions += self._perform_reader(self._reader.start(now), now)
        if now >= self._digest_at:
            self._digest_at = now + self._draw_digest_period()
            self._reporter.zones.remove_expired(now)
            actions += self._pusher.ask_incomplete()
            actions += self._send_digest(self._random.random() < REMOTE_DIGEST_SHARE)
        return actions

    def _request_wake(self, now: float) -> list[Action]:
        due = min(
            self._pusher.deadline,
            self._fetcher.deadline,
            self._reader.deadline,
            self._digest_at,
            self._read_at,
            self._reporter.deadline,
        )
        if due >= self._wake_at:
            return []
        self._wake_at = max(due, now)
        return [SetTimer(self._wake_at)]

    def _change_view(self, view: View, now: float) -> list[Action]:
        if view == self._view:
            return []
        first, self._view = self._view is None, view
        actions: list[Action] = [*self._pusher.change_view(view)]
        self._reporter.change_view(view, self._tree_parent())
        self._choose_reading(view, now)
        if first:
            self._digest_at = now + self._draw_digest_period() * self._random.random()
        if self.current is None and not self._fetcher.is_bootstrapping and len(view.positions) > 1:
            actions += self._fetcher.start(view, now)
        return actions

    def _choose_reading(self, view: View, now: float) -> None:
        """Read the store from a random moment on, if the others don't turn up until then."""
        if not view.is_reader(self._own):
            self._reader.stop()
            self._read_at = math.inf
        elif not self._reader.is_reading and self._read_at == math.inf:
            self._read_at = now + self._random.random() * MAX_READER_DELAY_S

    def _draw_digest_period(self) -> float:
        return self._tuning.digest_interval_s * self._random.uniform(0.75, 1.25)

    def _tree_parent(self) -> Address | None:
        position = self._view.find_position(self._own) if self._view else None
        parent = find_parent_position(position) if position else None
        return self._view.ranked_members[parent] if self._view and parent is not None else None

    def _send_digest(self, remote: bool) -> list[Action]:
        if self._view is None or self.current is None:
            return []
        zones = [addresses for addresses in self._view.remote.values() if addresses]
        peers = self._random.choice(zones) if remote and zones else self._view.ranked_members
        peer = self._random.choice(peers) if peers else self._own
        if peer == self._own:
            return []
        return [Send(peer, Announce(self._contents.version, self._contents.digest))]

    def _perform_reader(self, wanted: list[ReaderAction], now: float) -> list[Action]:
        actions: list[Action] = []
        for action in wanted:
            if isinstance(action, VersionFound):
                actions += self._learn(action.snapshot, None, now)
            else:
                actions.append(action)
        return actions

    def _learn(
        self,
        snapshot: Snapshot,
        source: Address | None,
        now: float,
        update: Update | None = None,
    ) -> list[Action]:
        """Switch to a later version and pass it on."""
        if snapshot.version <= self._contents.version:
            return []
        if find_dangling_references(snapshot.document):
            return [RecordEvent(events.VERSION_NOT_CLOSED, {"refused": snapshot.version})]
        previous = self._contents.version
        self._contents.add(snapshot, update)
        self._fetcher.finish()
        favour = snapshot.document.distribution.favour
        self._tuning = self._fixed_tuning or choose_tuning(favour)
        self._reader.pause_s = self._tuning.push_interval_s
        upwards = not self._is_above(source)
        actions: list[Action] = [
            Activate(snapshot),
            RecordEvent(events.VERSION_ACTIVATED, {"previous": previous, "source": source or "store"}),
        ]
        return [*actions, *self._pusher.start_push(previous, upwards, now, self._tuning)]

    def _is_above(self, source: Address | None) -> bool:
        """Tell whether `source` comes earlier in the tree and thus tells the others itself."""
        if self._view is None or source is None:
            return False
        position, other = self._view.find_position(self._own), self._view.find_position(source)
        return position is not None and other is not None and other < position

    def _receive(self, sender: Address, message: Message, now: float) -> list[Action]:
        if isinstance(message, Announce):
            return self._take_announce(sender, message, now)
        if isinstance(message, Update):
            return self._take_update(sender, message, now)
        if isinstance(message, SubtreeHoldings):
            return [
                *self._pusher.record_holding(sender, message, now, self._tuning),
                *self._fetcher.record_answer(sender, message.version, now),
            ]
        if isinstance(message, Fetch):
            return self._serve(sender, message, now)
        if isinstance(message, Busy):
            return [*self._fetcher.record_busy(sender, message.retry_s, now)]
        if isinstance(message, HoldingsRequest):
            return [Send(sender, HoldingsResponse(self._reporter.zones.zones()))]
        if isinstance(message, ZoneHoldings):
            return [*self._reporter.handle_zone_holdings(sender, message, now)]
        if isinstance(message, HoldingsResponse):
            self._reporter.zones.replace(message.zones, now)
        return []

    def _contradicts(self, version: Version, digest: bytes) -> bool:
        return version == self._contents.version != NO_VERSION and digest != self._contents.digest

    def _take_announce(self, sender: Address, message: Announce, now: float) -> list[Action]:
        self._pusher.record_heard(sender, message.version)
        if self._contradicts(message.version, message.digest):
            return [RecordEvent(events.VERSION_DIFFERS, {"held": message.version, "peer": sender})]
        if message.version > self._contents.version:
            return [*self._fetcher.record_answer(sender, message.version, now)]
        if message.version < self._contents.version:
            return [Send(sender, Announce(self._contents.version, self._contents.digest))]
        return [Send(sender, self._reporter.summarize())] if message.acknowledge else []

    def _take_update(self, sender: Address, message: Update, now: float) -> list[Action]:
        if self._contradicts(message.version, message.digest):
            return [RecordEvent(events.VERSION_DIFFERS, {"held": message.version, "peer": sender})]
        if message.version <= self._contents.version:
            return [Send(sender, self._reporter.summarize())]
        if message.base != NO_BASE and self._contents.find(message.base) is None:
            return [*self._fetcher.record_answer(sender, message.version, now)]
        try:
            snapshot = self._contents.decode_update(message)
        except InvalidContent as error:
            wrong = RecordEvent(events.CONTENT_WRONG, {"peer": sender, "reason": str(error)})
            return [wrong, *self._fetcher.record_wrong(sender, message.version, now)]
        learned = self._learn(snapshot, sender, now, message)
        return [self._reporter.acknowledge(sender), *learned]

    def _serve(self, sender: Address, message: Fetch, now: float) -> list[Action]:
        self._pusher.record_fetch(sender, message.bases)
        if self.current is None:
            return []
        base = self._contents.choose_base(message.bases)
        if base == self._contents.version:
            return [Send(sender, self._reporter.summarize())]
        if base == NO_BASE and (wait_s := self._admission.try_acquire(now)) > 0:
            return [Send(sender, Busy(wait_s)), RecordEvent(events.SNAPSHOT_DELAYED, {"peer": sender})]
        return [Send(sender, self._contents.build_update(base))]

    def _ask_holdings(self) -> list[Action]:
        if self._view is None or not self._view.ranked_members or self._view.ranked_members[0] == self._own:
            return []
        return [Send(self._view.ranked_members[0], HoldingsRequest())]
