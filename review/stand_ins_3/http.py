"""Reading and writing of HTTP/1.1 messages."""

import asyncio
from dataclasses import dataclass


@dataclass
class Message:
    """A request or a response; names of headers are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start_line.split()[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start_line.split()[0]

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.start_line.split()[1]

    @property
    def attempt_id(self) -> str:
        """Return the id of the client's attempt; empty if there is none."""
        return self.headers.get("x-godwitpass-attempt-id", "")


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of `address`."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def encode(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a message with a length."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message; return None if the connection ends before or within it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        start_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    return Message(start_line, headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


async def exchange(address: str, data: bytes, timeout_s: float = 3.0) -> Message | None:
    """Send a request on a new connection; return None without a complete response."""
    ip, port = split_address(address)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
