"""What the platform's key-value service offers, and its messages.

Every call, a waiting watch included, counts against the service's rates.
"""

from typing import Protocol

import msgspec

from godwitpass.ids import NO_REVISION, LeaseId, Revision

MAX_VALUE_BYTES = 1_000_000


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One key with its value; `value` is None when the key was deleted at `revision`.

    `store_revision` is the store's own revision at the time of the read, 0 where the store doesn't tell.
    """

    key: str
    value: bytes | None
    revision: Revision
    store_revision: Revision = NO_REVISION


class EntryList(msgspec.Struct, frozen=True, array_like=True):
    """Changes below a prefix up to and including `revision`, oldest first."""

    revision: Revision
    entries: tuple[Entry, ...]


class WriteResult(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a conditional write; on a mismatch `entry` is what the store holds instead."""

    written: bool
    entry: Entry


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Each method raises `StoreUnavailable` when the request did not take effect, and
    `StoreOutcomeUnknown` when that can't be known. Durations are in seconds.
    """

    async def get(self, key: str) -> Entry:
        """Return the entry at `key`; an absent one has no value and revision 0."""
        ...

    async def list(self, prefix: str) -> EntryList:
        """Return all present entries whose key starts with `prefix`."""
        ...

    async def put(
        self, key: str, value: bytes, expected: Revision | None, lease: LeaseId | None = None
    ) -> WriteResult:
        """Write `value` if the entry is at revision `expected`; None writes always."""
        ...

    async def delete(self, key: str, expected: Revision | None) -> WriteResult:
        """Delete `key` if it is at revision `expected`; None deletes always."""
        ...

    async def watch(self, prefix: str, after: Revision, timeout_s: float) -> EntryList:
        """Wait up to `timeout` for changes below `prefix` later than `after`."""
        ...

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease; its keys are deleted when it isn't renewed within `ttl`."""
        ...

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew `lease`; False when it has lapsed."""
        ...

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End `lease` and delete its keys."""
        ...
