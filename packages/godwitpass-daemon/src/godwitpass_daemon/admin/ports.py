"""Interfaces of the other services that the administration API uses."""

from collections.abc import Callable, Sequence
from typing import Protocol, runtime_checkable

import msgspec

from godwitpass.administration import Spread
from godwitpass.document import Document
from godwitpass.events import EventKind, FieldValue, TimelineEvent
from godwitpass.ids import ChangeId, ContentHash, Version
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.admin.metrics import Metric


class AcceptedVersion(Protocol):
    """An accepted version, without its content."""

    @property
    def version(self) -> Version:
        """Return the version."""
        ...

    @property
    def change(self) -> ChangeId:
        """Return the id of the change that created it."""
        ...

    @property
    def content_hash(self) -> ContentHash:
        """Return the hash of its content."""
        ...


@runtime_checkable
class Acceptance(Protocol):
    """Accepts documents as versions and keeps their history."""

    async def accept(
        self, document: Document, change: ChangeId, if_version: Version | None
    ) -> AcceptedVersion:
        """Make `document` the next version.

        Raises `VersionConflict`, `AcceptanceUnknown` and `StoreUnavailable`.
        """
        ...

    async def list_versions(self) -> Sequence[AcceptedVersion]:
        """Return the accepted versions that are kept."""
        ...

    async def load_document(self, version: Version) -> Document | None:
        """Return the document of `version`, or None if it is no longer kept."""
        ...


@runtime_checkable
class Events(Protocol):
    """Records events and keeps the most recent ones."""

    def emit(self, kind: EventKind, /, **fields: FieldValue) -> None:
        """Record an event of `kind` with `fields`."""
        ...

    def list_events(self, after: int = 0) -> Sequence[TimelineEvent]:
        """Return the kept events with a sequence number above `after`."""
        ...


class Ports(msgspec.Struct, frozen=True):
    """The other services, as separate functions so that a test can replace each one."""

    acceptance: Acceptance
    events: Events
    get_snapshot: Callable[[], Snapshot | None]
    get_spread: Callable[[], Spread]
    drain_upstream: Callable[[], None]
    collect_metrics: Callable[[], Sequence[Metric]]
