"""Client of the platform's key-value store."""

import random
import time
from collections.abc import Callable
from typing import TypeVar

import httpcore
import msgspec
from anyio.abc import TaskGroup

from godwitpass.errors import StoreError, StoreOutcomeUnknown, StoreUnavailable
from godwitpass.ids import Address, LeaseId, Revision
from godwitpass.store import Entry, EntryList, WriteResult
from godwitpass_daemon.services.store_circuit_breaker import CircuitBreaker
from godwitpass_daemon.services.store_connections import StoreConnections
from godwitpass_daemon.services.store_wire import CALL_PATH, WRITES, Operation, Request

T = TypeVar("T")

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0

UNSENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
LOST_RESPONSE_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class StoreCounts(msgspec.Struct):
    """Number of calls since the start; those `held_back` by the circuit breaker were not sent."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    held_back: int = 0
    unavailable: int = 0
    unknown: int = 0

    def count_lost_response(self, is_write: bool, error: Exception) -> StoreError:
        """Count a call that was sent without a response, and return the error to raise."""
        if not is_write:
            self.unavailable += 1
            return StoreUnavailable(f"no valid response from the store to a read: {error!r}")
        self.unknown += 1
        return StoreOutcomeUnknown(f"no valid response from the store to a write: {error!r}")


class StoreClient:
    """Calls the store over HTTP; if an address can't be reached, it tries the next one.

    Raises `StoreUnavailable` if a call had no effect, which includes a read without a response,
    and `StoreOutcomeUnknown` if a write was sent without a response.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        clock: Callable[[], float] = time.monotonic,
        seed: int | None = None,
    ) -> None:
        if not addresses:
            raise ValueError("the store needs at least one address; set `store` in the settings")
        self.counts = StoreCounts()
        self._addresses = addresses
        self._preferred_index = 0
        self._clock = clock
        self._circuit_breaker = CircuitBreaker(random.Random(seed))
        self._connections = StoreConnections()

    async def start(self, tasks: TaskGroup) -> None:
        """Do nothing: connections are opened on demand."""

    async def stop(self) -> None:
        """Close the connections."""
        await self._connections.close()

    async def get(self, key: str) -> Entry:
        """Return the entry at `key`; an absent one has the value None and revision 0."""
        return await self._call(Request(Operation.GET, key), Entry)

    async def get_cached(self, key: str) -> Entry:
        """Return the entry at `key`; this store has no cheaper read."""
        return await self.get(key)

    async def list(self, prefix: str) -> EntryList:
        """Return all existing entries whose key starts with `prefix`."""
        return await self._call(Request(Operation.LIST, prefix), EntryList)

    async def list_cached(self, prefix: str) -> EntryList:
        """Return the entries below `prefix`; this store has no cheaper read."""
        return await self.list(prefix)

    async def put(
        self, key: str, value: bytes, expected: Revision | None, lease: LeaseId | None = None
    ) -> WriteResult:
        """Write `value` if the entry is at revision `expected`; None writes unconditionally."""
        return await self._call(Request(Operation.PUT, key, value, expected, lease), WriteResult)

    async def confirm(self, key: str, revision: Revision) -> bool:
        """Tell whether the entry at `key` is at `revision`, by a linearizable read."""
        return (await self.get(key)).revision == revision

    async def delete(self, key: str, expected: Revision | None) -> WriteResult:
        """Delete `key` if it is at revision `expected`; None deletes unconditionally."""
        return await self._call(Request(Operation.DELETE, key, expected=expected), WriteResult)

    async def watch(self, prefix: str, after: Revision, timeout_s: float) -> EntryList:
        """Wait up to `timeout_s` for changes below `prefix` after revision `after`."""
        self.counts.watches += 1
        request = Request(Operation.WATCH, prefix, after=after, seconds=timeout_s)
        return await self._call(request, EntryList)

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease; its keys are deleted unless it is renewed within `ttl_s`."""
        return LeaseId(await self._call(Request(Operation.GRANT, seconds=ttl_s), int))

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew `lease`; return False if it has expired."""
        return await self._call(Request(Operation.RENEW, lease=lease), bool)

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End `lease` and delete its keys."""
        await self._call(Request(Operation.REVOKE, lease=lease), type(None))

    async def _call(self, request: Request, result_type: type[T]) -> T:
        if not self._circuit_breaker.allow_call(self._clock()):
            self.counts.held_back += 1
            raise StoreUnavailable(
                "the store failed recently; no call is sent until the back-off ends"
            )
        is_write = request.operation in WRITES
        try:
            body = await self._send(request)
        except StoreUnavailable:
            self.counts.unavailable += 1
            self._circuit_breaker.record_failure(self._clock())
            raise
        except LOST_RESPONSE_ERRORS as error:
            self._circuit_breaker.record_failure(self._clock())
            raise self.counts.count_lost_response(is_write, error) from error
        try:
            result = msgspec.msgpack.decode(body, type=result_type)
        except msgspec.DecodeError as error:
            raise self.counts.count_lost_response(is_write, error) from error
        self._circuit_breaker.record_success()
        if is_write:
            self.counts.writes += 1
        else:
            self.counts.reads += 1
        return result

    async def _send(self, request: Request) -> bytes:
        """Send to the first address that accepts a connection, starting at the last used one."""
        content = msgspec.msgpack.encode(request)
        watch_timeout_s = request.seconds if request.operation is Operation.WATCH else 0.0
        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "write": CALL_TIMEOUT_S,
            "read": CALL_TIMEOUT_S + watch_timeout_s,
        }
        last_error: Exception | None = None
        for _ in self._addresses:
            url = f"http://{self._addresses[self._preferred_index]}{CALL_PATH}"
            try:
                response = await self._connections.request("POST", url, None, content, timeouts)
            except UNSENT_ERRORS as error:
                last_error = error
                self._preferred_index = (self._preferred_index + 1) % len(self._addresses)
                continue
            if response.status != 200:
                raise StoreUnavailable(response.content.decode(errors="replace"))
            return response.content
        raise StoreUnavailable(
            f"no address of the store can be reached; last error: {last_error!r}"
        )
