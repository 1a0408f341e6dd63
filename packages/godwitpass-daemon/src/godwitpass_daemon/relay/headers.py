"""Heads of requests and answers as the relay reads and writes them."""

import http
from functools import cache

import msgspec

from godwitpass_daemon.edge.heads import HOP_BY_HOP, Framing, Header
from godwitpass_daemon.relay.limits import MAX_HEADERS

REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})


class HeaderNames(msgspec.Struct, frozen=True):
    """The headers that carry the relay's own facts, in lower case.

    `request_id` names one attempt of a caller, `timeout_ms` is the time it will wait, `target`
    names the upstream that is meant, `caller_service` the service beside which a call began,
    `not_run` marks an upstream's refusal, `seal` an upstream's own answer, `instance` names the
    upstream in the answer to a health check.
    """

    request_id: bytes
    timeout_ms: bytes
    target: bytes
    caller_service: bytes
    not_run: bytes
    seal: bytes
    instance: bytes


class RequestFault(Exception):
    """A request that is answered without being routed."""

    def __init__(self, status: int, reason: str) -> None:
        self.status = status
        self.reason = reason
        super().__init__(reason)


class RequestHead(msgspec.Struct):
    """A checked request head; `encoded` is what passes through, without its last empty line."""

    method: bytes
    host: str
    path: str
    encoded: bytes
    request_id: str
    timeout_ms: int | None
    expects_continue: bool


class AnswerHead(msgspec.Struct):
    """A checked answer head; `idle_s` is how long the upstream keeps the connection."""

    status: int
    encoded: bytes
    framing: Framing
    body_bytes: int
    request_id: bytes
    not_run: bool
    sealed: bool
    encoded_content: bool
    keeps_open: bool
    idle_s: float | None
    instance: bytes


def read_request(
    method: bytes, raw_target: bytes, headers: list[Header], names: HeaderNames, caller: bytes
) -> RequestHead:
    """Check a request head; raises `RequestFault`.

    `caller` is the service beside which the call began; what the request says of it is dropped.
    """
    if len(headers) > MAX_HEADERS:
        raise RequestFault(431, "too many headers")
    if not raw_target.startswith(b"/"):
        raise RequestFault(400, "the target is not a path")
    special: dict[bytes, bytes] = {}
    connection: list[bytes] = []
    lines = [b"%b %b HTTP/1.1\r\n" % (method, raw_target)]
    single, dropped = _list_special(names)
    for name, value in headers:
        lower = name.lower()
        if lower == b"connection":
            connection += [token.strip().lower() for token in value.split(b",")]
            continue
        if lower in single:
            if lower in special:
                raise RequestFault(400, f"more than one {lower.decode('latin-1')} header")
            special[lower] = value
        if lower in dropped:
            continue
        lines.append(b"%b: %b\r\n" % (name, value))
    _check_framing(special)
    host = special.get(b"host")
    if host is None:
        raise RequestFault(400, "no host header")
    lines = _drop_nominated(lines, connection)
    lines.append(b"%b: %b\r\n" % (names.caller_service, caller))
    return RequestHead(
        method=method,
        host=(host.rpartition(b":")[0] if b":" in host else host).decode("latin-1").lower(),
        path=raw_target.partition(b"?")[0].decode("latin-1"),
        encoded=b"".join(lines),
        request_id=special.get(names.request_id, b"").decode("latin-1"),
        timeout_ms=_read_timeout(special.get(names.timeout_ms)),
        expects_continue=special.get(b"expect", b"").lower() == b"100-continue",
    )


