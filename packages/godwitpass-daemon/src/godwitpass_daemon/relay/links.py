"""Ways to the daemons beside upstreams: kept connections, and a short cut to the own one."""

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

import msgspec

from godwitpass.ids import Address, InstanceId
from godwitpass.internal.relay.frames import (
    BODY_CHUNK_BYTES,
    Answered,
    Body,
    Cancel,
    Cut,
    Failed,
    Frame,
    FrameReader,
    InvalidFrame,
    Leaving,
    Load,
    Open,
    Ping,
    Pong,
    Proceed,
    Refused,
    encode_frame,
)
from godwitpass_daemon.listeners import split_address
from godwitpass_daemon.relay.upstream_runner import Host
from godwitpass_daemon.relay.upstream_calls import Job
from godwitpass_daemon.relay.limits import (
    PEER_CONNECT_S,
    PEER_IDLE_S,
    PEER_SILENT_S,
    PING_AFTER_S,
    WRITE_BUFFER_BYTES,
)


class Stream(Protocol):
    """What a link tells the call that was handed over."""

    def take_refused(self, frame: Refused) -> None:
        """Take in that the call has not run."""
        ...

    def take_failed(self, frame: Failed) -> None:
        """Take in that the call may have run."""
        ...

    def take_answered(self, frame: Answered) -> None:
        """Take in an answer or its beginning."""
        ...

    def take_body(self, frame: Body) -> None:
        """Take in a further part of an answer."""
        ...

    def take_cut(self) -> None:
        """Take in that an answer that had begun will not be whole."""
        ...

    def take_lost(self, sent: bool) -> None:
        """Take in that the way to the daemon broke; `sent` if it may have got the call."""
        ...


class Observer(Protocol):
    """What a link tells about the daemon at its other end."""

    def note_load(self, instance: InstanceId, load: Load) -> None:
        """Take in the load of the upstream there."""
        ...

    def note_leaving(self, instance: InstanceId) -> None:
        """Take in that the daemon stops."""
        ...

    def note_lost(self, instance: InstanceId, address: Address, reason: str) -> None:
        """Take in that the daemon can't be reached."""
        ...


def deliver(streams: dict[int, Stream], frame: Answered | Body | Refused | Failed | Cut) -> None:
    """Pass `frame` to the call it belongs to, which is forgotten before its last frame."""
    number = frame.stream
    stream = streams.get(number)
    if stream is None:
        return
    if not isinstance(frame, Answered | Body) or frame.last:
        del streams[number]
    match frame:
        case Answered():
            stream.take_answered(frame)
        case Body():
            stream.take_body(frame)
        case Refused():
            stream.take_refused(frame)
        case Failed():
            stream.take_failed(frame)
        case Cut():
            stream.take_cut()


