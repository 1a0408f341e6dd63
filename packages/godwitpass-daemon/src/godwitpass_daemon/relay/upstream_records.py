"""Records of upstreams in the store, by which a restarted daemon identifies its own at once."""

import random
from collections.abc import Callable
from typing import Annotated

import anyio
import msgspec
from msgspec import Meta

from godwitpass.events import FieldValue
from godwitpass.ids import Address, InstanceId, ServiceName
from godwitpass.internal.relay import events as kinds
from godwitpass.internal.relay.registration import MAX_SLOTS, MAX_STARTED_MS, Heartbeat
from godwitpass.store import Store
from godwitpass_daemon.relay.call_log import Emit

PREFIX = "upstreams/"
WRITES_PER_S = 50.0
"""Writes of all daemons together after a common start, a part of what the store accepts."""

WRITE_DELAY_S = 2.0
"""Time after a registration before its record is written."""

MIN_RETRY_S = 2.0
MAX_RETRY_S = 60.0

_encoder = msgspec.msgpack.Encoder()


class UpstreamRecord(msgspec.Struct, frozen=True):
    """What never changes of one start of an upstream, and the path of its health check."""

    upstream: Annotated[InstanceId, Meta(min_length=1)]
    service: Annotated[ServiceName, Meta(min_length=1)]
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    started_ms: Annotated[int, Meta(ge=0, le=MAX_STARTED_MS)]
    health_path: Annotated[str, Meta(pattern="^/[!-~]*$")]


_decoder = msgspec.msgpack.Decoder(UpstreamRecord)


def build_record(heartbeat: Heartbeat, health_path: str) -> UpstreamRecord:
    """Build the record of a registered upstream."""
    return UpstreamRecord(
        heartbeat.upstream, heartbeat.service, heartbeat.slots, heartbeat.started_ms, health_path
    )


def build_claim(record: UpstreamRecord, address: Address) -> Heartbeat:
    """Build the heartbeat that a record stands for; any other one of the upstream is newer."""
    return Heartbeat(
        record.upstream, record.service, address, record.slots, False, 0, record.started_ms
    )


class UpstreamRecords:
    """Keeps the record of the upstream at one address.

    The record is a hint that a health check has to confirm, so it may be missing or old.
    """

    def __init__(
        self,
        store: Store,
        address: Address,
        count_daemons: Callable[[], int],
        rng: random.Random,
        emit: Emit,
    ) -> None:
        self._store = store
        self._key = PREFIX + address
        self._count_daemons = count_daemons
        self._rng = rng
        self._emit = emit
        self._stored: UpstreamRecord | None = None
        self._latest: UpstreamRecord | None = None
        self._changed = anyio.Event()

    async def read(self) -> UpstreamRecord | None:
        """Return the record of an earlier process of this daemon; None without a usable one."""
        try:
            entry = await self._store.get_cached(self._key)
            self._stored = None if entry.value is None else _decoder.decode(entry.value)
        except Exception as error:
            # In a task of the kernel, an error that nobody expects would end the whole daemon.
            self._report_failure("read", error)
        return self._stored

    def update(self, record: UpstreamRecord) -> None:
        """Write `record` soon, unless it is stored already."""
        if record != self._latest:
            self._latest = record
            self._changed.set()

    async def run(self) -> None:
        """Write the records; run until cancelled."""
        retry_s = MIN_RETRY_S
        while True:
            if self._latest is None or self._latest == self._stored:
                await self._changed.wait()
            self._changed = anyio.Event()
            await self._wait_for_turn()
            record = self._latest
            if record is None or record == self._stored:
                continue
            try:
                await self._store.put(self._key, _encoder.encode(record), None)
            except Exception as error:
                self._report_failure("write", error)
                await anyio.sleep(retry_s * self._rng.uniform(0.5, 1.5))
                retry_s = min(2 * retry_s, MAX_RETRY_S)
                continue
            self._stored = record
            retry_s = MIN_RETRY_S

    async def _wait_for_turn(self) -> None:
        """Spread the writes of daemons that start together, once they know each other."""
        await anyio.sleep(WRITE_DELAY_S)
        await anyio.sleep(self._rng.uniform(0.0, self._count_daemons() / WRITES_PER_S))

    def _report_failure(self, operation: str, error: Exception) -> None:
        fields: dict[str, FieldValue] = {"operation": operation, "reason": repr(error)}
        self._emit(kinds.UPSTREAM_RECORD_FAILED, fields)
