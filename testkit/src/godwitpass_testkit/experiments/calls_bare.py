"""A bare forwarder without decisions: the floor against which the edge's layers are counted."""

import asyncio
from typing import cast

import httptools
import typer
import uvloop


class _Side(asyncio.Protocol):
    """One connection; parses what it gets and passes it on whole."""

    def __init__(self, other: "_Side | None") -> None:
        self.other = other
        kind = httptools.HttpResponseParser if other else httptools.HttpRequestParser
        self.parser = kind(self)
        self.transport: asyncio.Transport | None = None
        self.whole = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)
        if self.whole and self.other is not None and self.other.transport is not None:
            self.whole = False
            self.other.transport.write(data)

    def on_message_complete(self) -> None:
        self.whole = True


class _CallerSide(_Side):
    """A caller's connection; opens its own connection to the upstream."""

    def __init__(self, upstream_port: int) -> None:
        super().__init__(None)
        self.upstream_port = upstream_port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.early = b""
        self.connecting = asyncio.get_running_loop().create_task(self.connect())

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.early += data
            return
        super().data_received(data)

    async def connect(self) -> None:
        loop = asyncio.get_running_loop()
        _, side = await loop.create_connection(lambda: _Side(self), "127.0.0.1", self.upstream_port)
        self.other = side
        if self.early:
            assert side.transport is not None
            side.transport.write(self.early)


def main(upstream: str) -> None:
    """Forward to `upstream` until the process is ended; prints the address."""

    async def serve() -> None:
        port = int(upstream.rpartition(":")[2])
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _CallerSide(port), "127.0.0.1", 0)
        print(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
        await asyncio.Event().wait()

    uvloop.run(serve())


if __name__ == "__main__":
    typer.run(main)
