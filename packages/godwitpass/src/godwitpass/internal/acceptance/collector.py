"""Deletes contents that no version in the history refers to.

Each acceptance sweeps one 256th of the contents, chosen by its version. A content is deleted
only if it is older than the root record, which is read after it: whoever wrote the content for
a swap that is still to come read the root before writing, so that swap is bound to fail.
"""

from godwitpass.ids import Version
from godwitpass.internal.acceptance.record import CONTENT_PREFIX, ROOT_KEY, decode_root
from godwitpass.internal.actions import RecordEvent
from godwitpass.internal.distribution.events import CONTENT_COLLECTED
from godwitpass.internal.requests import Answer, Delete, Get, EntryRead, List, EntriesRead
from godwitpass.store import Entry

SWEEP_PARTITIONS = 256
LIST_TAG, ROOT_TAG, DELETE_TAG = 1, 2, 3


class ContentCollector:
    """Carries out one sweep; it gives up at the first failure, and a later sweep goes on."""

    def __init__(self) -> None:
        self._found: tuple[Entry, ...] = ()

    def start(self, version: Version) -> list[List]:
        """Begin with the share of the contents that `version` stands for."""
        return [List(LIST_TAG, f"{CONTENT_PREFIX}{version % SWEEP_PARTITIONS:02x}")]

    def handle(self, answer: Answer, now: float) -> list[Get | Delete | RecordEvent]:
        """Decide on the answer to a request of this sweep."""
        if isinstance(answer, EntriesRead):
            self._found = answer.result.entries
            return [Get(ROOT_TAG, ROOT_KEY)] if self._found else []
        if isinstance(answer, EntryRead):
            return self._delete_unused(answer.entry)
        return []

    def _delete_unused(self, root: Entry) -> list[Get | Delete | RecordEvent]:
        used = {record.content_hash for record in decode_root(root).history}
        unused = [
            entry
            for entry in self._found
            if _hash_of(entry) not in used and entry.revision < root.revision
        ]
        if not unused:
            return []
        deletes = [Delete(DELETE_TAG, entry.key, entry.revision) for entry in unused]
        return [*deletes, RecordEvent(CONTENT_COLLECTED, {"parts": len(unused)})]


def _hash_of(entry: Entry) -> str:
    return entry.key.removeprefix(CONTENT_PREFIX).partition(".")[0]
