"""Connections over which other daemons hand calls to this one."""

import asyncio
from typing import cast

from godwitpass.internal.relay.frames import (
    Body,
    Cancel,
    Frame,
    FrameReader,
    InvalidFrame,
    Leaving,
    Open,
    Ping,
    Pong,
    encode_frame,
)
from godwitpass_daemon.relay.upstream_runner import Host
from godwitpass_daemon.relay.upstream_calls import Job
from godwitpass_daemon.relay.limits import WRITE_BUFFER_BYTES


class Reception(asyncio.Protocol):
    """One connection of another daemon."""

    def __init__(self, host: Host, open_receptions: set["Reception"]) -> None:
        self._host = host
        self._open = open_receptions
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._jobs: dict[int, Job] = {}

    def send(self, frame: Frame) -> None:
        """Send a frame to the other daemon."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_frame(frame))

    def forget(self, stream: int) -> None:
        """Drop what is kept of a stream that has ended."""
        self._jobs.pop(stream, None)

    def announce_leaving(self) -> None:
        """Let the other daemon hand over no further calls."""
        self.send(Leaving())

    def close(self) -> None:
        """Close once everything is sent."""
        if self._transport is not None:
            self._transport.close()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._open.add(self)
        if self._host.stopping:
            self.announce_leaving()

    def data_received(self, data: bytes) -> None:
        """Take in frames of the other daemon."""
        try:
            frames = self._reader.feed(data)
        except InvalidFrame:
            self._abort()
            return
        for frame in frames:
            self._take(frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls whose sender is gone."""
        self._open.discard(self)
        for job in list(self._jobs.values()):
            job.cancel()

    def _take(self, frame: Frame) -> None:
        match frame:
            case Open():
                job = self._host.open(self, frame)
                if not job.done:
                    self._jobs[frame.stream] = job
            case Body(stream, data):
                held = self._jobs.get(stream)
                if held is not None:
                    held.add_body(data)
            case Cancel(stream):
                held = self._jobs.pop(stream, None)
                if held is not None:
                    held.cancel()
            case Ping():
                self.send(Pong(self._host.load()))
            case _:
                self._abort()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
