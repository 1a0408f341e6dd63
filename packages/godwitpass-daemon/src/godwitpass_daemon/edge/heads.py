"""Heads of HTTP requests and responses: parsing, validation and encoding."""

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

HOP_BY_HOP_HEADERS = frozenset(
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
OVERRIDE_HEADERS = frozenset(
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
"""Headers by which some frameworks override the method or path, and so bypass routing."""

INTERIM_STATUSES, FINAL_STATUSES = range(100, 200), range(200, 600)
"""Statuses of HTTP; others mean nothing, and a caller may take them for anything."""

_UNFORWARDED_HEADERS = HOP_BY_HOP_HEADERS | OVERRIDE_HEADERS | {b"content-length", b"host"}
_IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
_REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


class Framing(Enum):
    """How a message marks the end of its body."""

    NONE = 0
    LENGTH = 1
    CHUNKED = 2
    UNMARKED = 3
    """The body ends with the connection."""


class RefusedRequest(Exception):
    """A request head is invalid; the request is refused without being routed."""

    def __init__(self, reason: Reason) -> None:
        self.reason = reason
        super().__init__(reason.value)


class StatusClass(Enum):
    """What the status of a response says about the responses that follow it."""

    INTERIM = "interim"
    FINAL = "final"
    INVALID = "invalid"


class RequestHead(msgspec.Struct):
    """A validated request head; `forwarded_lines` holds the encoded header lines to forward."""

    method: str
    target: Target
    forwarded_lines: bytes
    framing: Framing
    content_length: int
    expects_continue: bool
    context: CallContext
    idempotency_key: str


class ResponseHead(msgspec.Struct):
    """A validated response head.

    `not_run_id` is the id of the attempt that the upstream declares as not run, or empty.
    """

    status: int
    forwarded_lines: list[bytes]
    framing: Framing
    not_run_id: bytes


def classify_status(status: int) -> StatusClass:
    """Tell whether a response of this status is the final one.

    >>> [classify_status(status).value for status in (0, 99, 103, 200, 599, 600)]
    ['invalid', 'invalid', 'interim', 'final', 'final', 'invalid']
    """
    if status in INTERIM_STATUSES:
        return StatusClass.INTERIM
    return StatusClass.FINAL if status in FINAL_STATUSES else StatusClass.INVALID


def parse_request_head(
    method: str, version: str, raw_target: bytes, headers: list[Header], listener: Listener
) -> RequestHead:
    """Parse and validate a request head; raises `RefusedRequest`."""
    if version != "1.1":
        raise RefusedRequest(Reason.HTTP_VERSION)
    host_headers: list[bytes] = []
    control_headers: dict[bytes, bytes] = {}
    forwarded_lines: list[bytes] = []
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == b"host":
            host_headers.append(value)
        elif lower_name in _UNFORWARDED_HEADERS or lower_name.startswith(RESERVED_PREFIX):
            _store_control_header(control_headers, lower_name, value)
        else:
            if lower_name == _IDEMPOTENCY_KEY_HEADER:
                _store_control_header(control_headers, lower_name, value)
            forwarded_lines.append(b"%b: %b\r\n" % (name, value))
    target = _parse_target(raw_target, host_headers)
    forwarded_lines.append(b"host: %b\r\n" % host_headers[0])
    framing, content_length = _parse_request_framing(control_headers)
    kept_lines = _drop_connection_headers(forwarded_lines, control_headers.get(b"connection", b""))
    return RequestHead(
        method=method,
        target=target,
        forwarded_lines=b"".join(kept_lines),
        framing=framing,
        content_length=content_length,
        expects_continue=_expects_continue(control_headers),
        context=_parse_context(control_headers, listener),
        idempotency_key=control_headers.get(_IDEMPOTENCY_KEY_HEADER, b"").decode("latin-1"),
    )


def parse_response_head(status: int, headers: list[Header], method: str) -> ResponseHead:
    """Parse an upstream's response head."""
    framing = Framing.UNMARKED
    forwarded_lines: list[bytes] = []
    not_run_id = b""
    connection = b""
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == b"content-length":
            framing = Framing.LENGTH
            forwarded_lines.append(b"content-length: %b\r\n" % value)
        elif lower_name == b"transfer-encoding":
            framing = Framing.CHUNKED if value.lower() == b"chunked" else Framing.UNMARKED
        elif lower_name == NOT_RUN_HEADER:
            not_run_id = value
        elif lower_name == b"connection":
            connection = value
        elif lower_name not in HOP_BY_HOP_HEADERS and not lower_name.startswith(RESERVED_PREFIX):
            forwarded_lines.append(b"%b: %b\r\n" % (name, value))
    if method == "HEAD" or status in (204, 304):
        framing = Framing.NONE
    return ResponseHead(
        status, _drop_connection_headers(forwarded_lines, connection), framing, not_run_id
    )


def encode_request_head(
    head: RequestHead, attempt_id: bytes, timeout_ms: int, is_retry: bool
) -> bytes:
    """Encode the request head that an upstream receives for one attempt."""
    lines = [b"%b %b HTTP/1.1\r\n" % (head.method.encode(), head.target.raw)]
    lines.append(head.forwarded_lines)
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
            attempt_id,
            DEADLINE_HEADER,
            timeout_ms,
            DEPTH_HEADER,
            head.context.depth + 1,
        )
    )
    return b"".join(lines)


