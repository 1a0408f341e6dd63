"""Frames that two daemons exchange about the calls handed from one to the other.

A frame is one of the structs below in MessagePack, behind its length as four bytes. A stream is one
call; its number is chosen by the daemon that hands it over and is never used twice on a connection.
"""

import struct
from enum import Enum

import msgspec

from godwitpass.errors import GodwitpassError
from godwitpass.ids import RouteName, ServiceName

LENGTH_PREFIX = struct.Struct("!I")
MAX_FRAME_BYTES = 512 * 1024
BODY_CHUNK_BYTES = 16 * 1024
"""Part of a body that one frame carries, so that short calls get in between long ones."""


class Refusal(Enum):
    """Why a call was not run by the daemon beside the upstream."""

    NO_UPSTREAM = 0
    WRONG_SERVICE = 1
    DRAINING = 2
    NO_ROOM = 3
    TOO_LATE = 4
    UPSTREAM_REFUSED = 5
    UNREACHABLE = 6
    CANCELLED = 7


class Failure(Enum):
    """Why a call that may have run has no answer."""

    RESET = 0
    TIMEOUT = 1
    INVALID = 2
    CRASHED = 3


class Load(msgspec.Struct, frozen=True, array_like=True):
    """What the daemon beside an upstream says of it.

    `running` and `waiting` are counts of calls and `slots` how many may run. `inbound_ms` is the
    time in which its link brings the bodies that are on their way, and `bytes_per_ms` its rate.
    """

    running: int
    waiting: int
    slots: int
    inbound_backlog_ms: int
    inbound_bytes_per_ms: int


class OpenStream(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Hands a call over; `body` is its beginning and `body_bytes` the size of all of it.

    `head` is the request line with the headers that pass through. `left_ms` is the time until the
    caller's deadline, `objective_ms` until its latency objective, which may have passed.
    """

    stream_id: int
    service: ServiceName
    route: RouteName
    head: bytes
    remaining_ms: int
    objective_ms: int
    priority: int
    is_idempotent: bool
    body_bytes: int
    body: bytes = b""
    request_id: str = ""


class BodyChunk(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The next part of the body of a call or of an answer; `last` ends an answer."""

    stream_id: int
    data: bytes
    is_last: bool = False


class CancelStream(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The caller left or the time is over."""

    stream_id: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Asks for a `Pong`."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Shows that the other end of the connection lives."""

    load: Load


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The call did not run and will not; `arrived` if the upstream itself refused it."""

    stream_id: int
    reason: Refusal
    reached_upstream: bool
    retry_after_ms: int
    load: Load


class Failed(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The call was sent to the upstream and has no whole answer."""

    stream_id: int
    reason: Failure
    load: Load


class Response(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The upstream's answer: status, headers that pass through and the beginning of the body.

    `body_bytes` is the size of the whole body, -1 while it isn't known; `wait_ms` is the time that
    the call waited for a slot and `service_ms` the time that the upstream took.
    """

    stream_id: int
    status: int
    head: bytes
    body: bytes
    body_bytes: int
    is_last: bool
    wait_ms: int
    service_ms: int
    load: Load


class ResponseAborted(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """An answer that had begun ends without being whole."""

    stream_id: int


class GoAway(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The daemon stops: it takes no further calls on this connection."""


class WindowUpdate(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Lets the sender of a call send `size` further bytes of its body."""

    stream_id: int
    size_bytes: int


Frame = (
    OpenStream
    | BodyChunk
    | CancelStream
    | Ping
    | Pong
    | Refused
    | Failed
    | Response
    | ResponseAborted
    | GoAway
    | WindowUpdate
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class InvalidFrame(GodwitpassError):
    """Bytes of another daemon that are no frame."""


def encode_frame(frame: Frame) -> bytes:
    """Encode `frame` with its length.

    >>> encode_frame(Ping()).hex()
    '000000029104'
    """
    body = _encoder.encode(frame)
    return LENGTH_PREFIX.pack(len(body)) + body


class FrameDecoder:
    """Cuts a stream of bytes into frames."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def decode(self, data: bytes) -> list[Frame]:
        """Return the frames that `data` completes; raises `InvalidFrame`."""
        buffer = self._buffer
        buffer += data
        frames: list[Frame] = []
        position = 0
        while len(buffer) - position >= LENGTH_PREFIX.size:
            (size_bytes,) = LENGTH_PREFIX.unpack_from(buffer, position)
            if size_bytes > MAX_FRAME_BYTES:
                raise InvalidFrame(
                    f"a frame of {size_bytes} bytes; at most {MAX_FRAME_BYTES} are sent"
                )
            end = position + LENGTH_PREFIX.size + size_bytes
            if len(buffer) < end:
                break
            frames.append(self._decode(bytes(buffer[position + LENGTH_PREFIX.size : end])))
            position = end
        del buffer[:position]
        return frames

    def _decode(self, body: bytes) -> Frame:
        try:
            return _decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise InvalidFrame(str(error)) from error
