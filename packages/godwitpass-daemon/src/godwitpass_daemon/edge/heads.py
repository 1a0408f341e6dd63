"""Heads of requests and answers: read, checked and written."""

import http
from enum import Enum

import msgspec

from godwitpass.internal.calls.deadlines import (
    MAX_DEPTH,
    CallContext,
    InvalidDeadline,
    parse_depth,
    parse_timeout_ms,
)
from godwitpass.internal.calls.outcomes import (
    CALL_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    NOT_RUN_HEADER,
    RESERVED_PREFIX,
    RETRY_HEADER,
    Reason,
)
from godwitpass.internal.routing.table import Listener
from godwitpass.internal.routing.target import InvalidTarget, Target, TargetFault, parse_target

Header = tuple[bytes, bytes]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
OVERRIDES = frozenset(
    {
        b"x-forwarded-prefix",
        b"x-http-method",
        b"x-http-method-override",
        b"x-method-override",
        b"x-original-uri",
        b"x-original-url",
        b"x-rewrite-url",
    }
)
"""Headers by which some frameworks replace the method or path that was checked."""

_UNFORWARDED = HOP_BY_HOP | OVERRIDES | {b"content-length", b"host"}
_IDEMPOTENCY_KEY = b"idempotency-key"
_REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


class Framing(Enum):
    """How the end of a body is marked."""

    NONE = 0
    LENGTH = 1
    CHUNKED = 2
    UNMARKED = 3


class RefusedRequest(Exception):
    """A request head that is answered without being routed."""

    def __init__(self, reason: Reason) -> None:
        self.reason = reason
        super().__init__(reason.value)


class RequestHead(msgspec.Struct):
    """A checked request head; `forwarded` holds the encoded header lines to pass on."""

    method: str
    target: Target
    forwarded: list[bytes]
    framing: Framing
    content_length: int
    expects_continue: bool
    context: CallContext
    idempotency_key: str


class AnswerHead(msgspec.Struct):
    """A checked answer head; `not_run` echoes an attempt's id if the upstream refused it."""

    status: int
    forwarded: list[bytes]
    framing: Framing
    not_run: bytes


def read_request_head(
    method: str, version: str, raw_target: bytes, headers: list[Header], listener: Listener
) -> RequestHead:
    """Check a request head; raises `RefusedRequest`."""
    if version != "1.1":
        raise RefusedRequest(Reason.HTTP_VERSION)
    hosts: list[bytes] = []
    special: dict[bytes, bytes] = {}
    forwarded: list[bytes] = []
    for name, value in headers:
        lower = name.lower()
        if lower == b"host":
            hosts.append(value)
        elif lower in _UNFORWARDED or lower.startswith(RESERVED_PREFIX):
            _keep_single(special, lower, value)
        else:
            if lower == _IDEMPOTENCY_KEY:
                _keep_single(special, lower, value)
            forwarded.append(b"%b: %b\r\n" % (name, value))
    target = _read_target(raw_target, hosts)
    forwarded.append(b"host: %b\r\n" % hosts[0])
    framing, length = _read_request_framing(special)
    return RequestHead(
        method=method,
        target=target,
        forwarded=_drop_named(forwarded, special.get(b"connection", b"")),
        framing=framing,
        content_length=length,
        expects_continue=_expects_continue(special),
        context=_read_context(special, listener),
        idempotency_key=special.get(_IDEMPOTENCY_KEY, b"").decode("latin-1"),
    )


def read_answer_head(status: int, headers: list[Header], method: str) -> AnswerHead:
    """Check an upstream's answer head."""
    framing = Framing.UNMARKED
    forwarded: list[bytes] = []
    not_run = b""
    connection = b""
    for name, value in headers:
        lower = name.lower()
        if lower == b"content-length":
            framing = Framing.LENGTH
            forwarded.append(b"content-length: %b\r\n" % value)
        elif lower == b"transfer-encoding":
            framing = Framing.CHUNKED if value.lower() == b"chunked" else Framing.UNMARKED
        elif lower == NOT_RUN_HEADER:
            not_run = value
        elif lower == b"connection":
            connection = value
        elif lower not in HOP_BY_HOP and not lower.startswith(RESERVED_PREFIX):
            forwarded.append(b"%b: %b\r\n" % (name, value))
    if method == "HEAD" or status in (204, 304):
        framing = Framing.NONE
    return AnswerHead(status, _drop_named(forwarded, connection), framing, not_run)


