"""A bare forwarder without decisions: the baseline for the cost of the edge's layers."""

import asyncio
from typing import cast

import httptools
import typer
import uvloop


class _Connection(asyncio.Protocol):
    """Parses what it receives and writes each chunk that ends a message to `peer`."""

    def __init__(self, peer: "_Connection | None") -> None:
        self.peer = peer
        parser_class = httptools.HttpResponseParser if peer else httptools.HttpRequestParser
        self.parser = parser_class(self)
        self.transport: asyncio.Transport | None = None
        self.is_message_complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)
        if self.is_message_complete and self.peer is not None and self.peer.transport is not None:
            self.is_message_complete = False
            self.peer.transport.write(data)

    def on_message_complete(self) -> None:
        self.is_message_complete = True


class _CallerConnection(_Connection):
    """A caller's connection, which opens a connection of its own to the upstream."""

    def __init__(self, upstream_port: int) -> None:
        super().__init__(None)
        self.upstream_port = upstream_port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.early_data = b""
        self.connecting = asyncio.get_running_loop().create_task(self.connect())

    def data_received(self, data: bytes) -> None:
        if self.peer is None:
            self.early_data += data
            return
        super().data_received(data)

    async def connect(self) -> None:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: _Connection(self), "127.0.0.1", self.upstream_port
        )
        self.peer = connection
        if self.early_data:
            assert connection.transport is not None
            connection.transport.write(self.early_data)


def main(upstream: str) -> None:
    """Print the address to call and forward to `upstream` until the process ends."""

    async def serve() -> None:
        port = int(upstream.rpartition(":")[2])
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _CallerConnection(port), "127.0.0.1", 0)
        print(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
        await asyncio.Event().wait()

    uvloop.run(serve())


if __name__ == "__main__":
    typer.run(main)
