"""Reads new versions from the store; one of the few readers of its availability zone.

Readers follow from the order of the members, without a lease: two daemons that disagree about
who reads cost a few calls of the store and nothing else.
"""

import math
import random
from collections.abc import Callable
from enum import Enum

import msgspec

from godwitpass.document import Document
from godwitpass.errors import InvalidDocument
from godwitpass.ids import NO_VERSION, Revision, Version
from godwitpass.internal.acceptance.record import (
    ROOT_KEY,
    AcceptedVersion,
    RootRecord,
    build_content_key,
    decode_part,
    decode_root,
)
from godwitpass.internal.actions import RecordEvent
from godwitpass.internal.distribution import events
from godwitpass.internal.distribution.snapshot_cache import SnapshotCache
from godwitpass.internal.distribution.delta import DocumentCodec, InvalidContent
from godwitpass.internal.distribution.tuning import STORE_RETRY_MAX_S, STORE_RETRY_MIN_S, WATCH_TIMEOUT_S
from godwitpass.internal.requests import Answer, Get, EntryRead, EntriesRead, Watch
from godwitpass.snapshot import Snapshot
from godwitpass.store import Entry

ANSWER_GRACE_S = 5.0
"""Time beyond its timeout after which an unanswered request counts as failed."""


class Step(Enum):
    """What the reader waits for."""

    NOTHING = 0
    ROOT = 1
    CONTENT = 2
    CHANGE = 3
    RETRY = 4
    REST = 5


class DocumentSource(msgspec.Struct, frozen=True):
    """A key of the store that holds the newest document whole, written by another system.

    `read` returns the version in an entry; it raises `InvalidDocument` if there is none to use.
    """

    key: str
    read: Callable[[Entry], Snapshot]


class VersionFound(msgspec.Struct, frozen=True):
    """Action inside distribution: the store has this later version."""

    snapshot: Snapshot


ReaderAction = Get | Watch | RecordEvent | VersionFound


