"""Protocols of the services that the claims and crashes services depend on."""

from collections.abc import Callable, Sequence
from typing import Protocol, runtime_checkable

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address
from godwitpass.mesh import Member
from godwitpass_daemon.peers.channels import Channel, Handler


@runtime_checkable
class Peers(Protocol):
    """The methods of the service `peers` that claims and crashes use."""

    address: Address

    def send(self, channel: Channel, to: Address, payload: bytes) -> None:
        """Send `payload` without waiting for its delivery."""
        ...

    def subscribe(self, channel: Channel, handler: Handler) -> None:
        """Pass payloads that arrive on `channel` to `handler`."""
        ...


@runtime_checkable
class Membership(Protocol):
    """The methods of the service `membership` that claims and crashes use."""

    def members(self) -> Sequence[Member]:
        """Return the daemons not known to be dead or to have left."""
        ...

    def subscribe(self, callback: Callable[..., None]) -> None:
        """Call `callback` after each change of the members."""
        ...


@runtime_checkable
class Events(Protocol):
    """The methods of the service `events` that claims and crashes use."""

    def emit(self, kind: EventKind, /, **fields: FieldValue) -> None:
        """Add an event to the log and the timeline."""
        ...
