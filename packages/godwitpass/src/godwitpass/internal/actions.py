"""Actions and events that all decision objects have in common.

A decision object is a state machine without I/O: `handle(event, now) -> list[Action]`, where
`now` is in seconds on a monotonic clock. It holds no socket, clock or global random generator.
"""

from typing import Generic, TypeVar

import msgspec

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address

MessageT = TypeVar("MessageT")


class Send(msgspec.Struct, Generic[MessageT], frozen=True):
    """Action: sends `message` to another daemon; it may be lost, duplicated or reordered."""

    to: Address
    message: MessageT


class SetTimer(msgspec.Struct, frozen=True):
    """Action: requests a `TimerFired` event at time `at`; timers set earlier remain set."""

    at: float


class RecordEvent(msgspec.Struct, frozen=True):
    """Action: adds a numbered event to the log and the timeline."""

    kind: EventKind
    fields: dict[str, FieldValue] = {}


class MessageReceived(msgspec.Struct, Generic[MessageT], frozen=True):
    """Event: `message` arrived from another daemon, possibly late, twice or out of order."""

    sender: Address
    message: MessageT


class TimerFired(msgspec.Struct, frozen=True):
    """Event: the time of an earlier `SetTimer` has come."""
