"""Frames that daemons exchange to forward calls to each other.

A frame is one of the structs below, encoded as MessagePack behind a length prefix of four bytes.
Each call is a stream; the forwarding daemon chooses its id and never reuses it on a connection.
"""

import struct
from enum import Enum

import msgspec

from godwitpass.errors import GodwitpassError
from godwitpass.ids import CustomerName, InstanceId, RouteName, ServiceName

LENGTH_PREFIX = struct.Struct("!I")
MAX_FRAME_BYTES = 512 * 1024
BODY_CHUNK_BYTES = 16 * 1024
"""Size of one body frame; short calls are sent between the chunks of long ones."""


class Refusal(Enum):
    """Why the upstream's daemon did not run a call."""

    NO_UPSTREAM = 0
    WRONG_SERVICE = 1
    DRAINING = 2
    NO_ROOM = 3
    TOO_LATE = 4
    UPSTREAM_REFUSED = 5
    UNREACHABLE = 6
    CANCELLED = 7
    CRASH_SUSPECT = 8
    NOT_PERMITTED = 9
    VERSION_CLOSED = 10
    NESTED_REFUSED = 11


class Failure(Enum):
    """Why a call that may have run has no response."""

    RESET = 0
    TIMEOUT = 1
    INVALID = 2


class Load(msgspec.Struct, frozen=True, array_like=True):
    """The load of an upstream as its daemon reports it.

    `running` and `waiting` count calls, and `slots` is the number of calls that may run at a time.
    `inbound_backlog_ms` is the time that the daemon's link needs for the request bodies still in
    flight, at the rate `inbound_bytes_per_ms`. `outbound_backlog_ms` is the same for its large
    responses to other daemons, those of admitted calls included. `rate_per_s` is the limit that the
    upstream names, 0 if none, and `rate_delay_ms` the time until it lets a new call start.
    """

    running: int
    waiting: int
    slots: int
    inbound_backlog_ms: int
    inbound_bytes_per_ms: int
    outbound_backlog_ms: int = 0
    outbound_bytes_per_ms: int = 0
    rate_per_s: float = 0.0
    rate_delay_ms: int = 0


class OpenStream(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Forwards a call; `body` is the first part of the request body of `body_bytes` in total.

    `head` is the request line with the forwarded headers. `remaining_ms` is the time until the
    caller's deadline, and `objective_ms` the time until its latency objective; it may be negative.
    `customer` is empty for a call without one. The call may start until `permitted_ms` have passed
    on a clock that runs through a pause of the process; -1 sets no bound. `link_id` is the random
    id of the link, 0 if its streams can't be settled after a loss.
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
    customer: CustomerName = CustomerName("")
    customer_priority: int = 0
    permitted_ms: int = -1
    link_id: int = 0


class BodyChunk(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Carries the next part of a request or response body; `is_last` ends a response."""

    stream_id: int
    data: bytes
    is_last: bool = False


class CancelStream(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Cancels a call whose caller has disconnected or whose deadline has passed."""

    stream_id: int


class WithdrawStream(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Takes a call back that has not been sent to the upstream; one that runs isn't affected.

    It is sent only where extra requests are on.
    """

    stream_id: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Requests a `Pong`."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Proves that the sender is alive."""

    load: Load


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Reports that a call has not run and won't; `reached_upstream` if the upstream refused it."""

    stream_id: int
    reason: Refusal
    reached_upstream: bool
    retry_after_ms: int
    load: Load


class Failed(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Reports that a call was sent to the upstream and has no complete response."""

    stream_id: int
    reason: Failure
    load: Load


class Response(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Carries the upstream's status, its forwarded headers and the first part of its body.

    `body_bytes` is the size of the whole body, or -1 while it isn't known. `wait_ms` is the time
    that the call waited for a slot, and `service_ms` the time that the upstream took.
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
    """Ends a response that was started and can't be completed."""

    stream_id: int


class BodyReceived(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Confirms that `size_bytes` of a response that comes in several frames have arrived."""

    stream_id: int
    size_bytes: int


class GoAway(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Announces that the daemon is stopping and accepts no further calls on this connection."""


class SettleStreams(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Asks, on a connection of its own, which calls of a lost link have not run and won't."""

    link_id: int


class StreamsSettled(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Tells which calls of a link, which accepts no more, have not reached the upstream.

    They are those of the streams after `last_stream_id` and the `refused` ones. Nothing is said of
    the others. `uptime_ms` is for how long the daemon has been running.
    """

    link_id: int
    instance: InstanceId
    uptime_ms: int
    last_stream_id: int
    refused: tuple[int, ...]

    def has_not_run(self, stream_id: int) -> bool:
        """Tell whether the call of a stream has not reached the upstream and won't."""
        return stream_id > self.last_stream_id or stream_id in self.refused


class WindowUpdate(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Allows the forwarding daemon to send `size_bytes` more of a request body."""

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
    | BodyReceived
    | WithdrawStream
    | SettleStreams
    | StreamsSettled
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class InvalidFrame(GodwitpassError):
    """Received bytes are not a valid frame."""


def encode_frame(frame: Frame) -> bytes:
    """Encode `frame` with its length prefix.

    >>> encode_frame(Ping()).hex()
    '000000029104'
    """
    body = _encoder.encode(frame)
    return LENGTH_PREFIX.pack(len(body)) + body


class FrameDecoder:
    """Splits a stream of bytes into frames."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the part of a frame that has arrived."""
        return len(self._buffer)

    def decode(self, data: bytes) -> list[Frame]:
        """Return the frames that `data` completes; raise `InvalidFrame` for bytes that are none."""
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
        except (msgspec.MsgspecError, RecursionError) as error:
            raise InvalidFrame(str(error)) from error
