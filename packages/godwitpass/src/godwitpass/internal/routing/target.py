"""Strict parsing of request targets and host names.

A target that two programs could read differently is rejected, never corrected. What is matched
here is thus what the upstream sees after decoding it once.
"""

import re
from enum import Enum
from functools import lru_cache
from urllib.parse import unquote_to_bytes

import msgspec

MAX_TARGET_BYTES = 8 * 1024
MAX_HOST_BYTES = 255 + len(":65535")

_ALLOWED_CHARACTERS = re.compile(rb"[A-Za-z0-9\-._~!$&'()*+,;=:@/%]*")
_INVALID_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_DOUBLE_ESCAPE = re.compile(rb"%[0-9A-Fa-f]{2}")
_FORBIDDEN_DECODED = re.compile(rb"[\x00-\x1f\x7f\\]")
_ENCODED_SLASH = re.compile(rb"%2[fF]|%5[cC]")
_HOST = re.compile(r"(?P<name>[a-z0-9](?:[a-z0-9\-._]*[a-z0-9])?|\[[0-9a-f:.]+\])(?::[0-9]{1,5})?")
_ABSOLUTE_FORM = re.compile(rb"https?://([^/?#]*)(.*)", re.IGNORECASE | re.DOTALL)


class TargetFault(Enum):
    """Why a request target was rejected."""

    TOO_LONG = "target-too-long"
    FORM = "target-form"
    CHARACTERS = "target-characters"
    SEGMENTS = "target-segments"
    HOST = "host"


class InvalidTarget(ValueError):
    """A request target or host name is malformed or ambiguous."""

    def __init__(self, fault: TargetFault) -> None:
        self.fault = fault
        super().__init__(fault.value)


class Target(msgspec.Struct, frozen=True):
    """A request target; `raw` is forwarded, `path` is decoded once and used for matching."""

    raw: bytes
    path: str
    host: str


def parse_target(raw: bytes, host_headers: list[bytes]) -> Target:
    """Parse a request target and its Host headers; raises `InvalidTarget`.

    >>> parse_target(b"/status/42?full=1", [b"Lakes.example:80"]).path
    '/status/42'
    """
    if len(raw) > MAX_TARGET_BYTES:
        raise InvalidTarget(TargetFault.TOO_LONG)
    if len(host_headers) != 1:
        raise InvalidTarget(TargetFault.HOST)
    host = normalise_host(host_headers[0])
    if not raw.startswith(b"/"):
        raw = _strip_authority(raw, host)
    path, _, query = raw.partition(b"?")
    if b"#" in query or not query.isascii():
        raise InvalidTarget(TargetFault.CHARACTERS)
    return Target(raw, _decode_path(path), host)


@lru_cache(maxsize=256)
def normalise_host(raw: bytes) -> str:
    """Return the name in a Host header, in lower case, without port and trailing dot."""
    if len(raw) > MAX_HOST_BYTES:
        raise InvalidTarget(TargetFault.HOST)
    try:
        text = raw.decode("ascii").lower()
    except UnicodeDecodeError:
        raise InvalidTarget(TargetFault.HOST) from None
    name, separator, port = text.partition(":")
    if name.endswith("."):
        text = name[:-1] + separator + port
    match = _HOST.fullmatch(text)
    if match is None:
        raise InvalidTarget(TargetFault.HOST)
    return match["name"]


def fold_path(path: str) -> str:
    """Return the most lenient reading of a decoded path.

    It ignores case, path parameters, and dots and spaces at the end of segments. It only serves
    to keep internal routes away from the outer listener.

    >>> fold_path("/Payroll;v=1/42. ")
    '/payroll/42'
    """
    segments = (segment.partition(";")[0].rstrip(". ") for segment in path.casefold().split("/"))
    return "/".join(segments)


def _strip_authority(raw: bytes, host: str) -> bytes:
    match = _ABSOLUTE_FORM.fullmatch(raw)
    if match is None:
        raise InvalidTarget(TargetFault.FORM)
    if normalise_host(match[1]) != host:
        raise InvalidTarget(TargetFault.HOST)
    path_and_query = match[2]
    return path_and_query if path_and_query.startswith(b"/") else b"/" + path_and_query


def _decode_path(path: bytes) -> str:
    if _ALLOWED_CHARACTERS.fullmatch(path) is None:
        raise InvalidTarget(TargetFault.CHARACTERS)
    if b"%" in path:
        path = _decode_escapes(path)
    if b"//" in path:
        raise InvalidTarget(TargetFault.SEGMENTS)
    if b"/." in path and _has_dot_segment(path):
        raise InvalidTarget(TargetFault.SEGMENTS)
    try:
        return path.decode("utf-8")
    except UnicodeDecodeError:
        raise InvalidTarget(TargetFault.CHARACTERS) from None


def _decode_escapes(path: bytes) -> bytes:
    if _INVALID_ESCAPE.search(path) or _ENCODED_SLASH.search(path):
        raise InvalidTarget(TargetFault.CHARACTERS)
    decoded = unquote_to_bytes(path)
    if _FORBIDDEN_DECODED.search(decoded) or _DOUBLE_ESCAPE.search(decoded):
        raise InvalidTarget(TargetFault.CHARACTERS)
    return decoded


def _has_dot_segment(path: bytes) -> bool:
    segments = (segment.partition(b";")[0] for segment in path.split(b"/"))
    return any(segment in (b".", b"..") for segment in segments)
