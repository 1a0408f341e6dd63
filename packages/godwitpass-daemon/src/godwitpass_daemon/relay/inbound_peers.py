"""Connections on which other daemons forward calls to this one."""

import asyncio
from collections import deque
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
from godwitpass_daemon.relay.intake import LimitLog
from godwitpass_daemon.relay.limits import MAX_FRAMES_PER_TURN, WRITE_BUFFER_BYTES
from godwitpass_daemon.relay.upstream_calls import UpstreamCall
from godwitpass_daemon.relay.upstream_runner import UpstreamRunner
from godwitpass_daemon.resources import DEFAULT_RESOURCES, Resources

UNREAD_REPLY_SHARE = 0.25
"""Share of the memory for clients that replies may take which other daemons have not read."""


class InboundLinks:
    """The links of other daemons to this one, and what became of the calls on lost ones."""

    def __init__(
        self,
        instance: InstanceId,
        now: Callable[[], float],
        resources: Resources = DEFAULT_RESOURCES,
        limit_log: LimitLog | None = None,
    ) -> None:
        self.connections: dict[InboundPeerConnection, None] = {}
        self._max_connections = resources.inbound_connections
        self._max_unread_bytes = int(resources.buffer_bytes * UNREAD_REPLY_SHARE)
        self._limit_log = limit_log
        self._instance = instance
        self._now = now
        self._records = StreamRecords(now())
        self._by_link_id: dict[int, InboundPeerConnection] = {}

    def add(self, connection: "InboundPeerConnection") -> bool:
        """Add a connection, in place of one without calls if too many are open."""
        if len(self.connections) >= self._max_connections:
            self.record_limit("links", connection)
            idle = next((item for item in self.connections if item.is_idle), None)
            if idle is None:
                return False
            idle.abort()
        self.connections[connection] = None
        return True

    def has_unread_replies(self) -> bool:
        """Tell whether the replies that other daemons have not read take too much memory."""
        unread_bytes = sum(connection.unsent_bytes for connection in self.connections)
        return unread_bytes > self._max_unread_bytes

    def record_limit(self, reason: str, connection: "InboundPeerConnection") -> None:
        """Count and log that a connection met a limit."""
        if self._limit_log is not None:
            self._limit_log.record(reason, connection.client)

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
        self._frames: deque[Frame] = deque()
        self._held_bytes = 0
        self._is_paused = False
        self._is_writing_paused = False

    @property
    def is_idle(self) -> bool:
        """Return whether no call of the other daemon is in progress."""
        return not self._calls

    @property
    def client(self) -> str:
        """Return the address of the other daemon's host."""
        address = self._transport.get_extra_info("peername") if self._transport else None
        return str(address[0]) if address else ""

    @property
    def unsent_bytes(self) -> int:
        """Return how much of the replies the other daemon has not read."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def make_room(self) -> None:
        """Close a connection whose frame is incomplete, unless calls are in progress."""
        if self.is_idle:
            self._links.record_limit("memory of links", self)
            self.abort()

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
        return self.unsent_bytes > 0

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
        if not self._links.add(self):
            self.abort()
            return
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
        self._hold(self._decoder.buffered_bytes)
        if not self._has_ended:
            self._frames += frames
            self._handle_frames()

    def pause_writing(self) -> None:
        """Note that the other daemon reads its replies slowly."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Read on after the other daemon has read the replies."""
        self._is_writing_paused = False
        self._handle_frames()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls of the other daemon."""
        self._end()

    def _end(self) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        self._links.connections.pop(self, None)
        self._frames.clear()
        self._decoder = FrameDecoder()
        self._hold(0)
        for call in list(self._calls.values()):
            call.cancel()
        self._runner.response_sender.drop_channel(self)
        if self._record is not None:
            self._links.record_lost(self._link_id)

    def _hold(self, size_bytes: int) -> None:
        """Count an incomplete frame of `size_bytes`; make room for it if need be."""
        if size_bytes == self._held_bytes:
            return
        budget = self._runner.budget
        budget.held_bytes += size_bytes - self._held_bytes
        self._held_bytes = size_bytes
        if size_bytes:
            budget.record_progress(self)
            if not budget.has_room(size_bytes):
                self.make_room()
        else:
            budget.forget(self)

    def _handle_frames(self) -> None:
        """Handle some frames, and read on once none is left and the replies are read."""
        for _ in range(min(len(self._frames), MAX_FRAMES_PER_TURN)):
            if self._has_ended:
                return
            self._handle_frame(self._frames.popleft())
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        must_wait = self._is_writing_paused and self._links.has_unread_replies()
        if must_wait:
            self._links.record_limit("unread replies", self)
        elif self._frames:
            asyncio.get_running_loop().call_soon(self._handle_frames)
        must_pause = must_wait or bool(self._frames)
        if must_pause is not self._is_paused:
            self._is_paused = must_pause
            if must_pause:
                transport.pause_reading()
            else:
                transport.resume_reading()

    def _handle_frame(self, frame: Frame) -> None:
        match frame:
            case OpenStream():
                self._open_stream(frame)
            case BodyChunk(stream_id, data):
                found = self._calls.get(stream_id)
                if found is not None and len(data) > found.remaining_body_bytes:
                    self.abort()
                elif found is not None:
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
            case Ping() if self._is_writing_paused:
                # The replies that are still to be read prove that this daemon is alive.
                pass
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
