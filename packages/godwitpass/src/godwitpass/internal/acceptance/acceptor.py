"""Decides whether one proposed document becomes the next version.

The acceptor writes the content first and then accepts it by one compare-and-swap of the root
record. If the response to the swap is lost, the change id in the record's history shows whether
it took effect. The swap expects the revision that was read before, so a proposer that was paused
can't overwrite changes made in the meantime.
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
from godwitpass.internal.requests import Answer, EntryRead, Get, Put, RequestFailed, WriteDone
from godwitpass.snapshot import Snapshot
from godwitpass.store import Entry, WriteResult

ACCEPTANCE_TIMEOUT_S = 5.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0


class Proposal(msgspec.Struct, frozen=True):
    """Event: requests the acceptance of `document`.

    `held_snapshot` is the version that this daemon holds, and `if_version` the one that the change
    is based on, if given. If the store contradicts the held version, only a proposal based on the
    held version is accepted, and becomes its successor. `proposed_at_s` is in seconds since the
    epoch.
    """

    document: Document
    change: ChangeId
    if_version: Version | None
    held_snapshot: Snapshot | None
    proposed_at_s: float


class Conflict(msgspec.Struct, frozen=True):
    """Another change was accepted first; this one was not and will not be accepted."""

    current: Version
    winner: ChangeId


class StoreRegressed(msgspec.Struct, frozen=True):
    """The store contradicts the version that this daemon holds; nothing was accepted.

    Its newest version is lower, or is the same version with different content.
    """

    held_version: Version
    stored_version: Version


class NotAccepted(msgspec.Struct, frozen=True):
    """The store did not answer in time; nothing was accepted."""


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """The change may or may not have been accepted: no response to the swap arrived."""


Outcome = AcceptedVersion | Conflict | StoreRegressed | NotAccepted | OutcomeUnknown


class Finished(msgspec.Struct, frozen=True):
    """Action: reports the outcome to the proposer; the last action of an acceptor."""

    outcome: Outcome


class Step(Enum):
    """What the acceptor waits for."""

    ROOT = 0
    CONTENT = 1
    SWAP = 2
    DONE = 3


Action = Get | Put | SetTimer | RecordEvent | Finished


class Acceptor:
    """Carries one proposal through to its outcome."""

    def __init__(self, proposal: Proposal, generator: random.Random) -> None:
        self._proposal = proposal
        self._random = generator
        self._content_hash = hash_content(encode_canonical(proposal.document))
        self._parts = split_content(encode_full(proposal.document))
        self._step = Step.ROOT
        self._tag = 0
        self._part_index = 0
        self._proposed_version: AcceptedVersion | None = None
        self._encoded_root = b""
        self._expected_revision = Revision(0)
        self._is_swap_uncertain = False
        self._backoff_s = MIN_BACKOFF_S
        self._retry_at = math.inf
        self._deadline = math.inf

    def handle(self, event: Proposal | Answer | TimerFired, now: float) -> list[Action]:
        """Return the actions that `event` causes; the first event must be the proposal."""
        if self._step is Step.DONE:
            return []
        if isinstance(event, Proposal):
            self._deadline = now + ACCEPTANCE_TIMEOUT_S
            return [SetTimer(self._deadline), *self._send_request()]
        if isinstance(event, TimerFired):
            return self._handle_timer(now)
        if event.tag != self._tag or self._retry_at < math.inf:
            return []
        if isinstance(event, RequestFailed):
            return self._schedule_retry(event.is_outcome_unknown, now)
        self._backoff_s = MIN_BACKOFF_S
        if isinstance(event, EntryRead):
            return self._handle_root(event.entry)
        assert isinstance(event, WriteDone), "an acceptor only reads and writes single entries"
        return self._handle_write_result(event.result)

    def _handle_timer(self, now: float) -> list[Action]:
        if now >= self._deadline:
            may_have_swapped = self._is_swap_uncertain or (
                self._step is Step.SWAP and self._retry_at == math.inf
            )
            return self._finish(OutcomeUnknown() if may_have_swapped else NotAccepted())
        if now >= self._retry_at:
            self._retry_at = math.inf
            return self._send_request()
        return []

    def _send_request(self) -> list[Action]:
        """Send the request of the current step."""
        self._tag += 1
        if self._step is Step.ROOT:
            return [Get(self._tag, ROOT_KEY)]
        if self._step is Step.CONTENT:
            key = build_content_key(self._content_hash, self._part_index)
            return [Put(self._tag, key, self._parts[self._part_index], None)]
        return [Put(self._tag, ROOT_KEY, self._encoded_root, self._expected_revision)]

    def _schedule_retry(self, is_outcome_unknown: bool, now: float) -> list[Action]:
        if self._step is Step.SWAP:
            self._is_swap_uncertain = self._is_swap_uncertain or is_outcome_unknown
            self._step = Step.ROOT
        self._retry_at = now + self._backoff_s * self._random.uniform(0.5, 1.5)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        return [SetTimer(self._retry_at)]

    def _handle_root(self, entry: Entry) -> list[Action]:
        root = decode_root(entry)
        accepted = root.find_change(self._proposal.change)
        if accepted is not None:
            return self._finish(accepted)
        if self._is_swap_uncertain:
            return self._retry_uncertain_swap(root, entry.revision)
        base_version, rejection = self._choose_base(root)
        if rejection is not None:
            return self._finish(rejection)
        self._prepare_root(root, base_version)
        self._expected_revision = entry.revision
        self._step = Step.CONTENT
        return self._send_request()

    def _retry_uncertain_swap(self, root: RootRecord, revision: Revision) -> list[Action]:
        """Repeat a swap whose response was lost, unless the root has changed since."""
        if revision != self._expected_revision:
            return self._finish(Conflict(root.version, root.newest.change))
        self._step = Step.SWAP
        return self._send_request()

    def _choose_base(self, root: RootRecord) -> tuple[Version, Outcome | None]:
        """Return the version to build on, and the outcome if the proposal can't be accepted."""
        held_snapshot, expected_version = self._proposal.held_snapshot, self._proposal.if_version
        base_version = root.version
        if held_snapshot is not None and self._contradicts_store(held_snapshot, root):
            if expected_version != held_snapshot.version:
                return base_version, StoreRegressed(held_snapshot.version, root.version)
            base_version = held_snapshot.version
        if expected_version is not None and expected_version != base_version:
            return base_version, Conflict(base_version, root.newest.change)
        return base_version, None

    @staticmethod
    def _contradicts_store(held_snapshot: Snapshot, root: RootRecord) -> bool:
        has_same_version = held_snapshot.version == root.version
        return held_snapshot.version > root.version or (
            has_same_version and held_snapshot.content_hash != root.newest.content_hash
        )

    def _prepare_root(self, root: RootRecord, base_version: Version) -> None:
        proposal, held_snapshot = self._proposal, self._proposal.held_snapshot
        version = Version(base_version + 1)
        self._proposed_version = AcceptedVersion(
            version, proposal.change, self._content_hash, proposal.proposed_at_s
        )
        delta = None
        if base_version == NO_VERSION or (
            held_snapshot is not None and held_snapshot.version == base_version
        ):
            base_document = (
                held_snapshot.document
                if held_snapshot is not None
                else Document(proposal.document.format)
            )
            delta = encode_delta(base_document, proposal.document)
        self._encoded_root = encode_root(append_version(root, self._proposed_version, delta))
        self._part_index = 0

    def _handle_write_result(self, result: WriteResult) -> list[Action]:
        if self._step is Step.CONTENT:
            self._part_index += 1
            if self._part_index == len(self._parts):
                self._step = Step.SWAP
            return self._send_request()
        if result.written:
            assert self._proposed_version is not None
            return self._finish(self._proposed_version)
        root = decode_root(result.entry)
        accepted = root.find_change(self._proposal.change)
        return self._finish(accepted or Conflict(root.version, root.newest.change))

    def _finish(self, outcome: Outcome) -> list[Action]:
        self._step = Step.DONE
        change = self._proposal.change
        match outcome:
            case AcceptedVersion():
                report = RecordEvent(
                    events.VERSION_ACCEPTED, {"change": change, "accepted": outcome.version}
                )
            case Conflict():
                conflict_fields = {"change": change, "winner": outcome.winner}
                report = RecordEvent(events.VERSION_REFUSED, dict(conflict_fields))
            case StoreRegressed():
                version_fields = {"held": outcome.held_version, "stored": outcome.stored_version}
                report = RecordEvent(events.ROOT_WENT_BACK, dict(version_fields))
            case NotAccepted():
                report = RecordEvent(events.VERSION_NOT_ACCEPTED, {"change": change})
            case OutcomeUnknown():
                report = RecordEvent(events.ACCEPTANCE_UNKNOWN, {"change": change})
        return [report, Finished(outcome)]
