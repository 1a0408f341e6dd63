"""In-memory store in virtual time, with outages, delays and lost answers."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from godwitpass.ids import NO_REVISION, Address, Revision
from godwitpass.internal.requests import (
    Delete,
    EntriesRead,
    EntryRead,
    Get,
    List,
    Put,
    RequestFailed,
    Watch,
    WriteDone,
)
from godwitpass.store import MAX_VALUE_BYTES, Entry, EntryList, WriteResult
from godwitpass_testkit.virtual import VirtualQueue

CALL_OVERHEAD_BYTES = 400
"""HTTP, TCP and IP overhead of a request with its answer."""

WATCH_ANSWER_TIMEOUT_S = 0.7
"""Silence, after the time that a watch may take, by which a client gives it up."""


class MemoryStore:
    """Entries and revisions of the store, without time and faults."""

    def __init__(self) -> None:
        self.revision = NO_REVISION
        self.entries: dict[str, Entry] = {}
        self.changes: list[Entry] = []

    def get(self, key: str) -> Entry:
        """Return the entry at `key`; an absent one has no value and revision 0."""
        return self.entries.get(key, Entry(key, None, NO_REVISION))

    def list(self, prefix: str) -> EntryList:
        """Return all present entries whose key starts with `prefix`."""
        entries = (entry for key, entry in sorted(self.entries.items()) if key.startswith(prefix))
        return EntryList(self.revision, tuple(entries))

    def put(self, key: str, value: bytes | None, expected: Revision | None) -> WriteResult:
        """Write `value`, or delete the key when it is None.

        Does neither if `expected` is given and the entry has another revision.
        """
        assert value is None or len(value) <= MAX_VALUE_BYTES, f"value of {key} is too large"
        current = self.get(key)
        if expected is not None and current.revision != expected:
            return WriteResult(False, current)
        self.revision = Revision(self.revision + 1)
        entry = Entry(key, value, self.revision)
        self.changes.append(entry)
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = entry
        return WriteResult(True, entry)

    def list_changes(self, prefix: str, after: Revision) -> tuple[Entry, ...]:
        """Return the newest entry of each key below `prefix` that changed after `after`."""
        newer: dict[str, Entry] = {}
        for entry in reversed(self.changes):
            if entry.revision <= after:
                break
            if entry.key.startswith(prefix):
                newer.setdefault(entry.key, entry)
        return tuple(sorted(newer.values(), key=lambda entry: entry.revision))


class _PendingWatch:
    """A watch that waits for a change or its timeout."""

    def __init__(self, request: Watch, answer: Callable[[Any], None], ends_at: float) -> None:
        self.request = request
        self.answer = answer
        self.ends_at = ends_at
        self.is_answered = False


class VirtualStore:
    """Executes store requests of the nodes on a `VirtualQueue`.

    `delay_s` is the time from a request to its answer. `lost_answers` is the number of coming
    writes that take effect without an answer. `is_cut_off` tells which addresses can't reach the
    store. Call `set_down` to begin or end an outage. `calls` counts requests by type, and
    `transferred_bytes` estimates the traffic with each address.

    With `answers_watches_late`, a watch is answered only when its time is over. `write_unlisted`
    ends all watches without the change but with its revision; others list it `listing_delay_s`
    later.
    """

    def __init__(self, memory: MemoryStore | None = None) -> None:
        self.memory = memory or MemoryStore()
        self.is_down = False
        self.delay_s = 0.003
        self.lost_answers = 0
        self.answers_watches_late = False
        self.listing_delay_s = 0.0
        self._unlisted_revisions: set[Revision] = set()
        self.is_cut_off: Callable[[Address], bool] = lambda address: False
        self.calls: Counter[str] = Counter()
        self.call_counts_by_second: Counter[int] = Counter()
        self.transferred_bytes: Counter[Address] = Counter()
        self._pending_watches: list[_PendingWatch] = []

    def perform(self, queue: VirtualQueue, address: Address, action: Any) -> None:
        """Execute `action` if it is a store request; usable as `VirtualQueue.perform`."""
        if not isinstance(action, Get | Put | Delete | List | Watch):
            return
        self.calls[type(action).__name__] += 1
        self.call_counts_by_second[int(queue.now)] += 1
        self.transferred_bytes[address] += CALL_OVERHEAD_BYTES
        if isinstance(action, Put):
            self.transferred_bytes[address] += len(action.value)
        queue.call_at(queue.now + self.delay_s / 2, lambda: self._execute(queue, address, action))

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage; its start makes all waiting watches fail."""
        self.is_down = is_down
        if is_down:
            for watch in self._pending_watches:
                self._answer_once(watch, RequestFailed(watch.request.tag))
            self._pending_watches.clear()

    def silence_watches(self, queue: VirtualQueue) -> None:
        """Leave all waiting watches without an answer, so that the clients give them up."""
        for watch in self._pending_watches:
            given_up_at = watch.ends_at + WATCH_ANSWER_TIMEOUT_S

            def give_up(watch: _PendingWatch = watch) -> None:
                watch.answer(RequestFailed(watch.request.tag))

            if not watch.is_answered:
                queue.call_at(given_up_at, give_up)
                watch.is_answered = True
        self._pending_watches.clear()

    def write_unlisted(self, queue: VirtualQueue, key: str, value: bytes) -> Revision:
        """Write at once; watches list the change only after `listing_delay_s`."""
        revision = self.memory.put(key, value, None).entry.revision
        self._unlisted_revisions.add(revision)
        for watch in self._pending_watches:
            empty = EntriesRead(watch.request.tag, EntryList(revision, ()))
            self._answer_once(watch, empty)
        self._pending_watches.clear()

        def list_change() -> None:
            self._unlisted_revisions.discard(revision)
            self._answer_watches()

        queue.call_at(queue.now + self.listing_delay_s, list_change)
        return revision

    def write(self, key: str, value: bytes | None, expected: Revision | None = None) -> WriteResult:
        """Write at once, without delay or faults, and answer the affected watches."""
        result = self.memory.put(key, value, expected)
        if result.written:
            self._answer_watches()
        return result

    def _execute(self, queue: VirtualQueue, address: Address, action: Any) -> None:
        def answer(event: Any) -> None:
            if self.is_cut_off(address):
                event = RequestFailed(
                    action.tag, is_outcome_unknown=isinstance(action, Put | Delete)
                )
            self.transferred_bytes[address] += _count_bytes(event)
            queue.post_at(queue.now + self.delay_s / 2, address, event)

        if self.is_down or self.is_cut_off(address):
            answer(RequestFailed(action.tag))
        elif isinstance(action, Get):
            entry = self.memory.get(action.key)
            revision = self.memory.revision
            answer(EntryRead(action.tag, msgspec.structs.replace(entry, store_revision=revision)))
        elif isinstance(action, List):
            answer(EntriesRead(action.tag, self.memory.list(action.prefix)))
        elif isinstance(action, Watch):
            self._add_watch(queue, action, answer)
        else:
            self._write(action, answer)

    def _write(self, action: Put | Delete, answer: Callable[[Any], None]) -> None:
        value = action.value if isinstance(action, Put) else None
        result = self.write(action.key, value, action.expected)
        if self.lost_answers:
            self.lost_answers -= 1
            answer(RequestFailed(action.tag, is_outcome_unknown=True))
        else:
            answer(WriteDone(action.tag, result))

    def _add_watch(self, queue: VirtualQueue, action: Watch, answer: Callable[[Any], None]) -> None:
        watch = _PendingWatch(action, answer, queue.now + action.timeout_s)
        if self.answers_watches_late or not self._try_answer(watch):
            self._pending_watches.append(watch)
            queue.call_at(watch.ends_at, lambda: self._end_watch(watch))

    def _end_watch(self, watch: _PendingWatch) -> None:
        if not watch.is_answered and not self._try_answer(watch):
            empty = EntriesRead(watch.request.tag, EntryList(self.memory.revision, ()))
            self._answer_once(watch, empty)

    def _answer_watches(self) -> None:
        if self.answers_watches_late:
            return
        self._pending_watches = [
            watch
            for watch in self._pending_watches
            if not watch.is_answered and not self._try_answer(watch)
        ]

    def _try_answer(self, watch: _PendingWatch) -> bool:
        changes = tuple(
            entry
            for entry in self.memory.list_changes(watch.request.prefix, watch.request.after)
            if entry.revision not in self._unlisted_revisions
        )
        if changes:
            result = EntryList(self.memory.revision, changes)
            self._answer_once(watch, EntriesRead(watch.request.tag, result))
        return bool(changes)

    @staticmethod
    def _answer_once(watch: _PendingWatch, event: Any) -> None:
        if not watch.is_answered:
            watch.is_answered = True
            watch.answer(event)


def _count_bytes(event: Any) -> int:
    """Return the total size of the values in an answer."""
    if isinstance(event, EntryRead):
        return len(event.entry.value or b"")
    if isinstance(event, EntriesRead):
        return sum(len(entry.value or b"") for entry in event.result.entries)
    return 0
