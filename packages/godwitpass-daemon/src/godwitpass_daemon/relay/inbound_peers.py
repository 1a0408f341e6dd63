"""Connections on which other daemons forward calls to this one."""

import asyncio
from typing import cast

from godwitpass.internal.relay.frames import (
    BodyChunk,
    BodyReceived,
    CancelStream,
    Frame,
    FrameDecoder,
    GoAway,
    InvalidFrame,
    OpenStream,
    Ping,
    Pong,
    WindowUpdate,
    WithdrawStream,
    encode_frame,
)
from godwitpass_daemon.relay.limits import WRITE_BUFFER_BYTES
from godwitpass_daemon.relay.upstream_calls import UpstreamCall
from godwitpass_daemon.relay.upstream_runner import UpstreamRunner


class InboundPeerConnection(asyncio.Protocol):
    """A connection on which another daemon opens one stream per forwarded call."""

    is_flow_controlled = True

    def __init__(
        self, runner: UpstreamRunner, open_connections: set["InboundPeerConnection"]
    ) -> None:
        self._runner = runner
        self._open_connections = open_connections
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._calls: dict[int, UpstreamCall] = {}

    def send(self, frame: Frame) -> None:
        """Send a frame unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_frame(frame))

    def remove_stream(self, stream_id: int) -> None:
        """Remove a stream that has ended."""
        self._calls.pop(stream_id, None)

    def send_go_away(self) -> None:
        """Tell the other daemon to forward no further calls."""
        self.send(GoAway())

    def close(self) -> None:
        """Close the connection after the pending data is sent."""
        if self._transport is not None:
            self._transport.close()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; a stopping daemon sends `GoAway` at once."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._open_connections.add(self)
        if self._runner.is_stopping:
            self.send_go_away()

    def data_received(self, data: bytes) -> None:
        """Decode and handle received frames; an invalid one closes the connection."""
        try:
            frames = self._decoder.decode(data)
        except InvalidFrame:
            self._abort()
            return
        for frame in frames:
            self._handle_frame(frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls of the other daemon."""
        self._open_connections.discard(self)
        for call in list(self._calls.values()):
            call.cancel()
        self._runner.response_sender.drop_channel(self)

    def _handle_frame(self, frame: Frame) -> None:
        match frame:
            case OpenStream():
                call = self._runner.open_call(self, frame)
                if not call.has_ended:
                    self._calls[frame.stream_id] = call
            case BodyChunk(stream_id, data):
                found = self._calls.get(stream_id)
                if found is not None:
                    found.receive_body(data)
            case CancelStream(stream_id):
                found = self._calls.pop(stream_id, None)
                if found is not None:
                    found.cancel()
                self._runner.response_sender.cancel(self, stream_id)
            case WithdrawStream(stream_id):
                found = self._calls.get(stream_id)
                if found is not None:
                    found.withdraw()
            case BodyReceived(stream_id, size_bytes):
                self._runner.response_sender.record_received(self, stream_id, size_bytes)
            case WindowUpdate(stream_id, size_bytes):
                found = self._calls.get(stream_id)
                if found is not None:
                    found.extend_window(size_bytes)
            case Ping():
                self.send(Pong(self._runner.get_load()))
            case _:
                self._abort()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
