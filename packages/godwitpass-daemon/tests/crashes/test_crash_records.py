"""Tests of the records of crashes in the store."""

import random
import time
from collections.abc import Callable

import anyio
import pytest

from godwitpass.errors import StoreUnavailable
from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address
from godwitpass.internal.crashes.fingerprint import compute_fingerprint
from godwitpass.internal.crashes.messages import CrashCounts, SuspectReport
from godwitpass.internal.crashes.records import build_key, encode_record
from godwitpass.store import EntryList
from godwitpass_daemon.services import crash_records
from godwitpass_daemon.services.crash_records import CrashRecords
from godwitpass_testkit.store.fake import FakeStore
from godwitpass_testkit.store.faults import Faults
from godwitpass_testkit.store.state import StoreState

ADDRESS, OTHER_ADDRESS = Address("10.0.0.1:7000"), Address("10.0.0.2:7000")
TIMEOUT_S, STEP_S = 10.0, 0.01
FINGERPRINT = compute_fingerprint("maal", "POST", b"/scans", b"poison")
REPORT = SuspectReport(FINGERPRINT, ADDRESS, CrashCounts(3, 3, 3), 500)
OTHER_REPORT = SuspectReport(FINGERPRINT, OTHER_ADDRESS, CrashCounts(1, 1, 1), 500)


class UnlistedStore(FakeStore):
    """A store that answers no list."""

    async def list_cached(self, prefix: str) -> EntryList:
        raise StoreUnavailable("no lists")


class Recorder:
    """What a daemon restores and would record, and the log of its records."""

    def __init__(self, store: FakeStore) -> None:
        self.reports: tuple[SuspectReport, ...] = ()
        self.restored: list[SuspectReport] = []
        self.failures = 0
        self.records = CrashRecords(
            store, ADDRESS, lambda: self.reports, self._restore, self, random.Random(1)
        )

    def _restore(self, reports: tuple[SuspectReport, ...]) -> None:
        self.restored += reports

    def emit(self, kind: EventKind, /, **fields: FieldValue) -> None:
        self.failures += kind.name == "crash-record-failed"


async def wait_until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(TIMEOUT_S):
        while not condition():
            await anyio.sleep(STEP_S)


def put(state: StoreState, address: Address, value: bytes) -> None:
    state.put(build_key(address), value, None, None, time.monotonic())


def is_recorded(state: StoreState) -> bool:
    return state.get(build_key(ADDRESS), time.monotonic()).value is not None


def now_ms() -> int:
    return time.time_ns() // 1_000_000


class TestWrites:
    def test_many_requests_of_one_crash_take_one_write(self) -> None:
        async def run() -> None:
            state = StoreState()
            recorder = Recorder(FakeStore(state, time.monotonic))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(recorder.records.run)
                recorder.reports = (REPORT,)
                for _ in range(20):
                    recorder.records.update()
                await wait_until(lambda: is_recorded(state))
                await anyio.sleep(crash_records.MIN_WRITE_INTERVAL_S * 1.5)
                tasks.cancel_scope.cancel()
            # One of the two writes grants the lease.
            assert state.counts.writes == 2

        anyio.run(run)

    def test_nothing_is_written_without_a_crash(self) -> None:
        async def run() -> None:
            state = StoreState()
            recorder = Recorder(FakeStore(state, time.monotonic))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(recorder.records.run)
                await anyio.sleep(0.2)
                tasks.cancel_scope.cancel()
            assert (state.counts.writes, state.counts.reads) == (0, 1)

        anyio.run(run)

    def test_the_first_write_keeps_what_an_earlier_process_has_recorded(self) -> None:
        # Guards against a second crash that overwrites the first one after a restart.
        async def run() -> None:
            state = StoreState()
            put(state, ADDRESS, encode_record((OTHER_REPORT,), now_ms()))
            recorder = Recorder(UnlistedStore(state, time.monotonic))
            recorder.reports = (REPORT,)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(recorder.records.run)
                recorder.records.update()
                await wait_until(lambda: state.counts.writes == 3)
                tasks.cancel_scope.cancel()
            assert [report.reporter for report in recorder.restored] == [OTHER_ADDRESS]

        anyio.run(run)

    @pytest.mark.parametrize("loss", ["restored", "lease ended"])
    def test_a_record_that_the_store_lost_is_written_again(
        self, loss: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(crash_records, "CHECK_INTERVAL_S", 0.05)
        monkeypatch.setattr(crash_records, "MIN_WRITE_INTERVAL_S", 0.01)

        async def run() -> None:
            state = StoreState()
            backup = state.save()
            recorder = Recorder(FakeStore(state, time.monotonic))
            recorder.reports = (REPORT,)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(recorder.records.run)
                recorder.records.update()
                await wait_until(lambda: is_recorded(state))
                if loss == "restored":
                    state.restore(backup)
                else:
                    state.expire_all_leases(time.monotonic())
                assert not is_recorded(state)
                await wait_until(lambda: is_recorded(state))
                tasks.cancel_scope.cancel()

        anyio.run(run)


class TestFailingStores:
    def test_records_are_read_and_written_once_the_store_is_back(self) -> None:
        async def run() -> None:
            state = StoreState()
            put(state, OTHER_ADDRESS, encode_record((OTHER_REPORT,), now_ms()))
            recorder = Recorder(FakeStore(state, time.monotonic))
            recorder.reports = (REPORT,)
            state.faults = Faults(down=True)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(recorder.records.run)
                recorder.records.update()
                await wait_until(lambda: recorder.failures >= 2)
                assert not recorder.restored
                state.faults = Faults()
                await wait_until(lambda: is_recorded(state) and bool(recorder.restored))
                tasks.cancel_scope.cancel()
            assert recorder.restored[0].reporter == OTHER_ADDRESS

        anyio.run(run)

    def test_an_odd_record_does_not_hide_the_others(self) -> None:
        async def run() -> None:
            state = StoreState()
            put(state, ADDRESS, b"odd")
            put(state, OTHER_ADDRESS, encode_record((OTHER_REPORT,), now_ms()))
            recorder = Recorder(FakeStore(state, time.monotonic))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(recorder.records.run)
                await wait_until(lambda: bool(recorder.restored))
                tasks.cancel_scope.cancel()
            assert recorder.failures == 1

        anyio.run(run)