class PeerLink(asyncio.Protocol):
    """One connection to another daemon; carries many calls side by side."""

    def __init__(
        self,
        instance: InstanceId,
        address: Address,
        observer: Observer,
        now: Callable[[], float],
        forget: Callable[[], object],
    ) -> None:
        self.instance = instance
        self.address = address
        self._observer = observer
        self._now = now
        self._forget = forget
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._unsent: list[bytes] = []
        self._streams: dict[int, Stream] = {}
        self._bodies: dict[int, bytes] = {}
        self._next = 0
        self._heard_at = now()
        self._used_at = now()
        self._pinged_at = 0.0
        self._closed = False
        self._task = asyncio.get_running_loop().create_task(self._connect())

    def open(self, stream: Stream, opened: Open, body: bytes) -> int:
        """Hand a call over and return its number on this link."""
        self._next += 1
        number = self._next
        now = self._now()
        if not self._streams:
            self._heard_at = max(self._heard_at, now)
        self._used_at = now
        self._streams[number] = stream
        paced = len(body) > BODY_CHUNK_BYTES
        first = b"" if paced else body
        self._write(msgspec.structs.replace(opened, stream=number, body=first))
        if paced:
            self._bodies[number] = body
        return number

    def cancel(self, number: int) -> None:
        """Drop a call; nothing more is heard of it."""
        self._bodies.pop(number, None)
        if self._streams.pop(number, None) is not None:
            self._write(Cancel(number))

    def sweep(self, now: float, paused: bool) -> None:
        """Ask a silent daemon for a sign of life, and give it up in the end."""
        if self._transport is None:
            return
        if paused:
            # This process stood still; what the other end sent meanwhile is not read yet.
            self._heard_at = now
        if not self._streams:
            if now - self._used_at > PEER_IDLE_S:
                self._lose("idle", reached=True)
            return
        silence = now - self._heard_at
        if silence > PEER_SILENT_S:
            self._lose("silent", reached=False)
        elif silence > PING_AFTER_S and now - self._pinged_at > PING_AFTER_S:
            self._pinged_at = now
            self._write(Ping())

    def close(self) -> None:
        """Close the connection; calls on it are lost."""
        self._lose("closed", reached=True)

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send what waited for the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._heard_at = self._now()
        if self._closed:
            self._transport.abort()
            return
        unsent, self._unsent = self._unsent, []
        if unsent:
            self._transport.write(b"".join(unsent))

    def data_received(self, data: bytes) -> None:
        """Pass frames to the calls they belong to."""
        self._heard_at = self._now()
        try:
            frames = self._reader.feed(data)
        except InvalidFrame as error:
            self._lose(f"invalid frame: {error}", reached=True)
            return
        for frame in frames:
            self._take(frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the calls that had no answer yet."""
        self._lose(repr(exc) if exc else "ended", reached=False)

    def _take(self, frame: Frame) -> None:
        match frame:
            case Pong(load):
                self._observer.note_load(self.instance, load)
            case Leaving():
                self._observer.note_leaving(self.instance)
            case Proceed(stream, size):
                self._send_body(stream, size)
            case Answered() | Refused() | Failed():
                self._observer.note_load(self.instance, frame.load)
                self._deliver(frame)
            case Body() | Cut():
                self._deliver(frame)
            case _:
                self._lose("unexpected frame", reached=True)

    def _send_body(self, number: int, size: int) -> None:
        body = self._bodies.pop(number, b"")
        if body:
            self._write(Body(number, body[:size]))
            if len(body) > size:
                self._bodies[number] = body[size:]

    def _deliver(self, frame: Answered | Body | Refused | Failed | Cut) -> None:
        # An answer may come before the body was asked for.
        if not isinstance(frame, Answered | Body) or frame.last:
            self._bodies.pop(frame.stream, None)
        deliver(self._streams, frame)

    def _write(self, frame: Frame) -> None:
        data = encode_frame(frame)
        if self._transport is not None:
            self._transport.write(data)
        else:
            self._unsent.append(data)

    async def _connect(self) -> None:
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(PEER_CONNECT_S):
                await loop.create_connection(lambda: self, host, port)
        except (OSError, TimeoutError) as error:
            self._lose(f"not connected: {error!r}", reached=False)

    def _lose(self, reason: str, reached: bool) -> None:
        if self._closed:
            return
        self._closed = True
        self._forget()
        sent = self._transport is not None
        if self._transport is not None:
            self._transport.abort()
        if not reached:
            self._observer.note_lost(self.instance, self.address, reason)
        streams, self._streams = self._streams, {}
        for stream in streams.values():
            stream.take_lost(sent)


class LocalLink:
    """Hands calls to the upstream beside this daemon without a connection."""

    def __init__(
        self, host: Host, note_load: Callable[[Load], None], loop: asyncio.AbstractEventLoop
    ) -> None:
        self._host = host
        self._note_load = note_load
        self._loop = loop
        self._streams: dict[int, Stream] = {}
        self._jobs: dict[int, Job] = {}
        self._next = 0

    def open(self, stream: Stream, opened: Open, body: bytes) -> int:
        """Hand a call over and return its number."""
        self._next += 1
        number = self._next
        self._streams[number] = stream
        whole = msgspec.structs.replace(opened, stream=number, body=body)
        job = self._host.open(self, whole)
        if not job.done:
            self._jobs[number] = job
        return number

    def cancel(self, number: int) -> None:
        """Drop a call; nothing more is heard of it."""
        self._streams.pop(number, None)
        job = self._jobs.pop(number, None)
        if job is not None:
            job.cancel()

    def send(self, frame: Frame) -> None:
        """Pass a frame to its call, after the code that is running now."""
        self._loop.call_soon(self._deliver, frame)

    def forget(self, stream: int) -> None:
        """Drop what is kept of a stream that has ended."""
        self._jobs.pop(stream, None)

    def _deliver(self, frame: Frame) -> None:
        if isinstance(frame, Answered | Refused | Failed):
            self._note_load(frame.load)
        if isinstance(frame, Answered | Body | Refused | Failed | Cut):
            deliver(self._streams, frame)


Link = PeerLink | LocalLink
