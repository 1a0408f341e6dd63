"""Client of the platform's key-value service."""

from typing import TypeVar

import httpcore
import msgspec
from anyio.abc import TaskGroup

from godwitpass.errors import StoreOutcomeUnknown, StoreUnavailable
from godwitpass.ids import Address, LeaseId, Revision
from godwitpass.store import Entry, PutResult, WatchResult

T = TypeVar("T")

CALL_TIMEOUT_S = 2.0


class Request(msgspec.Struct, omit_defaults=True):
    """One call to the store."""

    operation: str
    key: str = ""
    value: bytes | None = None
    expected: int | None = None
    lease: int | None = None
    after: int = 0
    seconds: float = 0.0


class StoreClient:
    """Calls the store over HTTP."""

    def __init__(self, addresses: tuple[Address, ...]) -> None:
        self._address = addresses[0]
        self._pool = httpcore.AsyncConnectionPool()

    async def start(self, tasks: TaskGroup) -> None:
        """Nothing to prepare: connections open on demand."""

    async def stop(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def get(self, key: str) -> Entry:
        """Return the entry at `key`."""
        return await self._call(Request("get", key), Entry)

    async def list(self, prefix: str) -> WatchResult:
        """Return all present entries below `prefix`."""
        return await self._call(Request("list", prefix), WatchResult)

    async def put(
        self, key: str, value: bytes, expected: Revision | None, lease: LeaseId | None = None
    ) -> PutResult:
        """Write conditionally."""
        return await self._call(Request("put", key, value, expected, lease), PutResult)

    async def delete(self, key: str, expected: Revision | None) -> PutResult:
        """Delete conditionally."""
        return await self._call(Request("delete", key, None, expected), PutResult)

    async def watch(self, prefix: str, after: Revision, timeout: float) -> WatchResult:
        """Wait for changes below `prefix`."""
        request = Request("watch", prefix, after=after, seconds=timeout)
        return await self._call(request, WatchResult, timeout + CALL_TIMEOUT_S)

    async def grant_lease(self, ttl: float) -> LeaseId:
        """Create a lease."""
        return LeaseId(await self._call(Request("grant", seconds=ttl), int))

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease."""
        return await self._call(Request("renew", lease=lease), bool)

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease."""
        await self._call(Request("revoke", lease=lease), type(None))

    async def _call(self, request: Request, kind: type[T], seconds: float = CALL_TIMEOUT_S) -> T:
        limits = dict.fromkeys(("connect", "read", "write", "pool"), seconds)
        try:
            response = await self._pool.request(
                "POST",
                f"http://{self._address}/v1/call",
                content=msgspec.msgpack.encode(request),
                extensions={"timeout": limits},
            )
        except httpcore.ConnectError as error:
            raise StoreUnavailable(str(error)) from error
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise StoreOutcomeUnknown(repr(error)) from error
        if response.status != 200:
            raise StoreUnavailable(f"status {response.status}")
        return msgspec.msgpack.decode(response.content, type=kind)
