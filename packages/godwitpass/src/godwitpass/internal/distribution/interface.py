"""Events that a distributor takes, and actions that it returns."""

import msgspec

from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.distribution.messages import Message
from godwitpass.internal.distribution.view import View
from godwitpass.internal.requests import Answer, Get, Watch
from godwitpass.snapshot import Snapshot


class ViewChanged(msgspec.Struct, frozen=True):
    """Event: the members known to this daemon changed; the first one starts distribution."""

    view: View


class ConvergenceRequested(msgspec.Struct, frozen=True):
    """Event: an operator asks for the state of convergence."""


class Activate(msgspec.Struct, frozen=True):
    """Action: put `snapshot` into force, whole."""

    snapshot: Snapshot


Event = ViewChanged | ConvergenceRequested | MessageReceived[Message] | TimerFired | Answer
Action = Send[Message] | SetTimer | RecordEvent | Get | Watch | Activate
