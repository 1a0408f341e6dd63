"""Asks the daemon at the other end of a lost or silent link which calls have not run and won't."""

import asyncio
from collections.abc import Callable

import msgspec

from godwitpass.ids import Address, InstanceId
from godwitpass.internal.relay.frames import (
    Frame,
    FrameDecoder,
    InvalidFrame,
    Ping,
    Pong,
    SettleStreams,
    StreamsSettled,
    encode_frame,
)
from godwitpass.internal.relay.stream_records import MAX_STREAM_ID, is_same_process
from godwitpass_daemon.listeners import split_address
from godwitpass_daemon.relay.limits import LINK_ANSWER_GRACE_S, SETTLEMENT_TIMEOUT_S

READ_BYTES = 64 * 1024


class LinkIdentity(msgspec.Struct, frozen=True):
    """A link to another daemon, and when this one began to open it."""

    link_id: int
    instance: InstanceId
    address: Address
    opened_at: float


async def settle(
    link: LinkIdentity, now: Callable[[], float], is_silent: Callable[[], bool]
) -> StreamsSettled | None:
    """Return what the other daemon says of the calls on `link`; None without an answer.

    The question goes out on a connection of its own, since a silent one carries nothing, and a
    daemon of an earlier version closes the connection. It ends the link, so it is asked only if the
    link stays silent although the daemon answers on the new connection.
    """
    try:
        async with asyncio.timeout(SETTLEMENT_TIMEOUT_S):
            answer = await _ask(link, is_silent)
    except (OSError, TimeoutError, InvalidFrame):
        return None
    if answer is None or (answer.link_id, answer.instance) != (link.link_id, link.instance):
        return None
    if not is_same_process(link.opened_at, now(), answer.uptime_ms / 1000):
        # What an earlier process did with the calls isn't known there.
        return msgspec.structs.replace(answer, last_stream_id=MAX_STREAM_ID, refused=())
    return answer


async def _ask(link: LinkIdentity, is_silent: Callable[[], bool]) -> StreamsSettled | None:
    host, port = split_address(link.address)
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(encode_frame(Ping()))
        await _read(reader, Pong)
        await asyncio.sleep(LINK_ANSWER_GRACE_S)
        if not is_silent():
            return None
        writer.write(encode_frame(SettleStreams(link.link_id)))
        answer = await _read(reader, StreamsSettled)
        return answer if isinstance(answer, StreamsSettled) else None
    finally:
        writer.transport.abort()


async def _read(reader: asyncio.StreamReader, kind: type[Frame]) -> Frame | None:
    """Return the next frame of `kind`, None at the end."""
    decoder = FrameDecoder()
    while data := await reader.read(READ_BYTES):
        for frame in decoder.decode(data):
            if isinstance(frame, kind):
                return frame
    return None
