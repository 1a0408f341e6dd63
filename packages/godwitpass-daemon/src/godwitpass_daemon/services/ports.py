"""Protocols of the services that other services depend on."""

from collections.abc import Callable, Sequence
from typing import Protocol, runtime_checkable

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address
from godwitpass.mesh import Member
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.peers.channels import Channel, Handler


@runtime_checkable
class Peers(Protocol):
    """The methods of the service `peers` that other services use."""

    address: Address

    def send(self, channel: Channel, to: Address, payload: bytes) -> None:
        """Send `payload` without waiting for its delivery."""
        ...

    def subscribe(self, channel: Channel, handler: Handler) -> None:
        """Pass payloads that arrive on `channel` to `handler`."""
        ...


@runtime_checkable
class Membership(Protocol):
    """The methods of the service `membership` that other services use."""

    def members(self) -> Sequence[Member]:
        """Return the daemons not known to be dead or to have left."""
        ...

    def subscribe(self, callback: Callable[..., None]) -> None:
        """Call `callback` after each change of the members."""
        ...


@runtime_checkable
class Events(Protocol):
    """The methods of the service `events` that other services use."""

    def emit(self, kind: EventKind, /, **fields: FieldValue) -> None:
        """Add an event to the log and the timeline."""
        ...


@runtime_checkable
class Snapshots(Protocol):
    """The methods of the service `distribution` that other services use."""

    def snapshot(self) -> Snapshot | None:
        """Return the active version, if there is one."""
        ...

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Call `callback` after each new version."""
        ...
