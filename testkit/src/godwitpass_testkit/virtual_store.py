"""An in-memory store under virtual time, with outages, slowness and lost answers."""

from collections import Counter
from collections.abc import Callable
from typing import Any

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
"""Bytes of HTTP, TCP and IP around one call and its answer."""


class MemoryStore:
    """Keys, values and revisions, without time or faults."""

    def __init__(self) -> None:
        self.revision = NO_REVISION
        self.entries: dict[str, Entry] = {}
        self.log: list[Entry] = []

    def get(self, key: str) -> Entry:
        """Return the entry at `key`; an absent one has no value and revision 0."""
        return self.entries.get(key, Entry(key, None, NO_REVISION))

    def list(self, prefix: str) -> EntryList:
        """Return all present entries below `prefix`."""
        found = (entry for key, entry in sorted(self.entries.items()) if key.startswith(prefix))
        return EntryList(self.revision, tuple(found))

    def put(self, key: str, value: bytes | None, expected: Revision | None) -> WriteResult:
        """Write `value`, or delete when it is None, if the entry is at `expected`."""
        assert value is None or len(value) <= MAX_VALUE_BYTES, f"value of {key} is too large"
        current = self.get(key)
        if expected is not None and current.revision != expected:
            return WriteResult(False, current)
        self.revision = Revision(self.revision + 1)
        entry = Entry(key, value, self.revision)
        self.log.append(entry)
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = entry
        return WriteResult(True, entry)

    def changes(self, prefix: str, after: Revision) -> tuple[Entry, ...]:
        """Return the keys below `prefix` that changed after `after`, each with its last entry."""
        newer: dict[str, Entry] = {}
        for entry in reversed(self.log):
            if entry.revision <= after:
                break
            if entry.key.startswith(prefix):
                newer.setdefault(entry.key, entry)
        return tuple(sorted(newer.values(), key=lambda entry: entry.revision))


class _Waiter:
    """One watch that has not been answered."""

    def __init__(self, request: Watch, answer: Callable[[Any], None]) -> None:
        self.request = request
        self.answer = answer
        self.done = False


class VirtualStore:
    """Performs store requests of nodes on a `VirtualQueue`.

    Set `down` to refuse requests, `delay_s` to slow them, `lost_answers` to lose the answers of
    that many coming writes after they took effect. `is_cut_off` holds addresses that can't reach it.
    """

    def __init__(self, memory: MemoryStore | None = None) -> None:
        self.memory = memory or MemoryStore()
        self.is_down = False
        self.delay_s = 0.003
        self.lost_answers = 0
        self.is_cut_off: Callable[[Address], bool] = lambda address: False
        self.calls: Counter[str] = Counter()
        self.call_counts_by_second: Counter[int] = Counter()
        self.bytes: Counter[Address] = Counter()
        self._waiters: list[_Waiter] = []

    def perform(self, queue: VirtualQueue, address: Address, action: Any) -> None:
        """Perform `action` if it is a store request; meant for `VirtualQueue.perform`."""
        if not isinstance(action, Get | Put | Delete | List | Watch):
            return
        self.calls[type(action).__name__] += 1
        self.call_counts_by_second[int(queue.now)] += 1
        self.bytes[address] += CALL_OVERHEAD_BYTES
        if isinstance(action, Put):
            self.bytes[address] += len(action.value)
        queue.call_at(queue.now + self.delay_s / 2, lambda: self._execute(queue, address, action))

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; it ends all waiting watches."""
        self.is_down = is_down
        if down:
            for waiter in self._waiters:
                self._finish(waiter, RequestFailed(waiter.request.tag))
            self._waiters.clear()

    def write(self, key: str, value: bytes | None, expected: Revision | None = None) -> WriteResult:
        """Write directly, as a client outside the test would, and wake watches."""
        result = self.memory.put(key, value, expected)
        if result.written:
            self._wake_waiters()
        return result

    def _execute(self, queue: VirtualQueue, address: Address, action: Any) -> None:
        def answer(event: Any) -> None:
            if self.is_cut_off(address):
                event = RequestFailed(
                    action.tag, is_outcome_unknown=isinstance(action, Put | Delete)
                )
            self.bytes[address] += _count_bytes(event)
            queue.post_at(queue.now + self.delay_s / 2, address, event)

        if self.is_down or self.is_cut_off(address):
            answer(RequestFailed(action.tag))
        elif isinstance(action, Get):
            answer(EntryRead(action.tag, self.memory.get(action.key)))
        elif isinstance(action, List):
            answer(EntriesRead(action.tag, self.memory.list(action.prefix)))
        elif isinstance(action, Watch):
            self._wait(queue, action, answer)
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

    def _wait(self, queue: VirtualQueue, action: Watch, answer: Callable[[Any], None]) -> None:
        waiter = _Waiter(action, answer)
        if not self._try_finish(waiter):
            self._waiters.append(waiter)
            empty = EntriesRead(action.tag, EntryList(self.memory.revision, ()))
            queue.call_at(queue.now + action.timeout_s, lambda: self._finish(waiter, empty))

    def _wake_waiters(self) -> None:
        self._waiters = [
            waiter for waiter in self._waiters if not waiter.done and not self._try_finish(waiter)
        ]

    def _try_finish(self, waiter: _Waiter) -> bool:
        changes = self.memory.changes(waiter.request.prefix, waiter.request.after)
        if changes:
            result = EntryList(self.memory.revision, changes)
            self._finish(waiter, EntriesRead(waiter.request.tag, result))
        return bool(changes)

    @staticmethod
    def _finish(waiter: _Waiter, event: Any) -> None:
        if not waiter.done:
            waiter.done = True
            waiter.answer(event)


def _count_bytes(event: Any) -> int:
    """Return the size of the values in an answer."""
    if isinstance(event, EntryRead):
        return len(event.entry.value or b"")
    if isinstance(event, EntriesRead):
        return sum(len(entry.value or b"") for entry in event.result.entries)
    return 0
