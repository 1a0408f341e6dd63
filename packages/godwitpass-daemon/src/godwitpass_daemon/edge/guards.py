"""What the edge asks of the services for at-most-once calls and for crashing requests."""

from enum import Enum
from typing import Protocol, runtime_checkable

import msgspec

from godwitpass.ids import RouteName, ServiceName
from godwitpass.internal.calls.outcomes import Outcome


class RequestDescriptor(msgspec.Struct, frozen=True):
    """What identifies a request: `body` is its beginning, up to `BODY_BUFFER_BYTES`."""

    service: ServiceName
    route: RouteName
    method: str
    target: bytes
    idempotency_key: str
    body: bytes
    timeout_s: float


class ClaimVerdict(Enum):
    """Whether an at-most-once call may be sent."""

    FIRST = "first"
    """It is recorded as sent from now on; this daemon sends it, once."""

    REPEATED = "repeated"
    """It was sent before; its outcome is not known here, so it isn't sent again."""

    UNAVAILABLE = "unavailable"
    """It can't be recorded now; it isn't sent and did not run."""

    INVALID = "invalid"
    """Its idempotency key is of no use; it isn't sent, whenever it comes."""


@runtime_checkable
class ClaimGuard(Protocol):
    """Records at-most-once calls before they are sent; kernel name "claims"."""

    async def claim(self, facts: RequestDescriptor) -> ClaimVerdict:
        """Record the call; a call without an idempotency key is always a first one."""
        ...

    def settle(self, facts: RequestDescriptor, outcome: Outcome | None) -> None:
        """Take in how a first call ended; None means that it was answered.

        After `Outcome.NOT_RUN` the same key may be sent again.
        """
        ...


@runtime_checkable
class CrashGuard(Protocol):
    """Remembers requests that crash upstreams; kernel name "crashes"."""

    def is_refused(self, facts: RequestDescriptor) -> bool:
        """Tell whether the request crashed too many upstreams; must not block."""
        ...

    def report_crash(self, facts: RequestDescriptor) -> None:
        """Take in that an upstream's connection broke while it ran the request."""
        ...
