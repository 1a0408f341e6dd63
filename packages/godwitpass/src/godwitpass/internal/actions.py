"""Actions that every decision object may return.

A decision object has one method, `handle(event, now) -> list[Action]`; `now` is in seconds on a
clock that never goes back. It holds no socket, clock or global random generator.
"""

from typing import Generic, TypeVar

import msgspec

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address

M = TypeVar("M")


class Send(msgspec.Struct, Generic[M], frozen=True):
    """Sends `message` to another daemon; it may be lost, repeated or overtaken."""

    to: Address
    message: M


class SetTimer(msgspec.Struct, frozen=True):
    """Asks for a timer event at time `at`; an earlier request stays in force."""

    at: float


class RecordEvent(msgspec.Struct, frozen=True):
    """Adds a numbered event to the log and the time line."""

    kind: EventKind
    fields: dict[str, FieldValue] = {}


class MessageReceived(msgspec.Struct, Generic[M], frozen=True):
    """Event: `message` arrived from another daemon, possibly late, twice or out of order."""

    sender: Address
    message: M


class TimerFired(msgspec.Struct, frozen=True):
    """Event: the time of an earlier `Wake` has come."""
