"""Reads new versions from the store, on the few daemons that are readers of their zone.

The rank of the members determines the readers, without a lease: if two daemons disagree about who
reads, the only cost is a few additional calls to the store.
"""

import math
import random
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from godwitpass.document import Document
from godwitpass.errors import InvalidDocument
from godwitpass.events import FieldValue
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
from godwitpass.internal.distribution.delta import DocumentCodec, InvalidContent
from godwitpass.internal.distribution.snapshot_cache import SnapshotCache
from godwitpass.internal.distribution.tuning import (
    MIN_WATCH_TIMEOUT_S,
    STORE_RETRY_MAX_S,
    STORE_RETRY_MIN_S,
    WATCH_TIMEOUT_S,
)
from godwitpass.internal.requests import (
    Answer,
    EntriesRead,
    EntryRead,
    Get,
    RequestFailed,
    Watch,
)
from godwitpass.internal.revisions import NamedRevisions
from godwitpass.snapshot import Snapshot
from godwitpass.store import Entry

ANSWER_GRACE_S = 5.0
"""A request without an answer fails this long after its timeout, or after it was sent."""


class Step(Enum):
    """What the reader waits for.

    `WATCH` is the answer to a watch, `RETRY` the end of the back-off after a failure, and `PAUSE`
    the end of the pause after a new version.
    """

    IDLE = 0
    ROOT = 1
    CONTENT = 2
    WATCH = 3
    RETRY = 4
    PAUSE = 5


class DocumentSource(msgspec.Struct, frozen=True):
    """A key at which another system stores the newest document in full.

    `read` converts an entry to a snapshot; it raises `InvalidDocument` if the entry is unusable.
    `read_version` returns the version of an unusable entry, or None. `list_remarks` returns what an
    operator should know of a document that is used.
    """

    key: str
    read: Callable[[Entry], Snapshot]
    read_version: Callable[[Entry], Version | None] = lambda entry: None
    list_remarks: Callable[[Entry, Document], Sequence[str]] = lambda entry, document: ()


class StoredVersion(msgspec.Struct, frozen=True):
    """A daemon that holds `version` has all usable documents up to the entry at `revision`."""

    revision: Revision
    version: Version


class RejectedDocument(msgspec.Struct, frozen=True):
    """A document in the store that this daemon can't use, and why."""

    revision: Revision
    reason: str


class ReadingFailed(msgspec.Struct, frozen=True):
    """Action, internal to distribution: the store did not answer; `attempt` of several in a row."""

    attempt: int


class VersionFound(msgspec.Struct, frozen=True):
    """Action, internal to distribution: the store holds this later version."""

    snapshot: Snapshot


ReaderAction = Get | Watch | RecordEvent | VersionFound | ReadingFailed


