"""Requests and responses of the administration API, on top of ASGI."""

import math
from collections.abc import Mapping
from urllib.parse import parse_qsl

import anyio
import msgspec

from godwitpass.administration import Problem, ProblemKind
from godwitpass.errors import GodwitpassError
from godwitpass.internal.validation.text import MAX_TEXT_BYTES
from godwitpass_daemon.listeners import Receive, Scope, Send

BODY_TIMEOUT_S = 20.0
STALL_TIMEOUT_S = 2.0
"""How long a large body may stall while other requests with bodies wait for it."""

LISTENER_BODY_TIMEOUT_S = 60.0
"""Time for a body on the connection, including the wait for other large bodies."""

SMALL_BODY_BYTES = 64 * 1024
"""A body is read up to here beside others."""

MAX_QUERY_BYTES = 1024
JSON_CONTENT_TYPE = "application/json"


class HttpError(GodwitpassError):
    """Ends a request with an error status and a problem as the response."""

    def __init__(self, status: int, problem: Problem, headers: Mapping[str, str] = {}) -> None:
        self.status = status
        self.problem = problem
        self.headers = headers
        super().__init__(problem.message)


class Request(msgspec.Struct, frozen=True):
    """One HTTP request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes = b""


class Response(msgspec.Struct, frozen=True):
    """One HTTP response; a struct is sent as JSON, a string as it is."""

    content: msgspec.Struct | str
    status: int = 200
    headers: Mapping[str, str] = {}
    content_type: str = JSON_CONTENT_TYPE


def parse_head(scope: Scope) -> Request:
    """Return the request of `scope` without its body; raises `HttpError` for a long query."""
    query_string = scope.get("query_string", b"")
    if len(query_string) > MAX_QUERY_BYTES:
        raise build_bad_request_error(
            f"the query has {len(query_string)} bytes", "use the documented parameters"
        )
    pairs = parse_qsl(query_string.decode("latin-1"), keep_blank_values=True)
    headers = {key.decode("latin-1"): value.decode("latin-1") for key, value in scope["headers"]}
    return Request(scope["method"], scope["path"], dict(pairs), headers)


class BodyReader:
    """Reads the body of a request in steps.

    Raises `HttpError` when the body is too large, arrives too slowly, or stalls beyond its first
    `SMALL_BODY_BYTES`, since other requests then wait for it.
    """

    def __init__(self, request: Request, receive: Receive) -> None:
        declared_length = request.headers.get("content-length", "0")
        if declared_length.isdigit() and int(declared_length) > MAX_TEXT_BYTES:
            raise _build_too_large_error()
        self._receive = receive
        self._body = bytearray()
        self._is_complete = False
        self._expires_at = math.inf

    async def read(self, size: int) -> bytes:
        """Read until the end of the body or `size` bytes; return the body if it is complete."""
        self._expires_at = anyio.current_time() + BODY_TIMEOUT_S
        while not self._is_complete and len(self._body) < size:
            await self._read_part()
        return bytes(self._body) if self._is_complete else b""

    async def _read_part(self) -> None:
        now = anyio.current_time()
        is_small = len(self._body) < SMALL_BODY_BYTES
        expires_at = self._expires_at if is_small else min(self._expires_at, now + STALL_TIMEOUT_S)
        with anyio.CancelScope(deadline=expires_at) as scope:
            message = await self._receive()
        if scope.cancelled_caught:
            text = f"the body did not arrive within {BODY_TIMEOUT_S:g} s, or stalled"
            raise HttpError(408, Problem(ProblemKind.TOO_SLOW, text, "send the request again"))
        if message["type"] == "http.disconnect":
            raise build_bad_request_error(
                "the connection closed before the end of the body", "send the request again"
            )
        self._body += message.get("body", b"")
        if len(self._body) > MAX_TEXT_BYTES:
            raise _build_too_large_error()
        self._is_complete = not message.get("more_body", False)


async def send_response(response: Response, send: Send) -> None:
    """Send `response` with its headers and body."""
    if isinstance(response.content, str):
        body = response.content.encode()
    else:
        body = msgspec.json.encode(response.content)
    headers = {
        "content-type": response.content_type,
        "content-length": str(len(body)),
        "cache-control": "no-store",
        **response.headers,
    }
    encoded_headers = [(key.lower().encode(), value.encode()) for key, value in headers.items()]
    await send(
        {"type": "http.response.start", "status": response.status, "headers": encoded_headers}
    )
    await send({"type": "http.response.body", "body": body})


def build_bad_request_error(message: str, remedy: str) -> HttpError:
    """Return the error of a malformed request, with status 400."""
    return HttpError(400, Problem(ProblemKind.INVALID_REQUEST, message, remedy))


def _build_too_large_error() -> HttpError:
    message = f"the body is larger than {MAX_TEXT_BYTES} bytes"
    return HttpError(413, Problem(ProblemKind.TOO_LARGE, message, "remove parts of the document"))