def read_answer(
    status: int, headers: list[Header], method: bytes, keeps_open: bool, names: HeaderNames
) -> AnswerHead:
    """Check an upstream's answer head."""
    framing, body_bytes = Framing.UNMARKED, -1
    request_id = instance = b""
    not_run = sealed = encoded_content = False
    idle_s: float | None = None
    connection: list[bytes] = []
    lines: list[bytes] = []
    for name, value in headers:
        lower = name.lower()
        if lower == b"content-length":
            framing, body_bytes = Framing.LENGTH, int(value)
        elif lower == b"transfer-encoding":
            framing, body_bytes = Framing.CHUNKED, -1
        elif lower == b"connection":
            connection += [token.strip().lower() for token in value.split(b",")]
        elif lower == b"keep-alive":
            idle_s = _read_idle(value)
        elif lower not in HOP_BY_HOP:
            if lower == names.request_id:
                request_id = value
            elif lower == names.not_run:
                not_run = True
            elif lower == names.seal:
                sealed = True
            elif lower == names.instance:
                instance = value
            elif lower == b"content-encoding" and value.lower() != b"identity":
                encoded_content = True
            lines.append(b"%b: %b\r\n" % (name, value))
    if method == b"HEAD" or status in (204, 304):
        framing, body_bytes = Framing.NONE, 0
    if b"close" in connection or framing is Framing.UNMARKED:
        keeps_open = False
    return AnswerHead(
        status,
        b"".join(_drop_nominated(lines, connection)),
        framing,
        body_bytes,
        request_id,
        not_run,
        sealed,
        encoded_content,
        keeps_open,
        idle_s,
        instance,
    )


def encode_request(
    head: bytes, names: HeaderNames, left_ms: int, target: bytes, body_bytes: int
) -> bytes:
    """Encode the head of a request for the upstream called `target`."""
    length = b"content-length: %d\r\n" % body_bytes if body_bytes or _has_body(head) else b""
    return b"%b%b%b: %d\r\n%b: %b\r\n\r\n" % (
        head,
        length,
        names.timeout_ms,
        left_ms,
        names.target,
        target,
    )


def encode_answer(status: int, head: bytes, body_bytes: int, close: bool, bodyless: bool) -> bytes:
    """Encode the head of an upstream's answer for the caller; a negative size means chunks."""
    if bodyless:
        framing = b""
    elif body_bytes < 0:
        framing = b"transfer-encoding: chunked\r\n"
    else:
        framing = b"content-length: %d\r\n" % body_bytes
    return b"HTTP/1.1 %d %b\r\n%b%b%b" % (
        status,
        REASONS.get(status, b"Unknown"),
        head,
        framing,
        b"connection: close\r\n\r\n" if close else b"\r\n",
    )


def encode_own(
    status: int,
    reason: str,
    request_id: bytes,
    id_name: bytes,
    retry_after_s: float | None,
    close: bool,
) -> bytes:
    """Encode a whole answer of the daemon itself."""
    body = msgspec.json.encode({"reason": reason})
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, REASONS.get(status, b"Unknown"))]
    if request_id:
        lines.append(b"%b: %b\r\n" % (id_name, request_id))
    if retry_after_s is not None:
        lines.append(b"retry-after: %.3f\r\n" % retry_after_s)
    lines.append(b"content-type: application/json\r\ncontent-length: %d\r\n" % len(body))
    lines.append(b"connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join([*lines, body])


@cache
def _list_special(names: HeaderNames) -> tuple[frozenset[bytes], frozenset[bytes]]:
    """Return the headers that may stand once, and those that are not passed on."""
    own = {names.timeout_ms, names.target, names.caller_service, names.not_run, names.seal}
    single = _FRAMING | {b"host", b"expect", names.request_id, names.timeout_ms}
    return single, HOP_BY_HOP | _FRAMING | own


def _has_body(head: bytes) -> bool:
    return head.startswith((b"POST ", b"PUT ", b"PATCH "))


def _check_framing(special: dict[bytes, bytes]) -> None:
    length = special.get(b"content-length")
    encoding = special.get(b"transfer-encoding")
    if encoding is not None and (length is not None or encoding.lower() != b"chunked"):
        raise RequestFault(400, "the end of the body is not marked clearly")
    if length is not None and not length.isdigit():
        raise RequestFault(400, "the content length is not a number")


def _read_timeout(value: bytes | None) -> int | None:
    if value is None:
        return None
    if not value.isdigit() or len(value) > 9:
        raise RequestFault(400, "the timeout is not a number of milliseconds")
    return int(value)


def _read_idle(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None


def _drop_nominated(lines: list[bytes], connection: list[bytes]) -> list[bytes]:
    """Drop the headers that a Connection header declares as meant for one hop."""
    named = set(connection) - {b"keep-alive", b"close", b"", b"host"}
    if not named:
        return lines
    return [line for line in lines if line.partition(b":")[0].lower() not in named]
