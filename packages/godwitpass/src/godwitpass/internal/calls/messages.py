"""Events and actions of the dispatcher of one service."""

from enum import Enum
from typing import NewType

import msgspec

from godwitpass.ids import InstanceId, RouteName
from godwitpass.internal.actions import RecordEvent, SetTimer
from godwitpass.internal.calls.outcomes import Reason
from godwitpass.mesh import Upstream

AttemptId = NewType("CallNumber", int)
"""Names one attempt of one call inside one daemon."""

CallerKey = NewType("CallerKey", str)
"""Who shares the queue: the address of a caller, or the instance for calls from inside."""


class AttemptResult(Enum):
    """How one attempt ended, as far as the upstream's treatment depends on it."""

    ANSWERED = 0
    FAILED = 1
    SHED = 2
    UNREACHABLE = 3
    CANCELLED = 4


class AttemptArrived(msgspec.Struct, frozen=True):
    """An attempt wants an upstream; `queue_until` and `deadline` are points in time.

    An `upload` has more body to come, and `avoid` is the upstream that failed it before.
    """

    call: AttemptId
    caller: CallerKey
    route: RouteName
    queue_until: float
    deadline: float
    upload: bool = False
    avoid: InstanceId | None = None


class AttemptEnded(msgspec.Struct, frozen=True):
    """A started attempt ended; `latency_s` runs from the last request byte to the answer's head."""

    call: AttemptId
    result: AttemptResult
    latency_s: float


class Abandoned(msgspec.Struct, frozen=True):
    """A waiting attempt is no longer wanted."""

    call: AttemptId


class Stalled(msgspec.Struct, frozen=True):
    """A started upload made no progress for a while; it stops counting as a call in flight."""

    call: AttemptId


class Resumed(msgspec.Struct, frozen=True):
    """A stalled upload goes on."""

    call: AttemptId


class UpstreamsChanged(msgspec.Struct, frozen=True):
    """Membership or the configuration names other upstreams; `daemons` shares their connections."""

    upstreams: tuple[Upstream, ...]
    daemons: int
    connections: int


class Tick(msgspec.Struct, frozen=True):
    """A requested time has come."""


Event = AttemptArrived | AttemptEnded | Abandoned | Stalled | Resumed | UpstreamsChanged | Tick


class StartAttempt(msgspec.Struct, frozen=True):
    """Sends the attempt to `upstream`."""

    call: AttemptId
    upstream: Upstream


class RefuseAttempt(msgspec.Struct, frozen=True):
    """Gives the attempt up; it did not run."""

    call: AttemptId
    reason: Reason
    retry_after_s: float


Action = StartAttempt | RefuseAttempt | SetTimer | RecordEvent
