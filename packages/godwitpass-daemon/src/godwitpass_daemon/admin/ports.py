"""What the administration API needs of the other services."""

from collections.abc import Callable, Sequence
from typing import Protocol, runtime_checkable

import msgspec

from godwitpass.administration import Spread
from godwitpass.document import Document
from godwitpass.events import EventKind, FieldValue, TimelineEvent
from godwitpass.ids import ChangeId, ContentHash, Version
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.admin.metrics import Metric


class Accepted(Protocol):
    """An accepted version."""

    @property
    def version(self) -> Version:
        """Return the version."""
        ...

    @property
    def change(self) -> ChangeId:
        """Return the change that made it."""
        ...

    @property
    def content_hash(self) -> ContentHash:
        """Return the hash of its content."""
        ...


@runtime_checkable
class Acceptance(Protocol):
    """Makes documents versions."""

    async def accept(
        self, document: Document, change: ChangeId, if_version: Version | None
    ) -> Accepted:
        """Make `document` the next version; raises `VersionConflict` and `AcceptanceUnknown`."""
        ...

    async def history(self) -> Sequence[Accepted]:
        """Return the accepted versions."""
        ...

    async def content(self, version: Version) -> Document | None:
        """Return the content of `version`, or None when it is not kept."""
        ...


@runtime_checkable
class Events(Protocol):
    """Records events and keeps the latest."""

    def emit(self, kind: EventKind, /, **fields: FieldValue) -> None:
        """Add an event."""
        ...

    def list_events(self, after: int = 0) -> Sequence[TimelineEvent]:
        """Return the kept events later than sequence `after`."""
        ...


class Ports(msgspec.Struct, frozen=True):
    """The other services as functions, so that each can be replaced by itself."""

    acceptance: Acceptance
    events: Events
    snapshot: Callable[[], Snapshot | None]
    spread: Callable[[], Spread]
    drain: Callable[[], None]
    metrics: Callable[[], Sequence[Metric]]
