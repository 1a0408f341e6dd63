"""Clients that send what no server can finish reading, and keep their connections open."""

import asyncio
import contextlib
import socket
from enum import Enum

import anyio
import msgspec

from godwitpass.ids import Address

BLOCK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0


class Behaviour(Enum):
    """What a client sends after it has connected; none of the clients reads responses."""

    ENDLESS_HEAD = "a head of short lines without end"
    ENDLESS_HEADER = "one header without end"
    EMPTY_LINES = "empty lines without end before a request"
    ENDLESS_CHUNKS = "a body in chunks of two bytes without end"
    ENDLESS_EXTENSION = "a chunk extension without end"
    ENDLESS_TRAILERS = "trailers without end"
    PIPELINED = "requests without end"
    UNFINISHED_BODY = "a body that stops one byte before its end"
    MANY_LINES = "a head of many short lines, and a body that stops before its end"
    IDLE = "nothing"


class Target(msgspec.Struct, frozen=True):
    """A listener, and the request that its misbehaving clients begin with."""

    address: Address
    method: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...] = ()


class Crowd(msgspec.Struct, frozen=True):
    """Clients that behave alike: each sends up to `max_bytes`, for up to `max_s` seconds."""

    behaviour: Behaviour
    clients: int
    max_bytes: int
    max_s: float
    head_bytes: int = 8 * 1024


def build_opening(target: Target, crowd: Crowd) -> bytes:
    """Return the first bytes that a client sends."""
    head = f"{target.method} {target.path} HTTP/1.1\r\nHost: {target.host}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in target.headers)
    match crowd.behaviour:
        case Behaviour.EMPTY_LINES | Behaviour.PIPELINED | Behaviour.IDLE:
            return b""
        case Behaviour.ENDLESS_HEADER:
            head += "X-Long: "
        case Behaviour.ENDLESS_CHUNKS:
            head += "Transfer-Encoding: chunked\r\n\r\n"
        case Behaviour.ENDLESS_EXTENSION:
            head += "Transfer-Encoding: chunked\r\n\r\n1;"
        case Behaviour.ENDLESS_TRAILERS:
            head += "Transfer-Encoding: chunked\r\n\r\n0\r\n"
        case Behaviour.UNFINISHED_BODY | Behaviour.MANY_LINES:
            head += f"Content-Length: {crowd.max_bytes}\r\n"
            if crowd.behaviour is Behaviour.MANY_LINES:
                head += "a:\r\n" * ((crowd.head_bytes - len(head)) // len("a:\r\n"))
            head += "\r\n"
    return head.encode()


def build_repeated(target: Target, behaviour: Behaviour) -> bytes:
    """Return the bytes that a client repeats after its opening."""
    match behaviour:
        case Behaviour.ENDLESS_HEAD | Behaviour.ENDLESS_TRAILERS:
            return b"a:b\r\n"
        case Behaviour.EMPTY_LINES:
            return b"\r\n"
        case Behaviour.ENDLESS_CHUNKS:
            return b"2\r\nxy\r\n"
        case Behaviour.PIPELINED:
            return f"GET {target.path} HTTP/1.1\r\nHost: {target.host}\r\n\r\n".encode()
        case Behaviour.IDLE:
            return b""
    return b"x"


async def send_crowd(target: Target, crowd: Crowd) -> list[socket.socket]:
    """Let all clients of `crowd` send at once; return their sockets, which are still open."""
    sockets: list[socket.socket] = []
    async with anyio.create_task_group() as tasks:
        for _ in range(crowd.clients):
            client = socket.socket()
            client.setblocking(False)
            sockets.append(client)
            tasks.start_soon(_run_client, client, target, crowd)
    return sockets


async def _run_client(client: socket.socket, target: Target, crowd: Crowd) -> None:
    loop = asyncio.get_running_loop()
    host, _, port = target.address.rpartition(":")
    opening = build_opening(target, crowd)
    repeated = build_repeated(target, crowd.behaviour)
    left = crowd.max_bytes
    if crowd.behaviour in (Behaviour.UNFINISHED_BODY, Behaviour.MANY_LINES):
        left -= 1
    with contextlib.suppress(OSError):
        with anyio.move_on_after(CONNECT_TIMEOUT_S):
            await loop.sock_connect(client, (host, int(port)))
            with anyio.move_on_after(crowd.max_s):
                await loop.sock_sendall(client, opening)
                block = repeated * (BLOCK_BYTES // max(1, len(repeated)))
                while block and left > 0:
                    await loop.sock_sendall(client, block[:left])
                    left -= len(block)
