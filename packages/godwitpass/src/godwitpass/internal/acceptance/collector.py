"""Garbage collection of stored content that no version in the history refers to.

Each acceptance sweeps one 256th of the stored entries, which the new version selects. An entry is
deleted only if its revision is lower than that of the root record, which is read after it. A
proposer whose swap is still pending read the root before it wrote the content, so its swap
expects an outdated revision and fails.
"""

from godwitpass.ids import Version
from godwitpass.internal.acceptance.record import CONTENT_PREFIX, ROOT_KEY, decode_root
from godwitpass.internal.actions import RecordEvent
from godwitpass.internal.distribution.events import CONTENT_COLLECTED
from godwitpass.internal.requests import Answer, Delete, EntriesRead, EntryRead, Get, List
from godwitpass.store import Entry

SWEEP_PARTITIONS = 256
LIST_TAG, ROOT_TAG, DELETE_TAG = 1, 2, 3


class ContentCollector:
    """Performs one sweep; it stops at the first failure, and a later sweep retries."""

    def __init__(self) -> None:
        self._candidates: tuple[Entry, ...] = ()

    def start(self, version: Version) -> list[List]:
        """List the content entries in the partition of hash prefixes that `version` selects."""
        return [List(LIST_TAG, f"{CONTENT_PREFIX}{version % SWEEP_PARTITIONS:02x}")]

    def handle(self, answer: Answer, now: float) -> list[Get | Delete | RecordEvent]:
        """Return the next actions after the answer to a request of this sweep."""
        if isinstance(answer, EntriesRead):
            self._candidates = answer.result.entries
            return [Get(ROOT_TAG, ROOT_KEY)] if self._candidates else []
        if isinstance(answer, EntryRead):
            return self._delete_unused(answer.entry)
        return []

    def _delete_unused(self, root: Entry) -> list[Get | Delete | RecordEvent]:
        used_hashes = {record.content_hash for record in decode_root(root).history}
        unused = [
            entry
            for entry in self._candidates
            if _parse_content_hash(entry) not in used_hashes and entry.revision < root.revision
        ]
        if not unused:
            return []
        deletes = [Delete(DELETE_TAG, entry.key, entry.revision) for entry in unused]
        return [*deletes, RecordEvent(CONTENT_COLLECTED, {"parts": len(unused)})]


def _parse_content_hash(entry: Entry) -> str:
    return entry.key.removeprefix(CONTENT_PREFIX).partition(".")[0]
