"""Serve the stand-in store over HTTP, with an endpoint that controls its faults."""

import time
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec
import uvicorn

from godwitpass.errors import StoreError, StoreOutcomeUnknown
from godwitpass_daemon.services.store_wire import CALL_PATH, Operation, Request
from godwitpass_testkit.store.control import CONTROL_PATH, Controller
from godwitpass_testkit.store.fake import FakeStore
from godwitpass_testkit.store.state import StoreState

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Application = Callable[[MutableMapping[str, Any], Receive, Send], Awaitable[None]]

MAX_BODY_BYTES = 1_100_000
LOST_ANSWER_BYTES = 1
"""Content length of a response whose body is never sent."""


def build_application(
    state: StoreState, clock: Callable[[], float] = time.monotonic
) -> Application:
    """Return an ASGI application that serves `state`."""
    store, controller = FakeStore(state, clock), Controller(state, clock)

    async def application(scope: MutableMapping[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        if body is None:
            await _send_response(send, 413, b"body too large")
        elif scope["path"] == CALL_PATH:
            await _serve_call(store, body, send)
        elif scope["path"] == CONTROL_PATH:
            await _serve_control(controller, scope["method"], body, send)
        else:
            await _send_response(send, 404, b"no such path")

    return application


def build_server(state: StoreState, host: str, port: int) -> uvicorn.Server:
    """Return a server for `state`; run it with its `serve` method."""
    # Lost answers are incomplete responses on purpose; uvicorn would log each as an error.
    config = uvicorn.Config(
        build_application(state), host=host, port=port, log_level="critical", lifespan="off"
    )
    return uvicorn.Server(config)


async def _serve_call(store: FakeStore, body: bytes, send: Send) -> None:
    try:
        request = msgspec.msgpack.decode(body, type=Request)
    except msgspec.DecodeError as error:
        await _send_response(send, 400, str(error).encode())
        return
    try:
        result = await _execute(store, request)
    except StoreOutcomeUnknown:
        await _send_incomplete_response(send)
    except StoreError as error:
        await _send_response(send, 503, str(error).encode())
    else:
        await _send_response(send, 200, msgspec.msgpack.encode(result))


async def _execute(store: FakeStore, request: Request) -> object:
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


async def _serve_control(controller: Controller, method: str, body: bytes, send: Send) -> None:
    try:
        result = controller.describe() if method == "GET" else controller.apply(body)
    except msgspec.DecodeError as error:
        await _send_response(send, 400, str(error).encode())
        return
    await _send_response(send, 200, msgspec.json.encode(result))


async def _read_body(receive: Receive) -> bytes | None:
    body = b""
    while len(body) <= MAX_BODY_BYTES:
        message = await receive()
        part: bytes = message.get("body", b"")
        body += part
        if not message.get("more_body"):
            return body
    return None


async def _send_response(send: Send, status: int, body: bytes) -> None:
    length = str(len(body)).encode()
    headers = [(b"content-length", length)]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def _send_incomplete_response(send: Send) -> None:
    length = str(LOST_ANSWER_BYTES).encode()
    headers = [(b"content-length", length)]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
