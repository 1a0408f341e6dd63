"""Events of the peer transport."""

from typing import Protocol

from godwitpass.events import EventKind, FieldValue, Level

PEER_MESSAGES_DROPPED = EventKind(
    750,
    "peer-messages-dropped",
    "Received peer messages were dropped; `reason` tells why and `count` how many since the last "
    "such event.",
    Level.WARNING,
)
PEER_SENDS_DROPPED = EventKind(
    751,
    "peer-sends-dropped",
    "Outgoing peer messages were dropped or could not be delivered; `reason` tells why and `count` "
    "how many since the last such event.",
    Level.WARNING,
)

PEER_SEND_FAILED = EventKind(
    752,
    "peer-send-failed",
    "A large message to `peer` was not answered within `waited_ms`, on a connection that last "
    "answered `silent_ms` ago; -1 if it never has.",
    Level.WARNING,
)

PEER_CONNECTION_REPLACED = EventKind(
    753,
    "peer-connection-replaced",
    "A connection to `peer` did not answer while a new one works, so large messages are sent again "
    "on the new one; the old one last answered `silent_ms` ago, -1 if it never has.",
)


class Emit(Protocol):
    """Adds an event to the log and the timeline."""

    def __call__(self, kind: EventKind, /, **fields: FieldValue) -> None:
        """Record one event of `kind`."""
        ...
