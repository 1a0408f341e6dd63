"""Stand-in store inside the process of a test, without HTTP."""

from collections.abc import Callable

import anyio

from godwitpass.ids import LeaseId, Revision
from godwitpass.store import Entry, EntryList, WriteResult
from godwitpass_testkit.store.state import StoreState

WATCH_POLL_INTERVAL_S = 0.05


class FakeStore:
    """Implementation of `godwitpass.store.Store` over a `StoreState`."""

    def __init__(self, state: StoreState, clock: Callable[[], float]) -> None:
        self.state = state
        self._clock = clock

    async def get(self, key: str) -> Entry:
        """Return the entry at `key`."""
        return self.state.get(key, await self._apply_delay())

    async def get_cached(self, key: str) -> Entry:
        """Return the entry at `key`."""
        return await self.get(key)

    async def list(self, prefix: str) -> EntryList:
        """Return all present entries whose key starts with `prefix`."""
        return self.state.list(prefix, await self._apply_delay())

    async def list_cached(self, prefix: str) -> EntryList:
        """Return all present entries whose key starts with `prefix`."""
        return await self.list(prefix)

    async def put(
        self, key: str, value: bytes, expected: Revision | None, lease: LeaseId | None = None
    ) -> WriteResult:
        """Write `value` if the entry is at revision `expected`; None writes always."""
        return self.state.put(key, value, expected, lease, await self._apply_delay())

    async def confirm(self, key: str, revision: Revision) -> bool:
        """Tell whether the entry at `key` is at `revision`."""
        return (await self.get(key)).revision == revision

    async def delete(self, key: str, expected: Revision | None) -> WriteResult:
        """Delete `key` if it is at revision `expected`; None deletes always."""
        return self.state.delete(key, expected, await self._apply_delay())

    async def watch(self, prefix: str, after: Revision, timeout_s: float) -> EntryList:
        """Wait up to `timeout_s` seconds for changes below `prefix` after revision `after`."""
        deadline_s = self._clock() + timeout_s
        self.state.start_watch(await self._apply_delay())
        while True:
            result = self.state.list_changes(prefix, after, self._clock())
            remaining_s = deadline_s - self._clock()
            faults = self.state.faults
            has_answer = bool(result.entries) and not faults.watch_at_timeout
            if has_answer or remaining_s <= 0 or faults.down:
                return result
            await anyio.sleep(min(remaining_s, WATCH_POLL_INTERVAL_S))

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease that expires after `ttl_s` seconds unless renewed."""
        return self.state.grant_lease(ttl_s, await self._apply_delay())

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew `lease`; return False when it has expired."""
        return self.state.renew_lease(lease, await self._apply_delay())

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke `lease` and delete its keys."""
        self.state.revoke_lease(lease, await self._apply_delay())

    async def _apply_delay(self) -> float:
        await anyio.sleep(self.state.faults.delay_s)
        return self._clock()
