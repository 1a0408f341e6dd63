"""One request on a caller connection, from its head to the end of its response."""

import asyncio
from typing import TYPE_CHECKING

from godwitpass.ids import NO_VERSION, Version
from godwitpass.internal.relay.routes import RelayRoute
from godwitpass_daemon.relay.forwarded_calls import ForwardedCall
from godwitpass_daemon.relay.headers import RequestHead, RequestRejected

if TYPE_CHECKING:
    from godwitpass_daemon.relay.ingress import CallerConnection


class PipelinedRequest:
    """Collects a request, and buffers its response until all earlier ones are written.

    `wait_timer` bounds how long the request waits for the first configuration. `version` is the
    version by which the route was found or the request was rejected.
    """

    __slots__ = (
        "_connection",
        "_pending_output",
        "arrived_at",
        "body_bytes",
        "body_chunks",
        "call",
        "closes_connection",
        "head",
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

    def __init__(self, connection: "CallerConnection", arrived_at: float) -> None:
        self._connection = connection
        self._pending_output: list[bytes] = []
        self.arrived_at = arrived_at
        self.body_chunks: list[bytes] = []
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

    def decide_close(self) -> bool:
        """Decide whether the connection closes after this response; its head announces it."""
        self.closes_connection = self.closes_connection or self._connection.closes_after(self)
        return self.closes_connection

    def write_response(self, data: bytes, is_last: bool) -> None:
        """Append to the response, which is written once all earlier responses are complete."""
        self._pending_output.append(data)
        self.is_response_complete = self.is_response_complete or is_last
        self._connection.flush_responses()

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
        return data
