"""Decides whether one proposed document becomes the next version.

The content is written first, then one compare-and-swap of the root record accepts it. A lost
answer is settled by the change id in the record's history. The swap names the revision that was
read, so a proposer that was paused can't undo what happened meanwhile.
"""

import math
import random
from enum import Enum

import msgspec

from godwitpass.document import Document
from godwitpass.ids import NO_VERSION, ChangeId, Revision, Version
from godwitpass.internal.acceptance.record import (
    ROOT_KEY,
    AcceptedVersion,
    RootRecord,
    append_version,
    build_content_key,
    decode_root,
    encode_root,
    split_content,
)
from godwitpass.internal.actions import RecordEvent, SetTimer, TimerFired
from godwitpass.internal.codec import encode_canonical, hash_content
from godwitpass.internal.distribution import events
from godwitpass.internal.distribution.delta import encode_delta, encode_full
from godwitpass.internal.requests import Answer, Get, EntryRead, Put, WriteDone, RequestFailed
from godwitpass.snapshot import Snapshot
from godwitpass.store import Entry, WriteResult

DEADLINE_S = 5.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0


class Proposal(msgspec.Struct, frozen=True):
    """Event: accept `document`; `held` is the version that this daemon holds.

    `if_version` is the version that the change builds on. Where the store shows a lower version
    than `held`, only a proposal that names the held version is accepted, as the one after it.
    """

    document: Document
    change: ChangeId
    if_version: Version | None
    held: Snapshot | None
    time: float


class Conflict(msgspec.Struct, frozen=True):
    """Another change was accepted first; this one was not and never will be."""

    current: Version
    winner: ChangeId


class StoreRegressed(msgspec.Struct, frozen=True):
    """The store contradicts what this daemon holds; nothing was accepted."""

    held: Version
    stored: Version


class NotAccepted(msgspec.Struct, frozen=True):
    """The store did not answer in time; nothing was accepted."""


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """The change may or may not have been accepted."""


Outcome = AcceptedVersion | Conflict | StoreRegressed | NotAccepted | OutcomeUnknown


class Finished(msgspec.Struct, frozen=True):
    """Action: tells the proposer the outcome; the last action of an acceptor."""

    outcome: Outcome


class Step(Enum):
    """What the acceptor waits for."""

    ROOT = 0
    CONTENT = 1
    SWAP = 2
    DONE = 3


Action = Get | Put | SetTimer | RecordEvent | Finished


