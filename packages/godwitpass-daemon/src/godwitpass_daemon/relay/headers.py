"""Parsing and encoding of the request and response heads that the relay passes on."""

import http
import math
from functools import cache

import msgspec

from godwitpass.customers import digest_key
from godwitpass_daemon.edge.heads import HOP_BY_HOP_HEADERS, Framing, Header

REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
_KEY_HEADER = b"authorization"
_KEY_SCHEME = b"token"


class HeaderNames(msgspec.Struct, frozen=True):
    """Names, in lower case, of the headers that the relay reads and writes.

    `request_id` identifies one attempt of a caller, `timeout_ms` is the time that the caller waits,
    `target` the instance that the request is meant for, and `caller_service` the service whose
    daemon accepted the call. `not_run` marks a refusal by the upstream and `seal` a response that
    the upstream itself produced. `instance` identifies the upstream in the response to a health
    check. `rate_limit` holds the requests a second that an upstream takes, and `leaving` marks the
    responses of one that leaves. `customer` names the customer whose key the caller sent.
    """

    request_id: bytes
    timeout_ms: bytes
    target: bytes
    caller_service: bytes
    not_run: bytes
    seal: bytes
    instance: bytes
    rate_limit: bytes
    leaving: bytes
    customer: bytes


class RequestRejected(Exception):
    """A request is rejected before it is routed."""

    def __init__(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
        super().__init__(reason)


class RequestHead(msgspec.Struct):
    """A validated request head; `encoded` holds the forwarded lines without the empty last one.

    `key_digest` identifies the caller's key; it is None if the head has none and empty if the
    value is not a key. `encoded_without_key` lacks the headers with the key and the customer.
    """

    method: bytes
    host: str
    path: str
    encoded: bytes
    request_id: str
    timeout_ms: int | None
    expects_continue: bool
    key_digest: str | None = None
    encoded_without_key: bytes = b""

    def identify(self, customer: bytes, header_names: HeaderNames) -> None:
        """Forward the name of the customer instead of the key; an empty name is not sent."""
        self.encoded = self.encoded_without_key
        if customer:
            self.encoded += b"%b: %b\r\n" % (header_names.customer, customer)


class ResponseHead(msgspec.Struct):
    """A parsed response head; `keep_alive_s` is how long the upstream keeps the connection open."""

    status: int
    encoded: bytes
    framing: Framing
    body_bytes: int
    request_id: bytes
    is_not_run: bool
    has_seal: bool
    has_content_encoding: bool
    is_persistent: bool
    keep_alive_s: float | None
    instance: bytes
    rate_limit_per_s: float | None = None
    is_leaving: bool = False


def parse_request_head(
    method: bytes,
    raw_target: bytes,
    headers: list[Header],
    header_names: HeaderNames,
    caller_service: bytes,
    has_customers: bool = False,
) -> RequestHead:
    """Validate a request head; raise `RequestRejected` if it is invalid.

    `caller_service` replaces the value of the header of that name in the request. The key is kept
    for an upstream only while the version in force has no customers.
    """
    if not raw_target.startswith(b"/"):
        raise RequestRejected(400, "the target is not a path")
    unique_values: dict[bytes, bytes] = {}
    connection_options: list[bytes] = []
    lines = [b"%b %b HTTP/1.1\r\n" % (method, raw_target)]
    unique_names, dropped_names = _classify_headers(header_names)
    key_values: list[bytes] = []
    private_lines: set[bytes] = set()
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == b"connection":
            connection_options += [token.strip().lower() for token in value.split(b",")]
            continue
        if lower_name in unique_names:
            if lower_name in unique_values:
                raise RequestRejected(400, f"more than one {lower_name.decode('latin-1')} header")
            unique_values[lower_name] = value
        if lower_name in dropped_names:
            continue
        line = b"%b: %b\r\n" % (name, value)
        if lower_name == _KEY_HEADER:
            key_values.append(value)
            private_lines.add(line)
        elif lower_name == header_names.customer or (
            b"_" in lower_name and lower_name.replace(b"_", b"-") == header_names.customer
        ):
            # Many servers take an underscore in a header's name for a hyphen.
            private_lines.add(line)
        lines.append(line)
    _check_framing(unique_values)
    host = unique_values.get(b"host")
    if host is None:
        raise RequestRejected(400, "no host header")
    lines = _drop_connection_headers(lines, connection_options)
    lines.append(b"%b: %b\r\n" % (header_names.caller_service, caller_service))
    encoded = encoded_without_key = b"".join(lines)
    if private_lines:
        encoded_without_key = b"".join(line for line in lines if line not in private_lines)
    return RequestHead(
        method=method,
        host=_drop_port(host).decode("latin-1").lower(),
        path=raw_target.partition(b"?")[0].decode("latin-1"),
        encoded=encoded_without_key if has_customers else encoded,
        request_id=unique_values.get(header_names.request_id, b"").decode("latin-1"),
        timeout_ms=_parse_timeout_ms(unique_values.get(header_names.timeout_ms)),
        expects_continue=unique_values.get(b"expect", b"").lower() == b"100-continue",
        key_digest=_digest_key_values(key_values),
        encoded_without_key=encoded_without_key,
    )


def parse_response_head(
    status: int,
    headers: list[Header],
    method: bytes,
    is_persistent: bool,
    header_names: HeaderNames,
) -> ResponseHead:
    """Parse the head of an upstream's response."""
    framing, body_bytes = Framing.UNMARKED, -1
    request_id = instance = b""
    is_not_run = has_seal = has_content_encoding = is_leaving = False
    keep_alive_s: float | None = None
    rate_limit_per_s: float | None = None
    connection_options: list[bytes] = []
    lines: list[bytes] = []
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == b"content-length":
            framing, body_bytes = Framing.LENGTH, int(value)
        elif lower_name == b"transfer-encoding":
            framing, body_bytes = Framing.CHUNKED, -1
        elif lower_name == b"connection":
            connection_options += [token.strip().lower() for token in value.split(b",")]
        elif lower_name == b"keep-alive":
            keep_alive_s = _parse_keep_alive_s(value)
        elif lower_name not in HOP_BY_HOP_HEADERS:
            if lower_name == header_names.request_id:
                request_id = value
            elif lower_name == header_names.not_run:
                is_not_run = True
            elif lower_name == header_names.seal:
                has_seal = True
            elif lower_name == header_names.instance:
                instance = value
            elif lower_name == header_names.rate_limit:
                rate_limit_per_s = _parse_rate_limit(value)
            elif lower_name == header_names.leaving:
                is_leaving = value.strip() == b"1"
            elif lower_name == b"content-encoding" and value.lower() != b"identity":
                has_content_encoding = True
            lines.append(b"%b: %b\r\n" % (name, value))
    if method == b"HEAD" or status in (204, 304):
        framing, body_bytes = Framing.NONE, 0
    if b"close" in connection_options or framing is Framing.UNMARKED:
        is_persistent = False
    return ResponseHead(
        status,
        b"".join(_drop_connection_headers(lines, connection_options)),
        framing,
        body_bytes,
        request_id,
        is_not_run,
        has_seal,
        has_content_encoding,
        is_persistent,
        keep_alive_s,
        instance,
        rate_limit_per_s,
        is_leaving,
    )


def encode_request_head(
    head: bytes, header_names: HeaderNames, remaining_ms: int, target: bytes, body_bytes: int
) -> bytes:
    """Encode the head of a request for the upstream `target`."""
    content_length = (
        b"content-length: %d\r\n" % body_bytes if body_bytes or _usually_has_body(head) else b""
    )
    return b"%b%b%b: %d\r\n%b: %b\r\n\r\n" % (
        head,
        content_length,
        header_names.timeout_ms,
        remaining_ms,
        header_names.target,
        target,
    )


def encode_response_head(
    status: int, head: bytes, body_bytes: int, closes_connection: bool, has_no_body: bool
) -> bytes:
    """Encode the head of an upstream's response; a negative `body_bytes` means chunked encoding."""
    if has_no_body:
        framing = b""
    elif body_bytes < 0:
        framing = b"transfer-encoding: chunked\r\n"
    else:
        framing = b"content-length: %d\r\n" % body_bytes
    return b"HTTP/1.1 %d %b\r\n%b%b%b" % (
        status,
        REASON_PHRASES.get(status, b"Unknown"),
        head,
        framing,
        b"connection: close\r\n\r\n" if closes_connection else b"\r\n",
    )


def encode_local_response(
    status: int,
    reason: str,
    request_id: bytes,
    request_id_name: bytes,
    retry_after_s: float | None,
    closes_connection: bool,
) -> bytes:
    """Encode a complete response of the daemon itself."""
    body = msgspec.json.encode({"reason": reason})
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, REASON_PHRASES.get(status, b"Unknown"))]
    if request_id:
        lines.append(b"%b: %b\r\n" % (request_id_name, request_id))
    if status == http.HTTPStatus.UNAUTHORIZED:
        lines.append(b"www-authenticate: Token\r\n")
    if retry_after_s is not None:
        lines.append(b"retry-after: %.3f\r\n" % retry_after_s)
    lines.append(b"content-type: application/json\r\ncontent-length: %d\r\n" % len(body))
    lines.append(b"connection: close\r\n\r\n" if closes_connection else b"\r\n")
    return b"".join([*lines, body])


