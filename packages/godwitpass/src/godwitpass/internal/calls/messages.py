"""Events and actions of the dispatcher."""

from enum import Enum
from typing import NewType

import msgspec

from godwitpass.ids import InstanceId, RouteName
from godwitpass.internal.actions import RecordEvent, SetTimer
from godwitpass.internal.calls.outcomes import Reason
from godwitpass.mesh import Upstream

AttemptId = NewType("AttemptId", int)
"""Identifies one attempt of a call, unique within one daemon process."""

CallerKey = NewType("CallerKey", str)
"""Identifies a caller for fair queueing: the IP address of its connection."""


class AttemptResult(Enum):
    """How one attempt ended, as far as load balancing depends on it."""

    ANSWERED = 0
    FAILED = 1
    SHED = 2
    UNREACHABLE = 3
    CANCELLED = 4


class AttemptArrived(msgspec.Struct, frozen=True):
    """An attempt needs an upstream; `queue_until` and `deadline` are monotonic times.

    `is_upload` means that the request body isn't complete yet. `avoid` is the upstream that failed
    or delayed an earlier attempt of the same call.
    """

    attempt_id: AttemptId
    caller: CallerKey
    route: RouteName
    queue_until: float
    deadline: float
    is_upload: bool = False
    avoid: InstanceId | None = None


class AttemptEnded(msgspec.Struct, frozen=True):
    """A started attempt ended.

    `latency_s` is the time from the last request byte to the response head.
    """

    attempt_id: AttemptId
    result: AttemptResult
    latency_s: float


class AttemptAbandoned(msgspec.Struct, frozen=True):
    """An attempt that was not started is no longer needed."""

    attempt_id: AttemptId


class UploadStalled(msgspec.Struct, frozen=True):
    """A started upload makes no progress; it no longer counts as a call in flight."""

    attempt_id: AttemptId


class UploadResumed(msgspec.Struct, frozen=True):
    """A stalled upload makes progress again."""

    attempt_id: AttemptId


class UpstreamsChanged(msgspec.Struct, frozen=True):
    """The upstreams of the service may have changed.

    `connections` is the connection limit of each upstream, shared by `daemons` daemons.
    """

    upstreams: tuple[Upstream, ...]
    daemons: int
    connections: int


class Tick(msgspec.Struct, frozen=True):
    """The time that an earlier `SetTimer` requested has come."""


Event = (
    AttemptArrived
    | AttemptEnded
    | AttemptAbandoned
    | UploadStalled
    | UploadResumed
    | UpstreamsChanged
    | Tick
)


class StartAttempt(msgspec.Struct, frozen=True):
    """Send the attempt to `upstream`."""

    attempt_id: AttemptId
    upstream: Upstream


class RefuseAttempt(msgspec.Struct, frozen=True):
    """Refuse the attempt without sending it."""

    attempt_id: AttemptId
    reason: Reason
    retry_after_s: float


Action = StartAttempt | RefuseAttempt | SetTimer | RecordEvent