def encode_response_head(head: ResponseHead, closes_connection: bool) -> bytes:
    """Encode the head of an upstream's response for the caller."""
    phrase = _REASON_PHRASES.get(head.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b\r\n" % (head.status, phrase), *head.forwarded_lines]
    if head.framing is Framing.CHUNKED:
        lines.append(b"transfer-encoding: chunked\r\n")
    lines.append(b"connection: close\r\n\r\n" if closes_connection else b"\r\n")
    return b"".join(lines)


def encode_local_response(
    status: int, headers: list[Header], body: bytes, closes_connection: bool
) -> bytes:
    """Encode a complete JSON response that the daemon generates itself."""
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, _REASON_PHRASES[status])]
    lines += [b"%b: %b\r\n" % header for header in headers]
    lines.append(b"content-type: application/json\r\ncontent-length: %d\r\n" % len(body))
    lines.append(b"connection: close\r\n\r\n" if closes_connection else b"\r\n")
    return b"".join([*lines, body])


def _store_control_header(control_headers: dict[bytes, bytes], name: bytes, value: bytes) -> None:
    """Store a header that the daemon evaluates itself; repeated Connection headers are joined.

    Raises `RefusedRequest` for other repeated headers whose meaning would be ambiguous.
    """
    if name in control_headers:
        if name == b"connection":
            value = control_headers[name] + b"," + value
        elif name.startswith(RESERVED_PREFIX) or name in (
            b"transfer-encoding",
            _IDEMPOTENCY_KEY_HEADER,
        ):
            raise RefusedRequest(Reason.MALFORMED)
    control_headers[name] = value


def _parse_target(raw_target: bytes, host_headers: list[bytes]) -> Target:
    try:
        return parse_target(raw_target, host_headers)
    except InvalidTarget as error:
        is_host_fault = error.fault is TargetFault.HOST
        raise RefusedRequest(Reason.HOST if is_host_fault else Reason.TARGET) from error


def _parse_request_framing(control_headers: dict[bytes, bytes]) -> tuple[Framing, int]:
    transfer_encoding = control_headers.get(b"transfer-encoding")
    content_length = control_headers.get(b"content-length")
    if transfer_encoding is not None:
        if content_length is not None or transfer_encoding.lower() != b"chunked":
            raise RefusedRequest(Reason.MALFORMED)
        return Framing.CHUNKED, 0
    if content_length is None:
        return Framing.NONE, 0
    if not content_length.isdigit():
        raise RefusedRequest(Reason.MALFORMED)
    return Framing.LENGTH, int(content_length)


def _expects_continue(control_headers: dict[bytes, bytes]) -> bool:
    expect_header = control_headers.get(b"expect")
    if expect_header is None:
        return False
    if expect_header.lower() != b"100-continue":
        raise RefusedRequest(Reason.MALFORMED)
    return True


def _parse_context(control_headers: dict[bytes, bytes], listener: Listener) -> CallContext:
    """Parse the inherited properties; depth and retry headers count only on the inner listener."""
    timeout_header = control_headers.get(DEADLINE_HEADER)
    is_inner = listener is Listener.INNER
    depth_header = control_headers.get(DEPTH_HEADER) if is_inner else None
    if timeout_header is None and depth_header is None:
        return CallContext(is_retry=is_inner and RETRY_HEADER in control_headers)
    try:
        context = CallContext(
            timeout_ms=parse_timeout_ms(timeout_header) if timeout_header is not None else None,
            depth=parse_depth(depth_header) if depth_header is not None else 0,
            is_retry=is_inner and RETRY_HEADER in control_headers,
        )
    except InvalidDeadline as error:
        raise RefusedRequest(Reason.INVALID_DEADLINE) from error
    if context.depth >= MAX_DEPTH:
        raise RefusedRequest(Reason.TOO_DEEP)
    return context


def _drop_connection_headers(lines: list[bytes], connection: bytes) -> list[bytes]:
    """Drop the headers that the Connection header declares as hop-by-hop."""
    if not connection or connection.lower() in (b"keep-alive", b"close"):
        return lines
    connection_headers = {name.strip().lower() for name in connection.split(b",")} - {b"host", b""}
    return [line for line in lines if line.partition(b":")[0].lower() not in connection_headers]
