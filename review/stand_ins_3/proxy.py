"""Proxies on loopback addresses that can cut a machine off from other machines."""

import asyncio

from stand_ins_3.http import split_address


class Cut:
    """The hosts that are cut off from the other machines."""

    def __init__(self) -> None:
        self.hosts: set[str] = set()
        self._healed = asyncio.Event()

    def heal(self) -> None:
        """Let everything pass again."""
        self.hosts.clear()
        self._healed.set()

    async def wait_for_path(self, host: str) -> None:
        """Wait until `host` isn't cut off."""
        while host in self.hosts:
            await self._healed.wait()


class StreamProxy:
    """Forwards connections to a daemon; while that is cut off, nothing passes in any direction."""

    def __init__(self, address: str, target: str, cut: Cut) -> None:
        self._address = address
        self._target = target
        self._cut = cut
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        ip, port = split_address(self._address)
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ip, port = split_address(self._target)
        try:
            await self._cut.wait_for_path(ip)
            target_reader, target_writer = await asyncio.open_connection(ip, port)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, ip), self._forward(target_reader, writer, ip)
            )
        except asyncio.CancelledError:
            # The run has ended.
            pass
        finally:
            writer.transport.abort()
            target_writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ip: str
    ) -> None:
        try:
            while data := await reader.read(1 << 16):
                await self._cut.wait_for_path(ip)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        await self._cut.wait_for_path(ip)
        writer.transport.abort()


class DatagramProxy(asyncio.DatagramProtocol):
    """Forwards datagrams to a daemon, unless it or their sender is cut off."""

    def __init__(self, address: str, target: str, cut: Cut) -> None:
        self._address = address
        self._target = split_address(target)
        self._cut = cut
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        address = split_address(self._address)
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Forward one datagram."""
        if self._transport is not None and not {str(addr[0]), self._target[0]} & self._cut.hosts:
            self._transport.sendto(data, self._target)

    def error_received(self, exc: Exception) -> None:
        """Ignore that nothing listens at the target."""
