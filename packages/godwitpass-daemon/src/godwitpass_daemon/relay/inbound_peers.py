"""Connections on which other daemons forward calls to this one."""

import asyncio
from collections.abc import Callable
from typing import cast

from godwitpass.ids import InstanceId
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
    Refused,
    SettleStreams,
    StreamsSettled,
    WindowUpdate,
    WithdrawStream,
    encode_frame,
)
from godwitpass.internal.relay.stream_records import StreamRecord, StreamRecords
from godwitpass_daemon.relay.limits import WRITE_BUFFER_BYTES
from godwitpass_daemon.relay.upstream_calls import UpstreamCall
from godwitpass_daemon.relay.upstream_runner import UpstreamRunner


class InboundLinks:
    """The links of other daemons to this one, and what became of the calls on lost ones."""

    def __init__(self, instance: InstanceId, now: Callable[[], float]) -> None:
        self.connections: set[InboundPeerConnection] = set()
        self._instance = instance
        self._now = now
        self._records = StreamRecords(now())
        self._by_link_id: dict[int, InboundPeerConnection] = {}

    def register(self, link_id: int, connection: "InboundPeerConnection") -> StreamRecord | None:
        """Return the record of the link on `connection`; None if the link was settled before."""
        record = self._records.open(link_id)
        if record is not None:
            self._by_link_id[link_id] = connection
        return record

    def record_lost(self, link_id: int) -> None:
        """Note that a link is lost and that its calls have been cancelled."""
        if self._by_link_id.pop(link_id, None) is not None:
            self._records.close(link_id, self._now())

    def settle(self, request: SettleStreams) -> StreamsSettled:
        """End the link that is asked for, if it is still open, and tell which calls haven't run."""
        connection = self._by_link_id.get(request.link_id)
        if connection is not None:
            connection.abort()
        now = self._now()
        record = self._records.settle(request.link_id, now)
        return StreamsSettled(
            request.link_id,
            self._instance,
            int(self._records.compute_uptime_s(now) * 1000),
            record.last_stream_id,
            record.list_refused(),
        )


class InboundPeerConnection(asyncio.Protocol):
    """A connection on which another daemon opens one stream per forwarded call."""

    is_flow_controlled = True

    def __init__(self, runner: UpstreamRunner, links: InboundLinks) -> None:
        self._runner = runner
        self._links = links
        self._link_id = 0
        self._record: StreamRecord | None = None
        self._has_ended = False
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._calls: dict[int, UpstreamCall] = {}

    def send(self, frame: Frame) -> None:
        """Send a frame unless the connection is closing."""
        if isinstance(frame, Refused) and not frame.reached_upstream and self._record is not None:
            self._record.record_refused(frame.stream_id)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_frame(frame))

    def remove_stream(self, stream_id: int) -> None:
        """Remove a stream that has ended."""
        self._calls.pop(stream_id, None)

    def send_go_away(self) -> None:
        """Tell the other daemon to forward no further calls."""
        self.send(GoAway())

    @property
    def has_unsent_output(self) -> bool:
        """Return whether the other daemon has yet to take parts of responses."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def close(self) -> None:
        """Close the connection after the pending data is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once; its calls are cancelled and no more are accepted."""
        if self._transport is not None:
            self._transport.abort()
        self._end()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; a stopping daemon sends `GoAway` at once."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._links.connections.add(self)
        if self._runner.is_stopping:
            self.send_go_away()

    def data_received(self, data: bytes) -> None:
        """Decode and handle received frames; an invalid one closes the connection."""
        if self._has_ended:
            return
        try:
            frames = self._decoder.decode(data)
        except InvalidFrame:
            self.abort()
            return
        for frame in frames:
            if not self._has_ended:
                self._handle_frame(frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls of the other daemon."""
        self._end()

    def _end(self) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        self._links.connections.discard(self)
        for call in list(self._calls.values()):
            call.cancel()
        self._runner.response_sender.drop_channel(self)
        if self._record is not None:
            self._links.record_lost(self._link_id)

    def _handle_frame(self, frame: Frame) -> None:
        match frame:
            case OpenStream():
                self._open_stream(frame)
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
            case SettleStreams():
                self.send(self._links.settle(frame))
            case _:
                self.abort()

    def _open_stream(self, frame: OpenStream) -> None:
        if frame.link_id and not self._link_id:
            self._link_id = frame.link_id
            self._record = self._links.register(frame.link_id, self)
            if self._record is None:
                self.abort()
                return
        if self._record is not None:
            self._record.record_opened(frame.stream_id, self._runner.now())
        call = self._runner.open_call(self, frame)
        if not call.has_ended:
            self._calls[frame.stream_id] = call
