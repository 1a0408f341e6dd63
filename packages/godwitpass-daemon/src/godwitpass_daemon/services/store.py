"""Client of the platform's key-value service."""

import random
import time
from collections.abc import Callable
from typing import TypeVar

import httpcore
import msgspec
from anyio.abc import TaskGroup

from godwitpass.errors import StoreError, StoreOutcomeUnknown, StoreUnavailable
from godwitpass.ids import Address, LeaseId, Revision
from godwitpass.store import Entry, WriteResult, EntryList
from godwitpass_daemon.services.store_circuit_breaker import CircuitBreaker
from godwitpass_daemon.services.store_wire import CALL_PATH, WRITES, Operation, Request

T = TypeVar("T")

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 8
MAX_IDLE_CONNECTIONS = 2
IDLE_CONNECTION_S = 4.0

UNSENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
LOST_ANSWER_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class StoreCounts(msgspec.Struct):
    """Calls of this daemon since its start; `held_back` never left the daemon."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    held_back: int = 0
    unavailable: int = 0
    unknown: int = 0

    def count_lost_answer(self, is_write: bool, error: Exception) -> StoreError:
        """Count a call that was sent and not answered, and return what to raise."""
        if not is_write:
            self.unavailable += 1
            return StoreUnavailable(f"the answer was lost: {error!r}")
        self.unknown += 1
        return StoreOutcomeUnknown(f"the write was sent and not answered: {error!r}")


def open_pool() -> httpcore.AsyncConnectionPool:
    """Return the connections of one client of the store."""
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_IDLE_CONNECTIONS,
        keepalive_expiry=IDLE_CONNECTION_S,
    )


class StoreClient:
    """Calls the store over HTTP; the next address is tried when one can't be reached.

    Raises `StoreUnavailable` when a call had no effect, which a lost answer to a read is too, and
    `StoreOutcomeUnknown` when a write was sent and not answered.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        clock: Callable[[], float] = time.monotonic,
        seed: int | None = None,
    ) -> None:
        if not addresses:
            raise ValueError("the store needs at least one address; give `store` in the settings")
        self.counts = StoreCounts()
        self._addresses = addresses
        self._preferred = 0
        self._clock = clock
        self._guard = CircuitBreaker(random.Random(seed))
        self._pool = open_pool()

    async def start(self, tasks: TaskGroup) -> None:
        """Do nothing yet: connections open on demand."""

    async def stop(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def get(self, key: str) -> Entry:
        """Return the entry at `key`; an absent one has no value and revision 0."""
        return await self._call(Request(Operation.GET, key), Entry)

    async def list(self, prefix: str) -> EntryList:
        """Return all present entries whose key starts with `prefix`."""
        return await self._call(Request(Operation.LIST, prefix), EntryList)

    async def put(
        self, key: str, value: bytes, expected: Revision | None, lease: LeaseId | None = None
    ) -> WriteResult:
        """Write `value` if the entry is at revision `expected`; None writes always."""
        return await self._call(Request(Operation.PUT, key, value, expected, lease), WriteResult)

    async def delete(self, key: str, expected: Revision | None) -> WriteResult:
        """Delete `key` if it is at revision `expected`; None deletes always."""
        return await self._call(Request(Operation.DELETE, key, expected=expected), WriteResult)

    async def watch(self, prefix: str, after: Revision, timeout_s: float) -> EntryList:
        """Wait up to `timeout` seconds for changes below `prefix` later than `after`."""
        self.counts.watches += 1
        request = Request(Operation.WATCH, prefix, after=after, seconds=timeout_s)
        return await self._call(request, EntryList)

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease; its keys are deleted when it isn't renewed within `ttl` seconds."""
        return LeaseId(await self._call(Request(Operation.GRANT, seconds=ttl_s), int))

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew `lease`; False when it has lapsed."""
        return await self._call(Request(Operation.RENEW, lease=lease), bool)

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End `lease` and delete its keys."""
        await self._call(Request(Operation.REVOKE, lease=lease), type(None))

    async def _call(self, request: Request, kind: type[T]) -> T:
        if not self._guard.allow_call(self._clock()):
            self.counts.held_back += 1
            raise StoreUnavailable("the store failed just now; asked again after a back-off")
        is_write = request.operation in WRITES
        try:
            body = await self._send(request)
        except StoreUnavailable:
            self.counts.unavailable += 1
            self._guard.record_failure(self._clock())
            raise
        except LOST_ANSWER_ERRORS as error:
            self._guard.record_failure(self._clock())
            raise self.counts.count_lost_answer(is_write, error) from error
        try:
            answer = msgspec.msgpack.decode(body, type=kind)
        except msgspec.DecodeError as error:
            raise self.counts.count_lost_answer(is_write, error) from error
        self._guard.record_success()
        if is_write:
            self.counts.writes += 1
        else:
            self.counts.reads += 1
        return answer

    async def _send(self, request: Request) -> bytes:
        """Send to the first address that accepts a connection."""
        content = msgspec.msgpack.encode(request)
        waits = request.seconds if request.operation is Operation.WATCH else 0.0
        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "write": CALL_TIMEOUT_S,
            "read": CALL_TIMEOUT_S + waits,
        }
        failure: Exception | None = None
        for _ in self._addresses:
            url = f"http://{self._addresses[self._preferred]}{CALL_PATH}"
            try:
                response = await self._pool.request(
                    "POST", url, content=content, extensions={"timeout": timeouts}
                )
            except UNSENT_ERRORS as error:
                failure = error
                self._preferred = (self._preferred + 1) % len(self._addresses)
                continue
            if response.status != 200:
                raise StoreUnavailable(response.content.decode(errors="replace"))
            return response.content
        raise StoreUnavailable(f"no address of the store can be reached: {failure!r}")
