"""Interfaces to the services that guard at-most-once calls and refuse crash suspects."""

from enum import Enum
from typing import Protocol, runtime_checkable

import msgspec

from godwitpass.ids import RouteName, ServiceName
from godwitpass.internal.calls.outcomes import Outcome


class RequestDescriptor(msgspec.Struct, frozen=True):
    """A request as the guards see it; `body` holds its first `BODY_BUFFER_BYTES` at most."""

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
    """The call is now recorded as sent; this daemon sends it once."""

    REPEATED = "repeated"
    """The call was sent before with an outcome unknown here; it isn't sent again."""

    UNAVAILABLE = "unavailable"
    """The call can't be recorded now; it isn't sent and did not run."""

    INVALID = "invalid"
    """The idempotency key is invalid; the call is never sent."""


@runtime_checkable
class ClaimGuard(Protocol):
    """Records at-most-once calls before they are sent; the kernel service "claims"."""

    async def claim(self, request: RequestDescriptor) -> ClaimVerdict:
        """Record the call; one without an idempotency key is always `FIRST`."""
        ...

    def settle(self, request: RequestDescriptor, outcome: Outcome | None) -> None:
        """Record how a `FIRST` call ended; None means that an upstream responded.

        After `Outcome.NOT_RUN` the same key may be sent again.
        """
        ...


@runtime_checkable
class CrashGuard(Protocol):
    """Tracks requests that crash upstreams; the kernel service "crashes"."""

    def is_refused(self, request: RequestDescriptor) -> bool:
        """Return whether the request crashed too many upstreams; must not block."""
        ...

    def report_crash(self, request: RequestDescriptor) -> None:
        """Record that an upstream's connection broke while it ran the request."""
        ...

    def record_ended(self, request: RequestDescriptor, has_succeeded: bool) -> None:
        """Record that an attempt of a suspected request ended without a broken connection."""
        ...

    def record_completed(self, service: ServiceName, method: bytes, target: bytes) -> None:
        """Record that an upstream completed a call."""
        ...
