"""The peer transport: authenticated messages between daemons, without guaranteed delivery."""

import time
from collections.abc import Callable, Sequence

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitpass.ids import Address
from godwitpass.internal.addresses import is_connectable
from godwitpass_daemon.boot_clock import read_boot_clock
from godwitpass_daemon.peers.channels import Channel, Handler
from godwitpass_daemon.peers.counters import DropCounter, TrafficCounter, build_traffic_counters
from godwitpass_daemon.peers.datagrams import DatagramSocket
from godwitpass_daemon.peers.events import (
    PEER_CONNECTION_REPLACED,
    PEER_MESSAGES_DROPPED,
    PEER_SEND_FAILED,
    PEER_SENDS_DROPPED,
    Emit,
)
from godwitpass_daemon.peers.frames import (
    DropReason,
    open_frame,
    pack_address,
    seal_frame,
    validate_keys,
)
from godwitpass_daemon.peers.grpc_transport import (
    MAX_MESSAGE_BYTES,
    MS_PER_SECOND,
    GrpcTransport,
    Replacement,
    SendFailure,
    TlsIdentity,
)
from godwitpass_daemon.peers.replay import ReplayGuard
from godwitpass_daemon.resources import Resources

MAX_DATAGRAM_PAYLOAD_BYTES = 1200
"""Larger payloads go by gRPC; a frame of this size fits an unfragmented Ethernet packet."""

MAX_FRAME_OVERHEAD_BYTES = 64
"""Room for the header and tag of a frame."""

MAX_PAYLOAD_BYTES = MAX_MESSAGE_BYTES - MAX_FRAME_OVERHEAD_BYTES
MAX_DATAGRAM_BYTES = MAX_DATAGRAM_PAYLOAD_BYTES + MAX_FRAME_OVERHEAD_BYTES
DEFAULT_RESOURCES = Resources()

IDLE_CHECK_INTERVAL_S = 5.0


_CLOCK_OFFSET_S = time.time() - read_boot_clock()
"""Time of day at the start of the process, less its boot clock."""


def _read_clock_us() -> int:
    """Return the time of day without the steps that it made since the process was started.

    A step of more than the replay window would separate this daemon from all others.
    """
    return int((_CLOCK_OFFSET_S + read_boot_clock()) * 1_000_000)


class PeerTransport:
    """Sends payloads to other daemons, and passes received ones to the subscribed services.

    A message may be lost or reordered; it is delivered at most once. The first of `keys` signs; a
    second one is accepted as well, for the rotation of keys. `advertised` is the address to which
    others send if it differs from `listen`, for instance behind a forwarder.
    """

    def __init__(
        self,
        listen: Address,
        keys: Sequence[bytes],
        emit: Emit,
        tls: TlsIdentity | None = None,
        now_us: Callable[[], int] = _read_clock_us,
        advertised: Address | None = None,
        resources: Resources = DEFAULT_RESOURCES,
    ) -> None:
        # Raises ValueError unless `listen` is an IP address with a port.
        pack_address(listen)
        self._listen = listen
        self.address = advertised or listen
        self.sent: dict[Channel, TrafficCounter] = build_traffic_counters()
        self.received: dict[Channel, TrafficCounter] = build_traffic_counters()
        self.dropped_incoming = DropCounter(PEER_MESSAGES_DROPPED, emit, time.monotonic)
        self.dropped_outgoing = DropCounter(PEER_SENDS_DROPPED, emit, time.monotonic)
        self._keys = validate_keys(keys)
        self._now_us = now_us
        self._last_sent_us = 0
        self._replay_guard = ReplayGuard()
        self._handlers: dict[Channel, Handler] = {}
        self._datagrams = DatagramSocket(self._handle_datagram)
        self._emit = emit
        self._grpc = GrpcTransport(
            self._handle_incoming, tls, self._report_failure, self._report_replacement, resources
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Listen on the same port number for datagrams and for gRPC."""
        await self._datagrams.open(self._listen)
        await self._grpc.open(self._listen)
        tasks.start_soon(self._close_idle_connections)

    async def stop(self) -> None:
        """Stop listening; later sends are dropped."""
        self._datagrams.close()
        await self._grpc.close()

    def subscribe(self, channel: Channel, handler: Handler) -> None:
        """Pass payloads on `channel` to `handler`; a channel has only one handler."""
        assert channel not in self._handlers, f"channel {channel.name} already has a handler"
        self._handlers[channel] = handler

    def send(self, channel: Channel, to: Address, payload: bytes) -> None:
        """Send `payload` without waiting; it may be lost.

        Raises ValueError if it exceeds `MAX_PAYLOAD_BYTES`.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ValueError(
                f"payload of {len(payload)} bytes for channel {channel.name} is too large;"
                f" split it into messages of at most {MAX_PAYLOAD_BYTES} bytes each"
            )
        if not is_connectable(to):
            self.dropped_outgoing.count("invalid address")
            return
        frame = seal_frame(
            self._keys[0], channel, self.address, to, self._next_timestamp_us(), payload
        )
        if len(payload) <= MAX_DATAGRAM_PAYLOAD_BYTES:
            was_queued = self._datagrams.send(to, frame)
        else:
            was_queued = self._grpc.send(to, frame)
        if was_queued:
            self.sent[channel].add(len(frame))
        else:
            self.dropped_outgoing.count("backlog")

    def _report_failure(self, failure: SendFailure) -> None:
        self.dropped_outgoing.count(failure.reason)
        silent_s = failure.silent_s
        self._emit(
            PEER_SEND_FAILED,
            peer=failure.peer,
            reason=failure.reason,
            waited_ms=int(failure.waited_s * MS_PER_SECOND),
            silent_ms=-1 if silent_s is None else int(silent_s * MS_PER_SECOND),
        )

    def _report_replacement(self, replacement: Replacement) -> None:
        silent_s = replacement.silent_s
        self._emit(
            PEER_CONNECTION_REPLACED,
            peer=replacement.peer,
            silent_ms=-1 if silent_s is None else int(silent_s * MS_PER_SECOND),
        )

    def _next_timestamp_us(self) -> int:
        # Strictly increasing, so that no two frames of one daemon have the same tag.
        self._last_sent_us = max(self._now_us(), self._last_sent_us + 1)
        return self._last_sent_us

    def _handle_datagram(self, data: bytes) -> None:
        # Daemons send none of this size, and its tag would take long to verify.
        if len(data) > MAX_DATAGRAM_BYTES:
            self.dropped_incoming.count(DropReason.OVERSIZE.value)
        else:
            self._handle_incoming(data)

    def _handle_incoming(self, data: bytes) -> None:
        drop_reason = self._process_frame(data)
        if drop_reason is not None:
            self.dropped_incoming.count(drop_reason.value)

    def _process_frame(self, data: bytes) -> DropReason | None:
        if len(data) > MAX_MESSAGE_BYTES:
            return DropReason.OVERSIZE
        frame = open_frame(self._keys, self.address, data)
        if isinstance(frame, DropReason):
            return frame
        handler = self._handlers.get(frame.channel)
        if handler is None:
            return DropReason.UNHANDLED
        drop_reason = self._replay_guard.admit(frame, self._now_us())
        if drop_reason is not None:
            return drop_reason
        self.received[frame.channel].add(len(data))
        try:
            handler(frame.sender, frame.payload)
        except (msgspec.MsgspecError, RecursionError):
            return DropReason.MALFORMED
        return None

    async def _close_idle_connections(self) -> None:
        while True:
            await anyio.sleep(IDLE_CHECK_INTERVAL_S)
            self._grpc.close_idle()
