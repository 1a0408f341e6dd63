"""The datagram side of the peer transport."""

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from godwitpass.ids import Address

MAX_WRITE_BUFFER_BYTES = 256 * 1024


class _Transport(Protocol):
    """What the loops' datagram transports share; the type stubs lack the buffer's size."""

    def get_write_buffer_size(self) -> int: ...

    def is_closing(self) -> bool: ...

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None: ...

    def close(self) -> None: ...


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends without waiting and hands what arrives to `receive`.

    It uses the loop's own datagram interface, since the one of anyio can only be awaited.
    """

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive
        self._transport: _Transport | None = None

    async def open(self, address: Address) -> None:
        """Bind to `address`."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self._transport = cast(_Transport, transport)

    def send(self, to: Address, data: bytes) -> bool:
        """Send `data` to `to`; False when the socket is closed or its buffer full."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self._transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            return False
        self._transport.sendto(data, split_address(to))
        return True

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Pass on one datagram; its source address is not trusted."""
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore refusals by a host whose daemon is away; the sender learns it by a timeout."""


def split_address(address: Address) -> tuple[str, int]:
    """Split `address` into host and port.

    >>> split_address(Address("[::1]:80"))
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