def encode_request_head(
    head: RequestHead, attempt: bytes, timeout_ms: int, is_retry: bool
) -> bytes:
    """Encode the head of one attempt for an upstream."""
    lines = [b"%b %b HTTP/1.1\r\n" % (head.method.encode(), head.target.raw)]
    lines += head.forwarded
    if head.framing is Framing.LENGTH:
        lines.append(b"content-length: %d\r\n" % head.content_length)
    elif head.framing is Framing.CHUNKED:
        lines.append(b"transfer-encoding: chunked\r\n")
    if is_retry:
        lines.append(RETRY_HEADER + b": 1\r\n")
    lines.append(
        b"%b: %b\r\n%b: %d\r\n%b: %d\r\n\r\n"
        % (
            CALL_HEADER,
            attempt,
            DEADLINE_HEADER,
            timeout_ms,
            DEPTH_HEADER,
            head.context.depth + 1,
        )
    )
    return b"".join(lines)


def encode_answer_head(head: AnswerHead, close: bool) -> bytes:
    """Encode the head of an upstream's answer for the caller."""
    phrase = _REASON_PHRASES.get(head.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b\r\n" % (head.status, phrase), *head.forwarded]
    if head.framing is Framing.CHUNKED:
        lines.append(b"transfer-encoding: chunked\r\n")
    lines.append(b"connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join(lines)


def encode_own_answer(status: int, headers: list[Header], body: bytes, close: bool) -> bytes:
    """Encode a whole answer of the daemon itself."""
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, _REASON_PHRASES[status])]
    lines += [b"%b: %b\r\n" % header for header in headers]
    lines.append(b"content-type: application/json\r\ncontent-length: %d\r\n" % len(body))
    lines.append(b"connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join([*lines, body])


def _keep_single(special: dict[bytes, bytes], name: bytes, value: bytes) -> None:
    if name in special:
        if name == b"connection":
            value = special[name] + b"," + value
        elif name.startswith(RESERVED_PREFIX) or name in (b"transfer-encoding", _IDEMPOTENCY_KEY):
            raise RefusedRequest(Reason.MALFORMED)
    special[name] = value


def _read_target(raw_target: bytes, hosts: list[bytes]) -> Target:
    try:
        return parse_target(raw_target, hosts)
    except InvalidTarget as error:
        by_host = error.fault is TargetFault.HOST
        raise RefusedRequest(Reason.HOST if by_host else Reason.TARGET) from error


def _read_request_framing(special: dict[bytes, bytes]) -> tuple[Framing, int]:
    encoding = special.get(b"transfer-encoding")
    length = special.get(b"content-length")
    if encoding is not None:
        if length is not None or encoding.lower() != b"chunked":
            raise RefusedRequest(Reason.MALFORMED)
        return Framing.CHUNKED, 0
    if length is None:
        return Framing.NONE, 0
    if not length.isdigit():
        raise RefusedRequest(Reason.MALFORMED)
    return Framing.LENGTH, int(length)


def _expects_continue(special: dict[bytes, bytes]) -> bool:
    expected = special.get(b"expect")
    if expected is None:
        return False
    if expected.lower() != b"100-continue":
        raise RefusedRequest(Reason.MALFORMED)
    return True


def _read_context(special: dict[bytes, bytes], listener: Listener) -> CallContext:
    """Read what a call inherits; depth and retry marks count only from inside the mesh."""
    timeout = special.get(DEADLINE_HEADER)
    inner = listener is Listener.INNER
    depth = special.get(DEPTH_HEADER) if inner else None
    if timeout is None and depth is None:
        return CallContext(is_retry=inner and RETRY_HEADER in special)
    try:
        context = CallContext(
            timeout_ms=parse_timeout_ms(timeout) if timeout is not None else None,
            depth=parse_depth(depth) if depth is not None else 0,
            is_retry=inner and RETRY_HEADER in special,
        )
    except InvalidDeadline as error:
        raise RefusedRequest(Reason.INVALID_DEADLINE) from error
    if context.depth >= MAX_DEPTH:
        raise RefusedRequest(Reason.TOO_DEEP)
    return context


def _drop_named(lines: list[bytes], connection: bytes) -> list[bytes]:
    """Drop the headers that a Connection header declares as meant for one hop."""
    if not connection or connection.lower() in (b"keep-alive", b"close"):
        return lines
    named = {name.strip().lower() for name in connection.split(b",")} - {b"host", b""}
    return [line for line in lines if line.partition(b":")[0].lower() not in named]