@cache
def _classify_headers(header_names: HeaderNames) -> tuple[frozenset[bytes], frozenset[bytes]]:
    """Return the headers that may occur only once, and those that are not forwarded."""
    own_names = {
        header_names.timeout_ms,
        header_names.target,
        header_names.caller_service,
        header_names.not_run,
        header_names.seal,
    }
    unique_names = _FRAMING_HEADERS | {
        b"host",
        b"expect",
        header_names.request_id,
        header_names.timeout_ms,
    }
    return unique_names, HOP_BY_HOP_HEADERS | _FRAMING_HEADERS | own_names


def _drop_port(host: bytes) -> bytes:
    """Return a Host header's value without its port; an IPv6 address is in brackets.

    >>> _drop_port(b"[::1]"), _drop_port(b"[::1]:80"), _drop_port(b"shop.example:80")
    (b'[::1]', b'[::1]', b'shop.example')
    """
    if host.startswith(b"["):
        return host[: host.find(b"]") + 1]
    return host.partition(b":")[0]


def _usually_has_body(head: bytes) -> bool:
    """Tell whether the method usually has a body, so that an empty one is announced too."""
    return head.startswith((b"POST ", b"PUT ", b"PATCH "))


def _check_framing(unique_values: dict[bytes, bytes]) -> None:
    content_length = unique_values.get(b"content-length")
    transfer_encoding = unique_values.get(b"transfer-encoding")
    if transfer_encoding is not None and (
        content_length is not None or transfer_encoding.lower() != b"chunked"
    ):
        raise RequestRejected(400, "the end of the body is not marked clearly")
    if content_length is not None and not content_length.isdigit():
        raise RequestRejected(400, "the content length is not a number")