class StoreReader:
    """Follows the root record by one long poll at a time.

    It rests for `pause_s` after a new version, so that a burst costs few reads.
    """

    def __init__(
        self,
        contents: SnapshotCache,
        codec: DocumentCodec,
        generator: random.Random,
        source: DocumentSource | None = None,
    ) -> None:
        self._source = source
        self._key = ROOT_KEY if source is None else source.key
        self._contents = contents
        self._codec = codec
        self._random = generator
        self._step = Step.NOTHING
        self._tag = 0
        self._revision = Revision(0)
        self._held_when_asked = NO_VERSION
        self._wanted: AcceptedVersion | None = None
        self._pieces: list[bytes] = []
        self._backoff_s = STORE_RETRY_MIN_S
        self._alarmed: AcceptedVersion | None = None
        self._behind = False
        self.is_store_reachable = True
        self.pause_s = 0.0
        self.deadline = math.inf

    @property
    def is_reading(self) -> bool:
        """Tell whether the reader was started."""
        return self._step is not Step.NOTHING

    def start(self, now: float) -> list[ReaderAction]:
        """Begin to read, unless this already happens."""
        return self._read_root(now) if self._step is Step.NOTHING else []

    def stop(self) -> None:
        """Read no more; answers still to come are ignored."""
        self._step = Step.NOTHING
        self._tag += 1
        self.deadline = math.inf

    def run(self, now: float) -> list[ReaderAction]:
        """Retry, or give up a request that was never answered."""
        if now < self.deadline:
            return []
        if self._step is Step.REST:
            return self._read_root(now) if self._behind else self._watch(now)
        return self._read_root(now) if self._step is Step.RETRY else self._fail(now)

    def handle(self, answer: Answer, now: float) -> list[ReaderAction]:
        """Take in the answer to a request of this reader."""
        if answer.tag != self._tag or self._step in (Step.NOTHING, Step.RETRY, Step.REST):
            return []
        if isinstance(answer, EntryRead):
            return self._regain() + self._take_entry(answer.entry, now)
        if isinstance(answer, EntriesRead):
            return self._regain() + self._take_changes(answer, now)
        return self._fail(now)

    def _ask(self, step: Step, key: str, now: float) -> list[ReaderAction]:
        self._tag += 1
        self._step = step
        self._held_when_asked = self._contents.version
        self.deadline = now + ANSWER_GRACE_S
        return [Get(self._tag, key)]

    def _read_root(self, now: float) -> list[ReaderAction]:
        return self._ask(Step.ROOT, self._key, now)

    def _watch(self, now: float) -> list[ReaderAction]:
        self._tag += 1
        self._step = Step.CHANGE
        self.deadline = now + WATCH_TIMEOUT_S + ANSWER_GRACE_S
        return [Watch(self._tag, self._key, self._revision, WATCH_TIMEOUT_S)]

    def _rest(self, now: float) -> list[ReaderAction]:
        self._step = Step.REST
        self.deadline = now + self.pause_s
        return []

    def _fail(self, now: float) -> list[ReaderAction]:
        lost: list[ReaderAction] = [RecordEvent(events.STORE_LOST)] if self.is_store_reachable else []
        self.is_store_reachable = False
        self._step = Step.RETRY
        self.deadline = now + self._backoff_s * self._random.uniform(0.5, 1.5)
        self._backoff_s = min(self._backoff_s * 2, STORE_RETRY_MAX_S)
        return lost

    def _regain(self) -> list[ReaderAction]:
        self._backoff_s = STORE_RETRY_MIN_S
        if self.is_store_reachable:
            return []
        self.is_store_reachable = True
        return [RecordEvent(events.STORE_REGAINED)]

    def _take_changes(self, answer: EntriesRead, now: float) -> list[ReaderAction]:
        roots = [entry for entry in answer.result.entries if entry.key == self._key]
        if answer.result.revision < self._revision:
            return self._read_root(now)
        if not roots:
            if self._source is not None:
                # The revision of an old document soon lies before the store's history.
                self._revision = answer.result.revision
            return self._watch(now)
        # A watch brings every document written meanwhile, whole; on a narrow link that takes longer
        # than the next ones need to come. Reading the newest one catches up.
        self._behind = self._source is not None and len(roots) > 1
        newest = max(roots, key=lambda entry: entry.revision)
        return self._take_root(newest, now)

    def _take_entry(self, entry: Entry, now: float) -> list[ReaderAction]:
        return (
            self._take_root(entry, now) if self._step is Step.ROOT else self._take_part(entry, now)
        )

    def _take_root(self, entry: Entry, now: float) -> list[ReaderAction]:
        self._revision = entry.revision
        if self._source is not None:
            self._revision = max(entry.revision, entry.store_revision)
            return self._take_document(self._source, entry, now)
        try:
            root = decode_root(entry)
        except msgspec.MsgspecError as error:
            return [RecordEvent(events.CONTENT_WRONG, {"reason": str(error)}), *self._watch(now)]
        if root.version <= self._contents.version:
            return self._compare(root.newest, now)
        snapshot = self._follow_deltas(root)
        if snapshot is not None:
            return [VersionFound(snapshot), *self._rest(now)]
        self._wanted, self._pieces = root.newest, []
        return self._ask(Step.CONTENT, build_content_key(root.newest.content_hash), now)

    def _take_document(
        self, source: DocumentSource, entry: Entry, now: float
    ) -> list[ReaderAction]:
        if entry.value is None:
            return self._watch(now)
        try:
            snapshot = source.read(entry)
        except InvalidDocument as error:
            return [RecordEvent(events.CONTENT_WRONG, {"reason": str(error)}), *self._watch(now)]
        if snapshot.version <= self._contents.version:
            self._behind = False
            return self._watch(now)
        return [VersionFound(snapshot), *self._rest(now)]

    def _compare(self, newest: AcceptedVersion, now: float) -> list[ReaderAction]:
        """Raise an alarm, once, if the store contradicts a version that is held."""
        held = self._contents.current
        if held is None or newest == self._alarmed:
            return self._watch(now)
        fields = {"held": held.version, "stored": newest.version}
        if newest.version == held.version and newest.content_hash != held.content_hash:
            self._alarmed = newest
            return [RecordEvent(events.VERSION_DIFFERS, dict(fields)), *self._watch(now)]
        if newest.version < held.version and self._step is Step.CHANGE:
            # A watch may lag behind the peers that brought the later version.
            return self._read_root(now)
        if newest.version < self._held_when_asked:
            self._alarmed = newest
            return [RecordEvent(events.ROOT_WENT_BACK, dict(fields)), *self._watch(now)]
        return self._watch(now)

    def _follow_deltas(self, root: RootRecord) -> Snapshot | None:
        snapshot = self._contents.current
        if snapshot is None:
            return None
        bodies = {delta.base: delta.body for delta in root.deltas}
        while snapshot.version < root.version:
            body = bodies.get(snapshot.version)
            following = root.find_version(Version(snapshot.version + 1))
            if body is None or following is None:
                return None
            try:
                document = self._codec.decode_delta(snapshot.document, body, following.content_hash)
            except InvalidContent:
                return None
            snapshot = _build_snapshot(following, document)
        return snapshot

    def _take_part(self, entry: Entry, now: float) -> list[ReaderAction]:
        wanted = self._wanted
        assert wanted is not None, "a content was asked for"
        if entry.value is None:
            missing = RecordEvent(events.CONTENT_MISSING, {"hash": wanted.content_hash})
            return [missing, *self._fail(now)]
        try:
            part = decode_part(entry.value)
            self._pieces.append(part.body)
            if len(self._pieces) < part.count:
                return self._ask(
                    Step.CONTENT, build_content_key(wanted.content_hash, len(self._pieces)), now
                )
            document = self._codec.decode_full(b"".join(self._pieces), wanted.content_hash)
        except (InvalidContent, msgspec.MsgspecError) as error:
            return [RecordEvent(events.CONTENT_WRONG, {"reason": str(error)}), *self._fail(now)]
        if wanted.version <= self._contents.version:
            return self._watch(now)
        return [VersionFound(_build_snapshot(wanted, document)), *self._rest(now)]


def _build_snapshot(accepted: AcceptedVersion, document: Document) -> Snapshot:
    return Snapshot(accepted.version, accepted.change, accepted.content_hash, document)
