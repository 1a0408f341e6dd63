"""Recognition of requests that crash upstreams, as the relay uses it."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from godwitpass.ids import RouteName, ServiceName
from godwitpass_daemon.edge.guards import RequestDescriptor
from godwitpass_daemon.edge.limits import BODY_BUFFER_BYTES
from godwitpass_daemon.relay.upstream_connections import UpstreamConnectionPool

CRASH_CHECK_DELAY_S = 0.05
"""Time that an upstream that ends may need to close its listener after its connections."""


RecordCheck = Callable[[int, bool, str], None]
"""Records the result of a check: the number of broken calls, whether the upstream ended, why."""


class CrashGuard(Protocol):
    """Tracks requests that crash upstreams; the kernel service "crashes".

    Only the daemon beside an upstream counts attempts and crashes, so that none counts twice.
    """

    @property
    def has_suspects(self) -> bool:
        """Return whether any request is suspected."""
        ...

    def would_refuse(self, request: RequestDescriptor) -> bool:
        """Return whether the request is refused, without counting an attempt."""
        ...

    def is_suspected(self, request: RequestDescriptor) -> bool:
        """Return whether an upstream crashed while it ran the request."""
        ...

    def is_refused(self, request: RequestDescriptor) -> bool:
        """Return whether the request is refused; count its attempt otherwise."""
        ...

    def report_crash(self, request: RequestDescriptor) -> None:
        """Record that the upstream's connection broke while it ran the request."""
        ...

    def record_completed(self, service: ServiceName, method: bytes, target: bytes) -> None:
        """Record that the upstream completed a call."""
        ...


def describe_request(
    service: ServiceName, route: RouteName, head: bytes, body_chunks: Iterable[bytes]
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


class CrashDetector:
    """Tells an upstream that has ended from one that reset a connection.

    A reset alone shows no crash: an upstream may reset connections because it is full. One that
    accepts no new connection has ended, with all requests whose connections broke.
    """

    def __init__(
        self, guard: CrashGuard, pool: UpstreamConnectionPool, record_check: RecordCheck
    ) -> None:
        self._guard = guard
        self._pool = pool
        self._record_check = record_check
        self._broken_requests: list[RequestDescriptor] = []
        self._check_task: asyncio.Task[None] | None = None

    def record_reset(self, request: RequestDescriptor) -> None:
        """Check soon whether the upstream has ended while it ran `request`."""
        self._broken_requests.append(request)
        if self._check_task is None:
            self._check_task = asyncio.get_running_loop().create_task(self._check_upstream())

    async def _check_upstream(self) -> None:
        await asyncio.sleep(CRASH_CHECK_DELAY_S)
        requests, self._broken_requests = self._broken_requests, []
        self._check_task = None
        try:
            connection = await self._pool.connect()
        except (OSError, TimeoutError) as error:
            self._record_check(len(requests), True, repr(error))
            for request in requests:
                self._guard.report_crash(request)
            return
        self._record_check(len(requests), False, "accepts connections")
        self._pool.release(connection)
