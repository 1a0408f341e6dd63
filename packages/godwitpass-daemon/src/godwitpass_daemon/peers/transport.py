"""The peer transport: unreliable, authenticated messages between daemons."""

import time
from collections.abc import Callable, Sequence

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitpass.ids import Address
from godwitpass_daemon.peers.channels import Channel, Handler
from godwitpass_daemon.peers.counters import DropCounter, Traffic, build_traffic
from godwitpass_daemon.peers.datagrams import DatagramSocket
from godwitpass_daemon.peers.events import PEER_MESSAGES_DROPPED, PEER_SENDS_DROPPED, Emit
from godwitpass_daemon.peers.frames import (
    Refusal,
    check_keys,
    open_frame,
    pack_address,
    seal_frame,
)
from godwitpass_daemon.peers.replay import ReplayGuard
from godwitpass_daemon.peers.grpc_transport import MAX_MESSAGE_BYTES, TlsIdentity, UnaryPort

MAX_DATAGRAM_PAYLOAD_BYTES = 1200
"""Larger payloads go by gRPC; a frame of this size fits an Ethernet packet unfragmented."""

MAX_PAYLOAD_BYTES = MAX_MESSAGE_BYTES - 64
IDLE_CHECK_S = 5.0


def _read_clock_us() -> int:
    return time.time_ns() // 1000


class PeerTransport:
    """Sends payloads to other daemons and hands received ones to the subscribed services.

    A message may be lost or overtaken; it is delivered at most once. `keys` holds the shared key,
    first the one that signs; a second one is accepted too while keys are rotated. `advertised` is
    the address that others send to, where a forwarder stands before `listen`.
    """

    def __init__(
        self,
        listen: Address,
        keys: Sequence[bytes],
        emit: Emit,
        tls: TlsIdentity | None = None,
        now_us: Callable[[], int] = _read_clock_us,
        advertised: Address | None = None,
    ) -> None:
        pack_address(listen)
        self._listen = listen
        self.address = advertised or listen
        self.sent: dict[Channel, Traffic] = build_traffic()
        self.received: dict[Channel, Traffic] = build_traffic()
        self.dropped_incoming = DropCounter(PEER_MESSAGES_DROPPED, emit, time.monotonic)
        self.unsent = DropCounter(PEER_SENDS_DROPPED, emit, time.monotonic)
        self._keys = check_keys(keys)
        self._now_us = now_us
        self._last_sent_us = 0
        self._guard = ReplayGuard()
        self._handlers: dict[Channel, Handler] = {}
        self._datagrams = DatagramSocket(self._receive)
        self._unary = UnaryPort(self._receive, tls, self.unsent.count)

    async def start(self, tasks: TaskGroup) -> None:
        """Listen on the same port number for datagrams and for gRPC."""
        await self._datagrams.open(self._listen)
        await self._unary.open(self._listen)
        tasks.start_soon(self._close_idle_channels)

    async def stop(self) -> None:
        """Stop listening; later sends are dropped."""
        self._datagrams.close()
        await self._unary.close()

    def subscribe(self, channel: Channel, handler: Handler) -> None:
        """Hand payloads on `channel` to `handler`; one handler a channel."""
        assert channel not in self._handlers, f"{channel.name} has a handler already"
        self._handlers[channel] = handler

    def send(self, channel: Channel, to: Address, payload: bytes) -> None:
        """Send `payload` without waiting; it may be lost.

        Raises ValueError when it exceeds `MAX_PAYLOAD_BYTES`.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ValueError(f"payload of {len(payload)} bytes; split above {MAX_PAYLOAD_BYTES}")
        frame = seal_frame(self._keys[0], channel, self.address, to, self._stamp(), payload)
        if len(payload) <= MAX_DATAGRAM_PAYLOAD_BYTES:
            accepted = self._datagrams.send(to, frame)
        else:
            accepted = self._unary.send(to, frame, time.monotonic())
        if accepted:
            self.sent[channel].add(len(frame))
        else:
            self.unsent.count("backlog")

    def _stamp(self) -> int:
        # Strictly increasing, so that no two frames of one daemon have the same tag.
        self._last_sent_us = max(self._now_us(), self._last_sent_us + 1)
        return self._last_sent_us

    def _receive(self, data: bytes) -> None:
        refusal = self._admit(data)
        if refusal is not None:
            self.dropped_incoming.count(refusal.value)

    def _admit(self, data: bytes) -> Refusal | None:
        if len(data) > MAX_MESSAGE_BYTES:
            return Refusal.OVERSIZE
        frame = open_frame(self._keys, self.address, data)
        if isinstance(frame, Refusal):
            return frame
        handler = self._handlers.get(frame.channel)
        if handler is None:
            return Refusal.UNHANDLED
        refusal = self._guard.admit(frame, self._now_us())
        if refusal is not None:
            return refusal
        self.received[frame.channel].add(len(data))
        try:
            handler(frame.sender, frame.payload)
        except msgspec.MsgspecError:
            return Refusal.MALFORMED
        return None

    async def _close_idle_channels(self) -> None:
        while True:
            await anyio.sleep(IDLE_CHECK_S)
            await self._unary.close_idle(time.monotonic())
