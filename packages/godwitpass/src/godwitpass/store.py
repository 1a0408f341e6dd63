"""Interface of the platform's key-value store, and the values that it returns.

Every call, including a pending watch, counts against the rate limits of the store.
"""

from typing import Protocol

import msgspec

from godwitpass.ids import NO_REVISION, LeaseId, Revision

MAX_VALUE_BYTES = 1_000_000


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One key with its value; `value` is None if the key was deleted at `revision`.

    `store_revision` is the store's own revision at the time of the read, or 0 if the store does
    not report it.
    """

    key: str
    value: bytes | None
    revision: Revision
    store_revision: Revision = NO_REVISION


class EntryList(msgspec.Struct, frozen=True, array_like=True):
    """Entries below a prefix as of `revision`; those of a watch are the changes, oldest first."""

    revision: Revision
    entries: tuple[Entry, ...]


class WriteResult(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a conditional write; after a mismatch, `entry` is the one that the store holds."""

    written: bool
    entry: Entry


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Each method raises `StoreUnavailable` if the request had no effect, and `StoreOutcomeUnknown`
    if it may have had one.
    """

    async def get(self, key: str) -> Entry:
        """Return the entry at `key`; an absent one has the value None and revision 0."""
        ...

    async def get_cached(self, key: str) -> Entry:
        """Return the entry at `key` as it was at most some seconds ago, at a lower price."""
        ...

    async def list(self, prefix: str) -> EntryList:
        """Return all existing entries whose key starts with `prefix`."""
        ...

    async def list_cached(self, prefix: str) -> EntryList:
        """Return what `list` returned at most some seconds ago, at a lower price."""
        ...

    async def put(
        self, key: str, value: bytes, expected: Revision | None, lease: LeaseId | None = None
    ) -> WriteResult:
        """Write `value` if the entry is at revision `expected`; None writes unconditionally."""
        ...

    async def confirm(self, key: str, revision: Revision) -> bool:
        """Tell whether the entry at `key` is at `revision`, by a linearizable read."""
        ...

    async def delete(self, key: str, expected: Revision | None) -> WriteResult:
        """Delete `key` if it is at revision `expected`; None deletes unconditionally."""
        ...

    async def watch(self, prefix: str, after: Revision, timeout_s: float) -> EntryList:
        """Wait up to `timeout_s` for changes below `prefix` after revision `after`."""
        ...

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease; its keys are deleted unless it is renewed within `ttl_s`."""
        ...

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew `lease`; return False if it has expired."""
        ...

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End `lease` and delete its keys."""
        ...
