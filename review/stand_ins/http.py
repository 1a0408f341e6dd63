"""HTTP/1.1 on asyncio streams, as far as the stand-ins need it."""

import asyncio
from dataclasses import dataclass

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start_line.split()[1])


async def read_message(reader: Reader) -> Message | None:
    """Read a message; return None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("the connection ended within a head") from error
        return None
    start_line, *lines = head.decode("latin-1")[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(start_line, headers, await _read_chunks(reader))
    return Message(
        start_line, headers, await reader.readexactly(int(headers.get("content-length", "0")))
    )


async def _read_chunks(reader: Reader) -> bytes:
    parts: list[bytes] = []
    while True:
        size = int((await reader.readline()).strip(), 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(parts)


def encode(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a message with the length of its body."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    if body or start_line.startswith(("HTTP/", "POST", "PUT")):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def exchange(address: str, data: bytes, timeout_s: float = 5.0) -> Message | None:
    """Send one request on a new connection; return None if it ends without a response."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*split_address(address))
        try:
            writer.write(data)
            return await read_message(reader)
        finally:
            writer.transport.abort()
