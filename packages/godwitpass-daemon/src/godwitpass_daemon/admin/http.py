"""Requests and answers of the administration API, above ASGI."""

from collections.abc import Mapping
from urllib.parse import parse_qsl

import anyio
import msgspec

from godwitpass.administration import Problem, ProblemKind
from godwitpass.errors import GodwitpassError
from godwitpass.internal.validation.text import MAX_TEXT_BYTES
from godwitpass_daemon.listeners import Receive, Scope, Send

BODY_TIMEOUT_S = 20.0
MAX_QUERY_BYTES = 1024
JSON_TYPE = "application/json"


class Refusal(GodwitpassError):
    """A request that is answered with a problem."""

    def __init__(self, status: int, problem: Problem, headers: Mapping[str, str] = {}) -> None:
        self.status = status
        self.problem = problem
        self.headers = headers
        super().__init__(problem.message)


class Request(msgspec.Struct, frozen=True):
    """One request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes = b""


class Answer(msgspec.Struct, frozen=True):
    """One answer; a message is encoded as JSON, a text is sent as it is."""

    content: msgspec.Struct | str
    status: int = 200
    headers: Mapping[str, str] = {}
    content_type: str = JSON_TYPE


def read_head(scope: Scope) -> Request:
    """Return the request of `scope` without its body; raises `Refusal`."""
    query = scope.get("query_string", b"")
    if len(query) > MAX_QUERY_BYTES:
        raise refuse_request(f"a query of {len(query)} bytes", "ask with the documented parameters")
    pairs = parse_qsl(query.decode("latin-1"), keep_blank_values=True)
    headers = {key.decode("latin-1"): value.decode("latin-1") for key, value in scope["headers"]}
    return Request(scope["method"], scope["path"], dict(pairs), headers)


async def read_body(request: Request, receive: Receive) -> bytes:
    """Return the body; raises `Refusal` when it is too large or comes too slowly."""
    declared = request.headers.get("content-length", "0")
    if declared.isdigit() and int(declared) > MAX_TEXT_BYTES:
        raise _refuse_size()
    with anyio.move_on_after(BODY_TIMEOUT_S):
        return await _collect_body(receive)
    message = f"the body did not arrive within {BODY_TIMEOUT_S:g} s"
    raise Refusal(408, Problem(ProblemKind.TOO_SLOW, message, "send it again"))


async def _collect_body(receive: Receive) -> bytes:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise refuse_request("the body was cut off", "send it again")
        body += message.get("body", b"")
        if len(body) > MAX_TEXT_BYTES:
            raise _refuse_size()
        if not message.get("more_body", False):
            return bytes(body)


async def send_answer(answer: Answer, send: Send) -> None:
    """Send `answer` whole."""
    if isinstance(answer.content, str):
        body = answer.content.encode()
    else:
        body = msgspec.json.encode(answer.content)
    headers = {
        "content-type": answer.content_type,
        "content-length": str(len(body)),
        "cache-control": "no-store",
        **answer.headers,
    }
    encoded = [(key.lower().encode(), value.encode()) for key, value in headers.items()]
    await send({"type": "http.response.start", "status": answer.status, "headers": encoded})
    await send({"type": "http.response.body", "body": body})


def refuse_request(message: str, remedy: str) -> Refusal:
    """Return the refusal of a malformed request."""
    return Refusal(400, Problem(ProblemKind.INVALID_REQUEST, message, remedy))


def _refuse_size() -> Refusal:
    message = f"a body over the bound of {MAX_TEXT_BYTES} bytes"
    return Refusal(413, Problem(ProblemKind.TOO_LARGE, message, "remove parts of the document"))
