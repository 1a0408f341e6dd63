"""Recognition of requests that crash upstreams, as the relay uses it."""

from collections.abc import Iterable
from typing import Protocol

from godwitpass.ids import RouteName, ServiceName
from godwitpass_daemon.edge.guards import RequestDescriptor
from godwitpass_daemon.edge.limits import BODY_BUFFER_BYTES


class CrashGuard(Protocol):
    """Tracks requests that crash upstreams; the kernel service "crashes".

    Only the daemon beside an upstream counts attempts and crashes, so that none counts twice.
    """

    @property
    def has_suspects(self) -> bool:
        """Return whether any request is suspected."""
        ...

    def would_refuse(self, request: RequestDescriptor, is_forwarding: bool = False) -> bool:
        """Return whether the request is refused, without counting an attempt.

        With `is_forwarding`, the daemon beside the upstream decides whether it is tried again.
        """
        ...

    def is_suspected(self, request: RequestDescriptor) -> bool:
        """Return whether an upstream crashed while it ran the request."""
        ...

    def is_refused(self, request: RequestDescriptor) -> bool:
        """Return whether the request is refused; count its attempt otherwise."""
        ...

    def report_crash(self, request: RequestDescriptor, age_s: float = 0.0) -> None:
        """Record that the upstream's connection broke `age_s` ago while it ran the request."""
        ...

    def record_ended(self, request: RequestDescriptor, has_succeeded: bool) -> None:
        """Record that an attempt of a suspected request ended without a broken connection."""
        ...

    def record_completed(self, service: ServiceName, method: bytes, target: bytes) -> None:
        """Record that the upstream completed a call."""
        ...


def describe_request(
    service: ServiceName, route: RouteName, head: bytes, body_chunks: Iterable[bytes | bytearray]
) -> RequestDescriptor:
    """Describe a request by its encoded head and the beginning of its body."""
    method, target = split_request_line(head)
    body = b"".join(body_chunks)[:BODY_BUFFER_BYTES]
    return RequestDescriptor(
        service=service,
        route=route,
        method=method.decode("latin-1"),
        target=target,
        idempotency_key="",
        body=body,
        timeout_s=0.0,
    )


def split_request_line(head: bytes) -> tuple[bytes, bytes]:
    """Return the method and the target of an encoded head."""
    method, _, rest = head.partition(b" ")
    return method, rest.partition(b" ")[0]
