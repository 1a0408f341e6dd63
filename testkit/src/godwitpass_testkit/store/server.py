"""The stand-in store over HTTP, with an endpoint that changes its faults."""

import time
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec
import uvicorn

from godwitpass.errors import StoreError, StoreOutcomeUnknown
from godwitpass_daemon.services.store_wire import CALL_PATH, Operation, Request
from godwitpass_testkit.store.control import CONTROL_PATH, Console
from godwitpass_testkit.store.fake import FakeStore
from godwitpass_testkit.store.state import StoreState

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Application = Callable[[MutableMapping[str, Any], Receive, Send], Awaitable[None]]

MAX_BODY_BYTES = 1_100_000
LOST_ANSWER_BYTES = 1


def build_application(
    state: StoreState, clock: Callable[[], float] = time.monotonic
) -> Application:
    """Return an ASGI application that serves `state`."""
    store, console = FakeStore(state, clock), Console(state, clock)

    async def application(scope: MutableMapping[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        if body is None:
            await _answer(send, 413, b"body too large")
        elif scope["path"] == CALL_PATH:
            await _serve_call(store, body, send)
        elif scope["path"] == CONTROL_PATH:
            await _serve_control(console, scope["method"], body, send)
        else:
            await _answer(send, 404, b"no such path")

    return application


def build_server(state: StoreState, host: str, port: int) -> uvicorn.Server:
    """Return a server for `state`; run it with its `serve` method."""
    # A lost answer breaks off its response on purpose, which uvicorn logs as an error.
    config = uvicorn.Config(
        build_application(state), host=host, port=port, log_level="critical", lifespan="off"
    )
    return uvicorn.Server(config)


async def _serve_call(store: FakeStore, body: bytes, send: Send) -> None:
    try:
        request = msgspec.msgpack.decode(body, type=Request)
    except msgspec.DecodeError as error:
        await _answer(send, 400, str(error).encode())
        return
    try:
        reply = await _carry_out(store, request)
    except StoreOutcomeUnknown:
        await _break_off(send)
    except StoreError as error:
        await _answer(send, 503, str(error).encode())
    else:
        await _answer(send, 200, msgspec.msgpack.encode(reply))


async def _carry_out(store: FakeStore, request: Request) -> object:
    match request.operation:
        case Operation.GET:
            return await store.get(request.key)
        case Operation.LIST:
            return await store.list(request.key)
        case Operation.PUT:
            value = request.value or b""
            return await store.put(request.key, value, request.expected, request.lease)
        case Operation.DELETE:
            return await store.delete(request.key, request.expected)
        case Operation.WATCH:
            return await store.watch(request.key, request.after, request.seconds)
        case Operation.GRANT:
            return await store.grant_lease(request.seconds)
        case Operation.RENEW:
            return request.lease is not None and await store.renew_lease(request.lease)
        case Operation.REVOKE:
            if request.lease is not None:
                await store.revoke_lease(request.lease)
            return None


async def _serve_control(console: Console, method: str, body: bytes, send: Send) -> None:
    try:
        reply = console.describe() if method == "GET" else console.carry_out(body)
    except msgspec.DecodeError as error:
        await _answer(send, 400, str(error).encode())
        return
    await _answer(send, 200, msgspec.json.encode(reply))


async def _read_body(receive: Receive) -> bytes | None:
    body = b""
    while len(body) <= MAX_BODY_BYTES:
        message = await receive()
        part: bytes = message.get("body", b"")
        body += part
        if not message.get("more_body"):
            return body
    return None


async def _answer(send: Send, status: int, body: bytes) -> None:
    length = str(len(body)).encode()
    headers = [(b"content-length", length)]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def _break_off(send: Send) -> None:
    length = str(LOST_ANSWER_BYTES).encode()
    headers = [(b"content-length", length)]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
