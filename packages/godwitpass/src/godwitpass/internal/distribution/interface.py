"""Events that a distributor handles, and actions that it returns."""

import msgspec

from godwitpass.ids import Address, Version
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.distribution.messages import Message
from godwitpass.internal.distribution.view import View
from godwitpass.internal.requests import Answer, Get, Watch
from godwitpass.snapshot import Snapshot


class ViewChanged(msgspec.Struct, frozen=True):
    """Event: the known members changed; the first such event starts the distribution."""

    view: View


class ConvergenceRequested(msgspec.Struct, frozen=True):
    """Event: an operator requested the convergence status."""


class Activate(msgspec.Struct, frozen=True):
    """Action: makes `snapshot` the active version."""

    snapshot: Snapshot


class HolderReported(msgspec.Struct, frozen=True):
    """Event: the daemon at `address` was found to hold `version`."""

    address: Address
    version: Version


class ReadRequested(msgspec.Struct, frozen=True):
    """Event: the store holds another version than this daemon has read last."""


Event = (
    ViewChanged
    | ConvergenceRequested
    | HolderReported
    | ReadRequested
    | MessageReceived[Message]
    | TimerFired
    | Answer
)
Action = Send[Message] | SetTimer | RecordEvent | Get | Watch | Activate
