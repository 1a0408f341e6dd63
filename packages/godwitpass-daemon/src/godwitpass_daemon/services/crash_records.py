"""Records of crashes in the store: read after a start, written after each crash."""

import random
import time
from collections.abc import Awaitable, Callable

import anyio

from godwitpass.errors import StoreUnavailable
from godwitpass.events import EventKind
from godwitpass.ids import Address, LeaseId
from godwitpass.internal.crashes import events
from godwitpass.internal.crashes.messages import SuspectReport
from godwitpass.internal.crashes.records import (
    NS_PER_MS,
    PREFIX,
    build_key,
    decode_record,
    encode_record,
)
from godwitpass.internal.crashes.suspects import SHARED_S
from godwitpass.store import Entry, Store
from godwitpass_daemon.services.ports import Events

SECOND_READ_S = 2.0
"""Time after the first read of a second one, as a cached read may be some seconds old."""

MIN_WRITE_INTERVAL_S = 1.0
CHECK_INTERVAL_S = 30.0
"""Interval in which a daemon checks that the store, which may go back, still has its record."""

MIN_RETRY_S = 0.5
MAX_RETRY_S = 30.0


class CrashRecords:
    """Keeps the record of one daemon, and restores those of all daemons after a start.

    A record is written once for a crash and lives as long as other daemons are told of its
    requests. Until the records are read, nothing is known of earlier crashes, and nothing refused.
    """

    def __init__(
        self,
        store: Store,
        address: Address,
        list_reports: Callable[[], tuple[SuspectReport, ...]],
        restore: Callable[[tuple[SuspectReport, ...]], None],
        log: Events,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._key = build_key(address)
        self._list_reports = list_reports
        self._restore = restore
        self._log = log
        self._rng = rng
        self._changed = anyio.Event()
        self._has_read_own = False
        self._recorded: bytes | None = None
        self._lease: LeaseId | None = None

    def update(self) -> None:
        """Write the record soon, because the reports changed."""
        self._changed.set()

    async def run(self) -> None:
        """Read the records of all daemons, and write the own one; run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_after_start)
            tasks.start_soon(self._write_changes)

    async def _read_after_start(self) -> None:
        await self._repeat("read", self._read_all)
        await anyio.sleep(SECOND_READ_S * self._rng.uniform(1.0, 1.25))
        await self._repeat("read", self._read_all)

    async def _write_changes(self) -> None:
        while True:
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await self._changed.wait()
            if self._changed.is_set():
                self._changed = anyio.Event()
                await self._repeat("write", self._write)
                await anyio.sleep(MIN_WRITE_INTERVAL_S)
            elif self._recorded is not None:
                await self._repeat("check", self._check)

    async def _repeat(self, operation: str, call: Callable[[], Awaitable[None]]) -> None:
        """Call the store until it answers."""
        retry_s = MIN_RETRY_S
        while True:
            try:
                await call()
                return
            except Exception as error:
                # In a task of the kernel, an error that nobody expects would end the whole daemon.
                self._log_failure(operation, error)
            await anyio.sleep(retry_s * self._rng.uniform(0.5, 1.5))
            retry_s = min(2 * retry_s, MAX_RETRY_S)

    async def _read_all(self) -> None:
        found = await self._store.list_cached(PREFIX)
        reports = sum(self._restore_entry(entry) for entry in found.entries)
        fields = {"records": len(found.entries), "reports": reports}
        self._emit(events.RECORDS_READ, **fields)

    async def _write(self) -> None:
        if not self._has_read_own:
            # The write replaces what an earlier process of this daemon has recorded.
            self._restore_entry(await self._store.get(self._key))
            self._has_read_own = True
        reports = self._list_reports()
        if not reports:
            self._recorded = None
            return
        value = encode_record(reports, _read_clock_ms())
        result = await self._store.put(self._key, value, None, await self._prepare_lease())
        if not result.written:
            raise StoreUnavailable("the record was not written")
        self._recorded = value
        self._emit(events.RECORD_WRITTEN, reports=len(reports), bytes=len(value))

    async def _check(self) -> None:
        """Write the record again if the store has lost it."""
        entry = await self._store.get_cached(self._key)
        if entry.value != self._recorded:
            await self._write()

    async def _prepare_lease(self) -> LeaseId:
        if self._lease is None or not await self._store.renew_lease(self._lease):
            self._lease = await self._store.grant_lease(SHARED_S)
        return self._lease

    def _restore_entry(self, entry: Entry) -> int:
        """Restore the reports of a record, and return their number; an odd record has none."""
        if entry.value is None:
            return 0
        try:
            reports = decode_record(entry.value, _read_clock_ms())
        except ValueError as error:
            self._log_failure(f"decode {entry.key}", error)
            return 0
        self._restore(reports)
        return len(reports)

    def _log_failure(self, operation: str, error: Exception) -> None:
        self._emit(events.RECORD_FAILED, operation=operation, reason=repr(error))

    def _emit(self, kind: EventKind, **fields: str | int) -> None:
        self._log.emit(kind, **fields)


def _read_clock_ms() -> int:
    return time.time_ns() // NS_PER_MS