def _digest_key_values(values: list[bytes]) -> str | None:
    """Return the digest of the only key, None without a value, and "" if there is no single key.

    >>> _digest_key_values([]), _digest_key_values([b"Basic YTpi"]), _digest_key_values([b"Token"])
    (None, '', '')
    >>> _digest_key_values([b"tOKEN  a"]) == _digest_key_values([b"Token a"]) != ""
    True
    """
    if not values:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    if len(values) > 1 or scheme.lower() != _KEY_SCHEME or not key:
        return ""
    return digest_key(key)


def _parse_timeout_ms(value: bytes | None) -> int | None:
    if value is None:
        return None
    if not value.isdigit() or len(value) > 9:
        raise RequestRejected(400, "the timeout is not a number of milliseconds")
    return int(value)


def _parse_keep_alive_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None


def _parse_rate_limit(value: bytes) -> float | None:
    """Return a limit in requests a second, None if the value is not a positive number.

    >>> _parse_rate_limit(b"17.4"), _parse_rate_limit(b"0"), _parse_rate_limit(b"nan")
    (17.4, None, None)
    """
    try:
        rate_per_s = float(value)
    except ValueError:
        return None
    return rate_per_s if 0 < rate_per_s < math.inf else None


def _drop_connection_headers(lines: list[bytes], connection_options: list[bytes]) -> list[bytes]:
    """Drop the hop-by-hop headers that a Connection header names."""
    named_headers = set(connection_options) - {b"keep-alive", b"close", b"", b"host"}
    if not named_headers:
        return lines
    return [line for line in lines if line.partition(b":")[0].lower() not in named_headers]
