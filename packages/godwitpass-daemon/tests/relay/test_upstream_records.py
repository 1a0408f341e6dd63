"""Tests of the records by which a restarted daemon identifies its upstream."""

import random
from typing import cast

import anyio
import msgspec
import pytest

from godwitpass.errors import StoreUnavailable
from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address, InstanceId, Revision, ServiceName
from godwitpass.store import Entry, Store, WriteResult
from godwitpass_daemon.relay.upstream_records import (
    PREFIX,
    WRITE_DELAY_S,
    UpstreamRecord,
    UpstreamRecords,
)

ADDRESS = Address("10.0.0.1:80")
RECORD = UpstreamRecord(InstanceId("i-1"), ServiceName("desk"), 12, 1_000, "/healthz")
VALUE = msgspec.msgpack.encode(RECORD)


class OneEntryStore:
    """A store with one entry, whose first call fails with `error`."""

    def __init__(self, value: bytes | None, error: Exception | None = None) -> None:
        self.value = value
        self.error = error
        self.writes = 0

    def _fail(self) -> None:
        error, self.error = self.error, None
        if error is not None:
            raise error

    async def get_cached(self, key: str) -> Entry:
        self._fail()
        return Entry(key, self.value, Revision(1))

    async def put(self, key: str, value: bytes, expected: Revision | None) -> WriteResult:
        assert key == PREFIX + ADDRESS and expected is None
        self._fail()
        self.writes += 1
        self.value = value
        return WriteResult(True, Entry(key, value, Revision(2)))


def build_records(store: OneEntryStore) -> tuple[UpstreamRecords, list[dict[str, FieldValue]]]:
    events: list[dict[str, FieldValue]] = []

    def emit(kind: EventKind, fields: dict[str, FieldValue]) -> None:
        events.append(fields)

    records = UpstreamRecords(cast(Store, store), ADDRESS, lambda: 1, random.Random(1), emit)
    return records, events


class TestReads:
    def test_a_record_is_read_as_it_was_written(self) -> None:
        records, _ = build_records(OneEntryStore(VALUE))
        assert anyio.run(records.read) == RECORD

    @pytest.mark.parametrize(
        "value",
        [
            b"\x91" * 100_000,
            b"",
            msgspec.msgpack.encode({"upstream": "i-1"}),
            VALUE.replace(b"/healthz", b"/a b\r\n\r\n"),
        ],
        ids=["nested", "empty", "incomplete", "path"],
    )
    def test_an_odd_record_is_reported_and_not_used(self, value: bytes) -> None:
        records, events = build_records(OneEntryStore(value))
        assert anyio.run(records.read) is None
        assert [event["operation"] for event in events] == ["read"]

    @pytest.mark.parametrize("error", [StoreUnavailable("503"), KeyError("an error of ours")])
    def test_a_store_that_fails_leaves_the_daemon_without_a_record(self, error: Exception) -> None:
        records, events = build_records(OneEntryStore(VALUE, error))
        assert anyio.run(records.read) is None
        assert len(events) == 1


class TestWrites:
    def write(self, store: OneEntryStore) -> None:
        async def run() -> None:
            records, _ = build_records(store)
            await records.read()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(records.run)
                for _ in range(3):
                    records.update(RECORD)
                    await anyio.sleep(WRITE_DELAY_S / 2)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_a_record_is_written_once(self) -> None:
        store = OneEntryStore(None)
        self.write(store)
        assert store.writes == 1 and store.value == VALUE

    def test_a_record_that_is_stored_is_not_written_again(self) -> None:
        store = OneEntryStore(VALUE)
        self.write(store)
        assert not store.writes
