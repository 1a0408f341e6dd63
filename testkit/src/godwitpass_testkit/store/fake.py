"""The stand-in store inside a test's own process, without HTTP."""

from collections.abc import Callable

import anyio

from godwitpass.ids import LeaseId, Revision
from godwitpass.store import Entry, EntryList, WriteResult
from godwitpass_testkit.store.state import StoreState

WATCH_POLL_INTERVAL_S = 0.05


class FakeStore:
    """Implements `godwitpass.store.Store` directly over a `StoreState`."""

    def __init__(self, state: StoreState, clock: Callable[[], float]) -> None:
        self.state = state
        self._clock = clock

    async def get(self, key: str) -> Entry:
        """Return the entry at `key`."""
        return self.state.get(key, await self._begin())

    async def list(self, prefix: str) -> EntryList:
        """Return all present entries below `prefix`."""
        return self.state.list(prefix, await self._begin())

    async def put(
        self, key: str, value: bytes, expected: Revision | None, lease: LeaseId | None = None
    ) -> WriteResult:
        """Write conditionally."""
        return self.state.put(key, value, expected, lease, await self._begin())

    async def delete(self, key: str, expected: Revision | None) -> WriteResult:
        """Delete conditionally."""
        return self.state.delete(key, expected, await self._begin())

    async def watch(self, prefix: str, after: Revision, timeout_s: float) -> EntryList:
        """Wait up to `timeout_s` seconds for changes below `prefix` later than `after`."""
        deadline = self._clock() + timeout_s
        self.state.start_watch(await self._begin())
        while True:
            result = self.state.changes(prefix, after, self._clock())
            remaining = deadline - self._clock()
            if result.entries or remaining <= 0 or self.state.faults.down:
                return result
            await anyio.sleep(min(remaining, WATCH_POLL_INTERVAL_S))

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease."""
        return self.state.grant_lease(ttl_s, await self._begin())

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew `lease`; False when it has lapsed."""
        return self.state.renew_lease(lease, await self._begin())

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End `lease` and delete its keys."""
        self.state.revoke_lease(lease, await self._begin())

    async def _begin(self) -> float:
        await anyio.sleep(self.state.faults.delay_s)
        return self._clock()
