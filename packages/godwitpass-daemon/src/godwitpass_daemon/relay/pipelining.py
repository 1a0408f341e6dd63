"""One request on a caller connection, from its head to the end of its response."""

import asyncio
from typing import TYPE_CHECKING

from godwitpass.ids import NO_VERSION, Version
from godwitpass.internal.relay.routes import RelayRoute
from godwitpass_daemon.relay.forwarded_calls import ForwardedCall
from godwitpass_daemon.relay.headers import RequestHead, RequestRejected
from godwitpass_daemon.relay.request_budget import RequestBudget

if TYPE_CHECKING:
    from godwitpass_daemon.relay.ingress import CallerConnection


class PipelinedRequest:
    """Collects a request, and buffers its response until all earlier ones are written.

    `wait_timer` bounds how long the request waits for the first configuration. `version` is the
    version by which the route was found or the request was rejected. `held_bytes` is what the
    request takes of `budget`; the `body_bytes` of them are released with the response.
    """

    __slots__ = (
        "_budget",
        "_connection",
        "_pending_bytes",
        "_pending_output",
        "arrived_at",
        "body",
        "body_bytes",
        "call",
        "closes_connection",
        "head",
        "held_bytes",
        "is_chunked",
        "is_request_complete",
        "is_response_complete",
        "is_started",
        "keep_alive",
        "rejection",
        "route",
        "version",
        "wait_timer",
    )

    def __init__(
        self, connection: "CallerConnection", budget: RequestBudget, arrived_at: float
    ) -> None:
        self._connection = connection
        self._budget = budget
        self._pending_output: list[bytes] = []
        self._pending_bytes = 0
        self.arrived_at = arrived_at
        self.held_bytes = 0
        self.body = b""
        self.body_bytes = 0
        self.is_chunked = False
        self.closes_connection = False
        self.is_request_complete = False
        self.rejection: RequestRejected | None = None
        self.call: ForwardedCall | None = None
        self.is_response_complete = False
        self.head: RequestHead | None = None
        self.keep_alive = True
        self.route: RelayRoute | None = None
        self.is_started = False
        self.version: Version = NO_VERSION
        self.wait_timer: asyncio.TimerHandle | None = None

    @property
    def is_first(self) -> bool:
        """Return whether the responses to all earlier requests are written."""
        return self._connection.is_first(self)

    @property
    def is_abandoned(self) -> bool:
        """Return whether the caller can't get a response any more."""
        return self._connection.is_stopped

    @property
    def has_pending_output(self) -> bool:
        """Return whether parts of the response are still to be written."""
        return bool(self._pending_output)

    def hold(self, size_bytes: int) -> None:
        """Take `size_bytes` more of the budget, or give them back if negative."""
        self.held_bytes += size_bytes
        self._budget.held_bytes += size_bytes

    def hold_body(self, body_bytes: int) -> None:
        """Take what a body of `body_bytes` needs of the budget."""
        self.hold(body_bytes - self.body_bytes)
        self.body_bytes = body_bytes

    def release_body(self) -> None:
        """Give back what the body takes of the budget."""
        self.body = b""
        if self.body_bytes:
            self.hold(-self.body_bytes)
            self.body_bytes = 0

    def release(self) -> None:
        """Give back all that the request takes of the budget."""
        self._budget.held_bytes -= self.held_bytes
        self.held_bytes = self.body_bytes = self._pending_bytes = 0
        self.body = b""
        self.call = None

    def decide_close(self) -> bool:
        """Decide whether the connection closes after this response; its head announces it."""
        self.closes_connection = self.closes_connection or self._connection.closes_after(self)
        return self.closes_connection

    def write_response(self, data: bytes, is_last: bool) -> None:
        """Append to the response, which is written once all earlier responses are complete."""
        self._pending_output.append(data)
        self.is_response_complete = self.is_response_complete or is_last
        if self.body_bytes:
            self.release_body()
        self._connection.flush_responses()
        if self._pending_output and not self.is_abandoned:
            self._pending_bytes += len(data)
            self.hold(len(data))
            self._connection.check_output()

    def abort(self) -> None:
        """Close the connection, so that the caller notices that the response is incomplete."""
        self._connection.abort()

    def record_output_taken(self, size_bytes: int) -> None:
        """Record that the caller has taken `size_bytes` of the response."""
        if self.call is not None and not self.is_response_complete:
            self.call.handle_output_taken(size_bytes)

    def take_pending_output(self) -> bytes:
        """Return and clear the buffered part of the response."""
        data = b"".join(self._pending_output)
        self._pending_output.clear()
        if self._pending_bytes:
            self.hold(-self._pending_bytes)
            self._pending_bytes = 0
        return data
