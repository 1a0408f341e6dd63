"""Links to the daemons beside upstreams: connections, and a direct link to the local upstream."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol, cast

import msgspec

from godwitpass.ids import Address, InstanceId
from godwitpass.internal.relay.frames import (
    BODY_CHUNK_BYTES,
    BodyChunk,
    BodyReceived,
    CancelStream,
    Failed,
    Frame,
    FrameDecoder,
    GoAway,
    InvalidFrame,
    Load,
    OpenStream,
    Ping,
    Pong,
    Refused,
    Response,
    ResponseAborted,
    StreamsSettled,
    WindowUpdate,
    WithdrawStream,
    encode_frame,
)
from godwitpass_daemon.listeners import split_address
from godwitpass_daemon.relay.limits import (
    PEER_CONNECT_TIMEOUT_S,
    PEER_IDLE_TIMEOUT_S,
    PEER_TIMEOUT_S,
    PING_AFTER_S,
    SETTLE_AFTER_S,
    WRITE_BUFFER_BYTES,
)
from godwitpass_daemon.relay.settlement import LinkIdentity
from godwitpass_daemon.relay.upstream_calls import UpstreamCall
from godwitpass_daemon.relay.upstream_runner import UpstreamRunner

LINK_ID_BITS = 62


class StreamHandler(Protocol):
    """Receives the frames of one forwarded call."""

    @property
    def may_run_twice(self) -> bool:
        """Return whether the call may be sent again although it may have run."""
        ...

    def can_be_settled(self) -> bool:
        """Tell whether the other daemon still knows if the call has run, which has no response."""
        ...

    def handle_refused(self, frame: Refused) -> None:
        """Handle that the call has not run."""
        ...

    def handle_failed(self, frame: Failed) -> None:
        """Handle that the call may have run."""
        ...

    def handle_response(self, frame: Response) -> None:
        """Handle a response or its first part."""
        ...

    def handle_body(self, frame: BodyChunk) -> None:
        """Handle a further part of a response."""
        ...

    def handle_aborted(self) -> None:
        """Handle that a started response will not be completed."""
        ...

    def handle_link_lost(self, was_sent: bool) -> None:
        """Handle the loss of the link; `was_sent` if the other daemon may have got the call."""
        ...


class PeerObserver(Protocol):
    """Receives what a link learns about the daemon at its other end."""

    def record_load(self, instance: InstanceId, load: Load) -> None:
        """Handle the reported load of the upstream."""
        ...

    def record_go_away(self, instance: InstanceId) -> None:
        """Handle that the daemon is stopping."""
        ...

    def record_peer_lost(self, instance: InstanceId, address: Address, reason: str) -> None:
        """Handle that the daemon can't be reached."""
        ...

    def settle_silent_link(self, link: "PeerLink") -> None:
        """Ask the daemon which calls of a silent link have not run, and end the link."""
        ...

    def settle_lost_calls(self, link: LinkIdentity, handlers: dict[int, StreamHandler]) -> None:
        """End the calls of a lost link, and try those again that have not run."""
        ...


def dispatch_frame(
    handlers: dict[int, StreamHandler],
    frame: Response | BodyChunk | Refused | Failed | ResponseAborted,
) -> None:
    """Pass `frame` to the handler of its stream, which is removed before its last frame."""
    stream_id = frame.stream_id
    handler = handlers.get(stream_id)
    if handler is None:
        return
    if not isinstance(frame, Response | BodyChunk) or frame.is_last:
        del handlers[stream_id]
    match frame:
        case Response():
            handler.handle_response(frame)
        case BodyChunk():
            handler.handle_body(frame)
        case Refused():
            handler.handle_refused(frame)
        case Failed():
            handler.handle_failed(frame)
        case ResponseAborted():
            handler.handle_aborted()


