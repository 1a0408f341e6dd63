"""UDP socket of the peer transport."""

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from godwitpass.ids import Address

MAX_WRITE_BUFFER_BYTES = 256 * 1024
"""With more than this in the buffer of the socket, datagrams are dropped."""


class _DatagramTransport(Protocol):
    """Methods common to the datagram transports of asyncio and uvloop.

    The type stubs lack `get_write_buffer_size`.
    """

    def get_write_buffer_size(self) -> int: ...

    def is_closing(self) -> bool: ...

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None: ...

    def close(self) -> None: ...


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends datagrams without waiting, and passes received ones to `on_datagram`.

    It uses asyncio's datagram interface, since sending with anyio's has to be awaited.
    """

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram
        self._transport: _DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Bind to `address`."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self._transport = cast(_DatagramTransport, transport)

    def send(self, to: Address, data: bytes) -> bool:
        """Send `data` to `to`; return False if the socket is closed or its write buffer full."""
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
        """Pass on one datagram; its source address is ignored, since it is not authenticated."""
        self._on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors from a host without a running daemon; senders rely on timeouts."""


def split_address(address: Address) -> tuple[str, int]:
    """Split `address` into host and port.

    >>> split_address(Address("[::1]:80"))
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