class StoreReader:
    """Watches the root record by one long poll at a time.

    It pauses for `pause_s` after a new version, so that a burst of versions needs few reads. Polls
    end at `phase`, a share of `WATCH_TIMEOUT_S`, after `aligned_at`, the time of the last version,
    so that those of several readers do not end together.
    """

    def __init__(
        self,
        cache: SnapshotCache,
        codec: DocumentCodec,
        generator: random.Random,
        source: DocumentSource | None = None,
    ) -> None:
        self._source = source
        self._watched_key = ROOT_KEY if source is None else source.key
        self._cache = cache
        self._codec = codec
        self._random = generator
        self._step = Step.IDLE
        self._tag = 0
        self._revision = Revision(0)
        self._version_at_request = NO_VERSION
        self._loading_version: AcceptedVersion | None = None
        self._loaded_parts: list[bytes] = []
        self._backoff_s = STORE_RETRY_MIN_S
        self._reported_contradiction: AcceptedVersion | None = None
        self._is_behind = False
        self._remarked_version = NO_VERSION
        self._step_since = 0.0
        self._lost_at = 0.0
        self._failures = 0
        self._polls = 0
        self._empty_polls = 0
        self._asked_revision = Revision(0)
        self._has_history_ended = False
        self._handled_revision = Revision(0)
        self._listed_revision = Revision(0)
        self._named = NamedRevisions()
        self.heard_at = -math.inf
        self._heard_before = -math.inf
        self.is_store_reachable = True
        self.rejected_document: RejectedDocument | None = None
        self.stored_version: StoredVersion | None = None
        self.pause_s = 0.0
        self.phase = 0.0
        self.aligned_at = 0.0
        self._poll_timeout_s = WATCH_TIMEOUT_S
        self.deadline = math.inf

    @property
    def is_running(self) -> bool:
        """Return whether the reader was started."""
        return self._step is not Step.IDLE

    def describe(self, now: float) -> dict[str, FieldValue]:
        """Return log fields: what the reader waits for, since when, and its polls in a row.

        `empty_polls` of these were answered without changes. The last answer came `heard_ms` ago;
        the one before it, if it came now.
        """
        if self._step is Step.IDLE:
            return {"reader": "idle"}
        fields: dict[str, FieldValue] = {
            "reader": self._step.name.lower(),
            "reader_ms": int((now - self._step_since) * 1000),
            "polls": self._polls,
            "empty_polls": self._empty_polls,
        }
        heard_at = self.heard_at if self.heard_at < now else self._heard_before
        if heard_at > -math.inf:
            fields["heard_ms"] = int((now - heard_at) * 1000)
        return fields

    def start(self, now: float) -> list[ReaderAction]:
        """Start reading, unless it is running already."""
        if self._step is not Step.IDLE:
            return []
        self._lost_at = now
        return self._read_root(now)

    def stop(self) -> None:
        """Stop reading; pending answers are ignored."""
        self._step = Step.IDLE
        self._tag += 1
        self.deadline = math.inf
        self.stored_version = None

    def read_now(self, now: float) -> list[ReaderAction]:
        """Read the newest version, since the one read last isn't it, unless that is under way."""
        return self._read_root(now) if self._step in (Step.WATCH, Step.PAUSE) else []

    def record_unusable(self, version: Version) -> None:
        """Record that the stored `version` can't be used.

        Every usable document that was stored before it has a lower version.
        """
        stored = self.stored_version
        if stored is not None and stored.version == version:
            lower_version = Version(max(NO_VERSION, version - 1))
            self.stored_version = StoredVersion(stored.revision, lower_version)

    def run_due(self, now: float) -> list[ReaderAction]:
        """Retry, end the pause, or give up a request that was not answered in time."""
        if now < self.deadline:
            return []
        if self._step is Step.PAUSE:
            return self._read_root(now) if self._is_behind else self._watch(now)
        if self._step is Step.RETRY:
            return self._read_root(now)
        return self._handle_failure(now, "not answered in time")

    def handle(self, answer: Answer, now: float) -> list[ReaderAction]:
        """Return the next actions after the answer to a request of this reader."""
        if answer.tag != self._tag or self._step in (Step.IDLE, Step.RETRY, Step.PAUSE):
            return []
        if isinstance(answer, EntryRead):
            return self._record_success(now) + self._handle_entry(answer.entry, now)
        if isinstance(answer, EntriesRead):
            return self._record_success(now) + self._handle_changes(answer, now)
        if not isinstance(answer, RequestFailed):
            return self._handle_failure(now)
        if answer.is_history_ended and not self._has_history_ended:
            self._has_history_ended = True
            self._named.shorten_overlap(self._asked_revision, self._step_since)
            return self._record_success(now) + self._read_root(now)
        return self._handle_failure(now, answer.reason)

    def _send_get(self, step: Step, key: str, now: float) -> list[ReaderAction]:
        self._tag += 1
        self._enter(step, now)
        self._version_at_request = self._cache.version
        self.deadline = now + ANSWER_GRACE_S
        return [Get(self._tag, key)]

    def _enter(self, step: Step, now: float) -> None:
        self._step = step
        self._step_since = now

    def _read_root(self, now: float) -> list[ReaderAction]:
        return self._send_get(Step.ROOT, self._watched_key, now)

    def _watch(self, now: float) -> list[ReaderAction]:
        self._tag += 1
        self._polls += 1
        self._enter(Step.WATCH, now)
        self._poll_timeout_s = timeout_s = self._choose_poll_timeout(now)
        self.deadline = now + timeout_s + ANSWER_GRACE_S
        self._asked_revision = self._choose_start(now)
        return [Watch(self._tag, self._watched_key, self._asked_revision, timeout_s)]

    def _choose_poll_timeout(self, now: float) -> float:
        since_phase_s = now - self.aligned_at - self.phase * WATCH_TIMEOUT_S
        timeout_s = WATCH_TIMEOUT_S - since_phase_s % WATCH_TIMEOUT_S
        return timeout_s if timeout_s >= MIN_WATCH_TIMEOUT_S else timeout_s + WATCH_TIMEOUT_S

    def _choose_start(self, now: float) -> Revision:
        """Return the revision to watch from; what was listed already must not be listed again."""
        start = self._named.choose_start(now) if self._source is not None else None
        return self._revision if start is None else max(start, self._listed_revision)

    def _pause(self, now: float) -> list[ReaderAction]:
        self._enter(Step.PAUSE, now)
        self._polls = self._empty_polls = 0
        self.deadline = now + self.pause_s
        return []

    def _handle_failure(self, now: float, reason: str = "") -> list[ReaderAction]:
        if self._step is Step.WATCH and now - self._step_since >= self._poll_timeout_s:
            # The connection is dead, which says nothing about the store: versions may be missing.
            return [*self._record_failure(now, reason, 0.0), *self._read_root(now)]
        # The history may have ended, or the store gone back to an earlier copy.
        self._named.clear()
        retry_in_s = self._backoff_s * self._random.uniform(0.5, 1.5)
        self._backoff_s = min(self._backoff_s * 2, STORE_RETRY_MAX_S)
        actions = self._record_failure(now, reason, retry_in_s)
        self._enter(Step.RETRY, now)
        self.deadline = now + retry_in_s
        return actions

    def _record_failure(self, now: float, reason: str, retry_in_s: float) -> list[ReaderAction]:
        """Count a failure, and report the first of several in a row."""
        failed = ReadingFailed(self._failures)
        self._failures += 1
        if not self.is_store_reachable:
            return [failed]
        self.is_store_reachable = False
        self._lost_at = now
        fields = {
            **self.describe(now),
            "reason": reason,
            "retry_ms": int(retry_in_s * 1000),
            "revision": self._revision,
        }
        return [RecordEvent(events.STORE_LOST, fields), failed]

    def _record_success(self, now: float) -> list[ReaderAction]:
        self._backoff_s = STORE_RETRY_MIN_S
        self._heard_before, self.heard_at = self.heard_at, now
        if self.is_store_reachable:
            return []
        self.is_store_reachable = True
        failures, self._failures = self._failures, 0
        fields: dict[str, FieldValue] = {
            "lost_ms": int((now - self._lost_at) * 1000),
            "failures": failures,
        }
        return [RecordEvent(events.STORE_REGAINED, fields)]

    def _handle_changes(self, answer: EntriesRead, now: float) -> list[ReaderAction]:
        self._has_history_ended = False
        entries = [entry for entry in answer.result.entries if entry.key == self._watched_key]
        if answer.result.revision < self._revision:
            self._named.clear()
            report = self._report_step_back(self._revision, answer.result.revision)
            return [report, *self._read_root(now)]
        revisions = [entry.revision for entry in answer.result.entries]
        self._listed_revision = max([self._listed_revision, *revisions])
        if not entries:
            self._empty_polls += 1
            self._named.record(answer.result.revision, now)
            if self._source is not None:
                # The revision of an old document soon leaves the store's history.
                self._revision = answer.result.revision
            return self._watch(now)
        # A watch returns every document that was written in the meantime, in full. On a slow link,
        # the next documents are written before this transfer ends; reading only the newest one
        # catches up.
        self._is_behind = self._source is not None and len(entries) > 1
        newest = max(entries, key=lambda entry: entry.revision)
        return [*self._report_missed(newest, now), *self._handle_root(newest, now)]

    def _report_missed(self, entry: Entry, now: float) -> list[ReaderAction]:
        """Report a change that an earlier answer should have listed."""
        handled_revision, self._handled_revision = self._handled_revision, entry.revision
        if entry.revision <= handled_revision:
            return []
        cover = self._named.find_cover(entry.revision)
        if cover is None:
            return []
        fields: dict[str, FieldValue] = {
            **self.describe(now),
            "revision": entry.revision,
            "named": cover.revision,
            "late_ms": int((now - cover.at) * 1000),
            "held": self._cache.version,
        }
        return [RecordEvent(events.CHANGE_MISSED, fields)]

    def _handle_entry(self, entry: Entry, now: float) -> list[ReaderAction]:
        if self._step is not Step.ROOT:
            return self._handle_part(entry, now)
        self._listed_revision = entry.revision
        return [*self._report_missed(entry, now), *self._handle_root(entry, now)]

    def _report_step_back(self, seen: Revision, revision: Revision) -> RecordEvent:
        return RecordEvent(
            events.STORE_WENT_BACK,
            {"seen": seen, "revision": revision, "held": self._cache.version},
        )

    def _handle_root(self, entry: Entry, now: float) -> list[ReaderAction]:
        previous_revision, self._revision = self._revision, entry.revision
        if self._source is not None:
            self._revision = max(entry.revision, entry.store_revision)
            self._named.record(self._revision, now)
            if entry.store_revision and self._revision < previous_revision:
                report = self._report_step_back(previous_revision, self._revision)
                return [report, *self._handle_document(self._source, entry, now)]
            return self._handle_document(self._source, entry, now)
        try:
            root = decode_root(entry)
        except (msgspec.MsgspecError, RecursionError) as error:
            return [RecordEvent(events.CONTENT_WRONG, {"reason": str(error)}), *self._watch(now)]
        if root.version <= self._cache.version:
            return self._check_consistency(root.newest, now)
        snapshot = self._follow_deltas(root)
        if snapshot is not None:
            return [VersionFound(snapshot), *self._pause(now)]
        self._loading_version, self._loaded_parts = root.newest, []
        return self._send_get(Step.CONTENT, build_content_key(root.newest.content_hash), now)

    def _handle_document(
        self, source: DocumentSource, entry: Entry, now: float
    ) -> list[ReaderAction]:
        self.stored_version = None
        if entry.value is None:
            return self._watch(now)
        try:
            snapshot = source.read(entry)
        except InvalidDocument as error:
            rejected_version = source.read_version(entry)
            if rejected_version is not None:
                self.stored_version = StoredVersion(entry.revision, rejected_version)
                self.record_unusable(rejected_version)
            return self._reject_document(RejectedDocument(entry.revision, str(error)), now)
        self.rejected_document = None
        self.stored_version = StoredVersion(entry.revision, snapshot.version)
        remarks = self._report_remarks(source, entry, snapshot)
        if snapshot.version <= self._cache.version:
            self._is_behind = False
            return [*remarks, *self._watch(now)]
        return [*remarks, VersionFound(snapshot), *self._pause(now)]

    def _report_remarks(
        self, source: DocumentSource, entry: Entry, snapshot: Snapshot
    ) -> list[ReaderAction]:
        """Report, once for each version, what has no effect in its document."""
        if snapshot.version <= self._remarked_version:
            return []
        self._remarked_version = snapshot.version
        remarks = source.list_remarks(entry, snapshot.document)
        if not remarks:
            return []
        fields: dict[str, FieldValue] = {
            "read": snapshot.version,
            "count": len(remarks),
            "remarks": "; ".join(remarks),
        }
        return [RecordEvent(events.DOCUMENT_REMARKS, fields)]

    def _reject_document(self, rejected: RejectedDocument, now: float) -> list[ReaderAction]:
        """Keep the version that is held, and report each rejected document once."""
        previous, self.rejected_document = self.rejected_document, rejected
        if previous == rejected:
            return self._watch(now)
        fields: dict[str, FieldValue] = {
            "held": self._cache.version,
            "revision": rejected.revision,
            "reason": rejected.reason,
        }
        return [RecordEvent(events.DOCUMENT_REJECTED, fields), *self._watch(now)]

    def _check_consistency(self, newest: AcceptedVersion, now: float) -> list[ReaderAction]:
        """Report, once, if the store contradicts the version that this daemon holds."""
        current = self._cache.current
        if current is None or newest == self._reported_contradiction:
            return self._watch(now)
        version_fields = {"held": current.version, "stored": newest.version}
        if newest.version == current.version and newest.content_hash != current.content_hash:
            self._reported_contradiction = newest
            return [RecordEvent(events.VERSION_DIFFERS, dict(version_fields)), *self._watch(now)]
        if newest.version < current.version and self._step is Step.WATCH:
            # A watch may lag behind the peers that brought the later version.
            return self._read_root(now)
        if newest.version < self._version_at_request:
            self._reported_contradiction = newest
            return [RecordEvent(events.ROOT_WENT_BACK, dict(version_fields)), *self._watch(now)]
        return self._watch(now)

    def _follow_deltas(self, root: RootRecord) -> Snapshot | None:
        snapshot = self._cache.current
        if snapshot is None:
            return None
        bodies = {delta.base_version: delta.body for delta in root.deltas}
        while snapshot.version < root.version:
            body = bodies.get(snapshot.version)
            next_version = root.find_version(Version(snapshot.version + 1))
            if body is None or next_version is None:
                return None
            try:
                document = self._codec.decode_delta(
                    snapshot.document, body, next_version.content_hash
                )
            except InvalidContent:
                return None
            snapshot = _build_snapshot(next_version, document)
        return snapshot

    def _handle_part(self, entry: Entry, now: float) -> list[ReaderAction]:
        loading_version = self._loading_version
        assert loading_version is not None, "a content part was requested"
        if entry.value is None:
            missing_event = RecordEvent(
                events.CONTENT_MISSING, {"hash": loading_version.content_hash}
            )
            return [missing_event, *self._handle_failure(now)]
        try:
            part = decode_part(entry.value)
            self._loaded_parts.append(part.body)
            if len(self._loaded_parts) < part.count:
                return self._send_get(
                    Step.CONTENT,
                    build_content_key(loading_version.content_hash, len(self._loaded_parts)),
                    now,
                )
            document = self._codec.decode_full(
                b"".join(self._loaded_parts), loading_version.content_hash
            )
        except (InvalidContent, msgspec.MsgspecError, RecursionError) as error:
            return [
                RecordEvent(events.CONTENT_WRONG, {"reason": str(error)}),
                *self._handle_failure(now),
            ]
        if loading_version.version <= self._cache.version:
            return self._watch(now)
        return [VersionFound(_build_snapshot(loading_version, document)), *self._pause(now)]


def _build_snapshot(accepted: AcceptedVersion, document: Document) -> Snapshot:
    return Snapshot(accepted.version, accepted.change, accepted.content_hash, document)