class Acceptor:
    """Carries one proposal to its outcome."""

    def __init__(self, proposal: Proposal, generator: random.Random) -> None:
        self._proposal = proposal
        self._random = generator
        self._hash = hash_content(encode_canonical(proposal.document))
        self._parts = split_content(encode_full(proposal.document))
        self._step = Step.ROOT
        self._tag = 0
        self._part = 0
        self._accepted: AcceptedVersion | None = None
        self._record = b""
        self._expected = Revision(0)
        self._uncertain = False
        self._backoff_s = RETRY_MIN_S
        self._retry_at = math.inf
        self._deadline = math.inf

    def handle(self, event: Proposal | Answer | TimerFired, now: float) -> list[Action]:
        """Decide on `event`; the proposal itself comes first."""
        if self._step is Step.DONE:
            return []
        if isinstance(event, Proposal):
            self._deadline = now + DEADLINE_S
            return [SetTimer(self._deadline), *self._request()]
        if isinstance(event, TimerFired):
            return self._run(now)
        if event.tag != self._tag or self._retry_at < math.inf:
            return []
        if isinstance(event, RequestFailed):
            return self._retry_later(event.is_outcome_unknown, now)
        self._backoff_s = RETRY_MIN_S
        if isinstance(event, EntryRead):
            return self._take_root(event.entry)
        assert isinstance(event, WriteDone), "an acceptor only reads and writes single entries"
        return self._take_written(event.result)

    def _run(self, now: float) -> list[Action]:
        if now >= self._deadline:
            is_open = self._uncertain or (self._step is Step.SWAP and self._retry_at == math.inf)
            return self._finish(OutcomeUnknown() if is_open else NotAccepted())
        if now >= self._retry_at:
            self._retry_at = math.inf
            return self._request()
        return []

    def _request(self) -> list[Action]:
        """Send the request of the current step."""
        self._tag += 1
        if self._step is Step.ROOT:
            return [Get(self._tag, ROOT_KEY)]
        if self._step is Step.CONTENT:
            key = build_content_key(self._hash, self._part)
            return [Put(self._tag, key, self._parts[self._part], None)]
        return [Put(self._tag, ROOT_KEY, self._record, self._expected)]

    def _retry_later(self, unknown: bool, now: float) -> list[Action]:
        if self._step is Step.SWAP:
            self._uncertain = self._uncertain or unknown
            self._step = Step.ROOT
        self._retry_at = now + self._backoff_s * self._random.uniform(0.5, 1.5)
        self._backoff_s = min(self._backoff_s * 2, RETRY_MAX_S)
        return [SetTimer(self._retry_at)]

    def _take_root(self, entry: Entry) -> list[Action]:
        root = decode_root(entry)
        found = root.find_change(self._proposal.change)
        if found is not None:
            return self._finish(found)
        if self._uncertain:
            return self._settle(root, entry.revision)
        base, refusal = self._choose_base(root)
        if refusal is not None:
            return self._finish(refusal)
        self._prepare(root, base)
        self._expected = entry.revision
        self._step = Step.CONTENT
        return self._request()

    def _settle(self, root: RootRecord, revision: Revision) -> list[Action]:
        """Repeat a swap whose answer was lost, unless it can't succeed any more."""
        if revision != self._expected:
            return self._finish(Conflict(root.version, root.newest.change))
        self._step = Step.SWAP
        return self._request()

    def _choose_base(self, root: RootRecord) -> tuple[Version, Outcome | None]:
        """Return the version to build on, or why there is none."""
        held, wanted = self._proposal.held, self._proposal.if_version
        base = root.version
        if held is not None and self._is_contradicted(held, root):
            if wanted != held.version:
                return base, StoreRegressed(held.version, root.version)
            base = held.version
        if wanted is not None and wanted != base:
            return base, Conflict(base, root.newest.change)
        return base, None

    @staticmethod
    def _is_contradicted(held: Snapshot, root: RootRecord) -> bool:
        is_same = held.version == root.version
        return held.version > root.version or (
            is_same and held.content_hash != root.newest.content_hash
        )

    def _prepare(self, root: RootRecord, base: Version) -> None:
        proposal, held = self._proposal, self._proposal.held
        version = Version(base + 1)
        self._accepted = AcceptedVersion(version, proposal.change, self._hash, proposal.time)
        delta = None
        if base == NO_VERSION or (held is not None and held.version == base):
            old = held.document if held is not None else Document(proposal.document.format)
            delta = encode_delta(old, proposal.document)
        self._record = encode_root(append_version(root, self._accepted, delta))
        self._part = 0

    def _take_written(self, result: WriteResult) -> list[Action]:
        if self._step is Step.CONTENT:
            self._part += 1
            if self._part == len(self._parts):
                self._step = Step.SWAP
            return self._request()
        if result.written:
            assert self._accepted is not None
            return self._finish(self._accepted)
        root = decode_root(result.entry)
        found = root.find_change(self._proposal.change)
        return self._finish(found or Conflict(root.version, root.newest.change))

    def _finish(self, outcome: Outcome) -> list[Action]:
        self._step = Step.DONE
        change = self._proposal.change
        match outcome:
            case AcceptedVersion():
                report = RecordEvent(
                    events.VERSION_ACCEPTED, {"change": change, "accepted": outcome.version}
                )
            case Conflict():
                fields = {"change": change, "winner": outcome.winner}
                report = RecordEvent(events.VERSION_REFUSED, dict(fields))
            case StoreRegressed():
                fields_back = {"held": outcome.held, "stored": outcome.stored}
                report = RecordEvent(events.ROOT_WENT_BACK, dict(fields_back))
            case NotAccepted():
                report = RecordEvent(events.VERSION_NOT_ACCEPTED, {"change": change})
            case OutcomeUnknown():
                report = RecordEvent(events.ACCEPTANCE_UNKNOWN, {"change": change})
        return [report, Finished(outcome)]