class PeerLink(asyncio.Protocol):
    """A connection to another daemon, on which many calls are multiplexed."""

    def __init__(
        self,
        instance: InstanceId,
        address: Address,
        observer: PeerObserver,
        now: Callable[[], float],
        on_close: Callable[[], object],
    ) -> None:
        self.instance = instance
        self.address = address
        self._observer = observer
        self._now = now
        self._on_close = on_close
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._pending_writes: list[bytes] = []
        self._handlers: dict[int, StreamHandler] = {}
        self._unsent_bodies: dict[int, memoryview] = {}
        self.identity = LinkIdentity(random.getrandbits(LINK_ID_BITS) + 1, instance, address, now())
        self._is_being_settled = False
        self._last_stream_id = 0
        self._last_received_at = now()
        self._last_used_at = now()
        self._last_ping_at = 0.0
        self._is_closed = False
        self._connect_task = asyncio.get_running_loop().create_task(self._connect())

    def open(self, handler: StreamHandler, request: OpenStream, body: bytes) -> int:
        """Forward a call and return its stream id."""
        self._last_stream_id += 1
        stream_id = self._last_stream_id
        now = self._now()
        if not self._handlers:
            self._last_received_at = max(self._last_received_at, now)
        self._last_used_at = now
        self._handlers[stream_id] = handler
        is_flow_controlled = len(body) > BODY_CHUNK_BYTES
        first_chunk = b"" if is_flow_controlled else body
        self._write(
            msgspec.structs.replace(
                request, stream_id=stream_id, body=first_chunk, link_id=self.identity.link_id
            )
        )
        if is_flow_controlled:
            self._unsent_bodies[stream_id] = memoryview(body)
        return stream_id

    def cancel(self, stream_id: int) -> None:
        """Cancel a call; its handler receives no further frames."""
        self._unsent_bodies.pop(stream_id, None)
        if self._handlers.pop(stream_id, None) is not None:
            self._write(CancelStream(stream_id))

    def withdraw(self, stream_id: int) -> None:
        """Take a call back that waits; its handler is told if it did, and not if it runs."""
        if stream_id in self._handlers:
            self._write(WithdrawStream(stream_id))

    def extend_window(self, stream_id: int, size_bytes: int) -> None:
        """Let the other daemon send `size_bytes` more of a streamed response."""
        if stream_id in self._handlers:
            self._write(WindowUpdate(stream_id, size_bytes))

    def check_timeouts(self, now: float, was_paused: bool) -> None:
        """Ping a silent daemon, and close a connection that is dead or idle for too long."""
        if self._transport is None:
            return
        if was_paused:
            # Frames that arrived while this process was paused have not been read yet.
            self._last_received_at = now
        if not self._handlers:
            if now - self._last_used_at > PEER_IDLE_TIMEOUT_S:
                self._disconnect("idle", was_reached=True)
            return
        silence_s = now - self._last_received_at
        if silence_s > PEER_TIMEOUT_S:
            self._disconnect("silent", was_reached=False)
        elif (
            silence_s > SETTLE_AFTER_S
            and not self._is_being_settled
            # A ping behind data that is still to be sent says nothing about the link.
            and not self._transport.get_write_buffer_size()
        ):
            self._is_being_settled = True
            self._observer.settle_silent_link(self)
        elif silence_s > PING_AFTER_S and now - self._last_ping_at > PING_AFTER_S:
            self._last_ping_at = now
            self._write(Ping())

    def is_silent(self) -> bool:
        """Tell whether nothing has arrived lately although calls are in progress."""
        silence_s = self._now() - self._last_received_at
        return not self._is_closed and bool(self._handlers) and silence_s > SETTLE_AFTER_S

    def end_settled(self, answer: StreamsSettled | None) -> None:
        """Close a silent link that the other daemon has ended; without an answer, go on."""
        self._is_being_settled = False
        if answer is None or self._is_closed:
            return
        handlers, self._handlers = self._handlers, {}
        self._disconnect("silent", was_reached=False)
        for stream_id, handler in handlers.items():
            has_not_run = handler.can_be_settled() and answer.has_not_run(stream_id)
            handler.handle_link_lost(was_sent=not has_not_run)

    def close(self) -> None:
        """Close the connection; the calls on it are lost."""
        self._disconnect("closed", was_reached=True)

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the frames that were queued for the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._last_received_at = self._now()
        if self._is_closed:
            self._transport.abort()
            return
        pending_writes, self._pending_writes = self._pending_writes, []
        if pending_writes:
            self._transport.write(b"".join(pending_writes))

    def data_received(self, data: bytes) -> None:
        """Pass received frames to their calls."""
        self._last_received_at = self._now()
        try:
            frames = self._decoder.decode(data)
        except InvalidFrame as error:
            self._disconnect(f"invalid frame: {error}", was_reached=True)
            return
        for frame in frames:
            self._handle_frame(frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handlers of calls that have no response yet."""
        self._disconnect(repr(exc) if exc else "ended", was_reached=False)

    def _handle_frame(self, frame: Frame) -> None:
        match frame:
            case Pong(load):
                self._observer.record_load(self.instance, load)
            case GoAway():
                self._observer.record_go_away(self.instance)
            case WindowUpdate(stream_id, size_bytes):
                self._send_chunk(stream_id, size_bytes)
            case Response() | Refused() | Failed():
                self._observer.record_load(self.instance, frame.load)
                if isinstance(frame, Response) and not frame.is_last:
                    self._write(BodyReceived(frame.stream_id, len(frame.body)))
                self._dispatch(frame)
            case BodyChunk():
                if frame.data:
                    self._write(BodyReceived(frame.stream_id, len(frame.data)))
                self._dispatch(frame)
            case ResponseAborted():
                self._dispatch(frame)
            case _:
                self._disconnect("unexpected frame", was_reached=True)

    def _send_chunk(self, stream_id: int, size_bytes: int) -> None:
        body = self._unsent_bodies.pop(stream_id, None)
        if body is not None:
            self._write(BodyChunk(stream_id, bytes(body[:size_bytes])))
            if len(body) > size_bytes:
                # A view, since a copy of the rest for each chunk takes quadratic time.
                self._unsent_bodies[stream_id] = body[size_bytes:]

    def _dispatch(self, frame: Response | BodyChunk | Refused | Failed | ResponseAborted) -> None:
        # A response may arrive before the whole request body was sent.
        if not isinstance(frame, Response | BodyChunk) or frame.is_last:
            self._unsent_bodies.pop(frame.stream_id, None)
        dispatch_frame(self._handlers, frame)

    def _write(self, frame: Frame) -> None:
        data = encode_frame(frame)
        if self._transport is not None:
            self._transport.write(data)
        else:
            self._pending_writes.append(data)

    async def _connect(self) -> None:
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(PEER_CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: self, host, port)
        except (OSError, TimeoutError) as error:
            self._disconnect(f"not connected: {error!r}", was_reached=False)

    def _disconnect(self, reason: str, was_reached: bool) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._unsent_bodies.clear()
        self._pending_writes.clear()
        self._on_close()
        was_sent = self._transport is not None
        if self._transport is not None:
            self._transport.abort()
        if not was_reached:
            self._observer.record_peer_lost(self.instance, self.address, reason)
        handlers, self._handlers = self._handlers, {}
        unsettled: dict[int, StreamHandler] = {}
        for stream_id, handler in handlers.items():
            is_lost = was_sent and not was_reached
            if is_lost and not handler.may_run_twice and handler.can_be_settled():
                unsettled[stream_id] = handler
            else:
                handler.handle_link_lost(was_sent)
        if unsettled:
            self._observer.settle_lost_calls(self.identity, unsettled)


class LocalLink:
    """Passes calls to the local upstream without a connection."""

    is_flow_controlled = False

    def __init__(
        self,
        runner: UpstreamRunner,
        record_load: Callable[[Load], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._runner = runner
        self._record_load = record_load
        self._loop = loop
        self._handlers: dict[int, StreamHandler] = {}
        self._calls: dict[int, UpstreamCall] = {}
        self._last_stream_id = 0

    def open(self, handler: StreamHandler, request: OpenStream, body: bytes) -> int:
        """Run a call and return its stream id."""
        self._last_stream_id += 1
        stream_id = self._last_stream_id
        self._handlers[stream_id] = handler
        whole_request = msgspec.structs.replace(request, stream_id=stream_id, body=body)
        call = self._runner.open_call(self, whole_request)
        if not call.has_ended:
            self._calls[stream_id] = call
        return stream_id

    def cancel(self, stream_id: int) -> None:
        """Cancel a call; its handler receives no further frames."""
        self._handlers.pop(stream_id, None)
        call = self._calls.pop(stream_id, None)
        if call is not None:
            call.cancel()

    def withdraw(self, stream_id: int) -> None:
        """Take a call back that waits; its handler is told if it did, and not if it runs."""
        call = self._calls.get(stream_id)
        if call is not None:
            call.withdraw()

    def extend_window(self, stream_id: int, size_bytes: int) -> None:
        """Let the local call send `size_bytes` more of a streamed response."""
        call = self._calls.get(stream_id)
        if call is not None:
            call.extend_window(size_bytes)

    def send(self, frame: Frame) -> None:
        """Dispatch a frame in a later iteration of the event loop, after the current callback."""
        self._loop.call_soon(self._dispatch, frame)

    def remove_stream(self, stream_id: int) -> None:
        """Remove a stream that has ended."""
        self._calls.pop(stream_id, None)

    def _dispatch(self, frame: Frame) -> None:
        if isinstance(frame, Response | Refused | Failed):
            self._record_load(frame.load)
        if isinstance(frame, Response | BodyChunk | Refused | Failed | ResponseAborted):
            dispatch_frame(self._handlers, frame)


Link = PeerLink | LocalLink
