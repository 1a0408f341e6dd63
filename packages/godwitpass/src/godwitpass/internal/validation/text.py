"""Parsing of JSON with comments into plain values.

Comments and trailing commas are replaced by spaces, so that no character moves and the positions
that the standard library's decoder reports are those of the original text.
"""

import json
import re
from collections.abc import Iterable
from typing import Any, TypeVar

import msgspec

from godwitpass.internal.validation.findings import Findings

T = TypeVar("T", bound=msgspec.Struct)

MAX_TEXT_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 32
"""Maximum nesting of objects and arrays."""
MAX_DIGITS = 30
MAX_VALUES = 100_000
"""Maximum number of values, since a value takes many times its text length in memory."""

# An unterminated string or comment matches up to the end, so that no character is scanned twice.
_STRING = r'"(?:\\.|[^"\\])*(?:"|\Z)'
_COMMENT = re.compile(rf"({_STRING})|/\*.*?(?:\*/|\Z)|//[^\r\n]*", re.DOTALL)
_TRAILING_COMMA = re.compile(rf"({_STRING})|,(?=\s*[\]}}])", re.DOTALL)
_NON_NEWLINE = re.compile(r"[^\r\n]")


class ParsedText(msgspec.Struct, frozen=True):
    """A plain value, the text without comments that it was parsed from, and whether keys repeat."""

    value: Any
    json_text: str
    has_duplicate_keys: bool


def decode_text(content: bytes | str, findings: Findings) -> str | None:
    """Return `content` as text, or None after adding a finding."""
    if len(content) > MAX_TEXT_BYTES:
        message = f"{len(content)} bytes, over the limit of {MAX_TEXT_BYTES}"
        findings.add("", message, "remove parts of it")
        return None
    text = content if isinstance(content, str) else _decode_bytes(content, findings)
    if text is None:
        return None
    # Every value follows a comma, or is the first of its object or array.
    value_count = sum(text.count(separator) for separator in ",[{")
    if value_count > MAX_VALUES:
        findings.add(
            "", f"about {value_count} values, over the limit of {MAX_VALUES}", "remove parts of it"
        )
        return None
    return text


def _decode_bytes(content: bytes, findings: Findings) -> str | None:
    try:
        return content.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        findings.add("", f"byte {error.start} is not UTF-8", "save the file as UTF-8", line)
        return None


def parse_text(text: str, findings: Findings) -> ParsedText | None:
    """Parse `text`, which may have comments; return None after adding a finding if invalid."""
    try:
        parsed: ParsedText | None = _load(text)
    except (ValueError, RecursionError):
        # Blank comments only if needed, since it takes longer than the parsing itself.
        parsed = _load_reporting_errors(blank_comments(text), findings)
    if parsed is None or not _check_depth(parsed.value, findings):
        return None
    return parsed


def decode_without_findings(text: str, target_type: type[T]) -> T | None:
    """Return `text` as a `target_type` if it is valid, else None; nothing is reported."""
    try:
        has_duplicates = _scan_for_duplicate_keys(text)
    except (ValueError, RecursionError):
        text = blank_comments(text)
        try:
            has_duplicates = _scan_for_duplicate_keys(text)
        except (ValueError, RecursionError):
            return None
    if has_duplicates:
        return None
    try:
        return msgspec.json.decode(text, type=target_type)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None


def blank_comments(text: str) -> str:
    r"""Replace comments and trailing commas by spaces.

    >>> blank_comments('[1, // one\n]')
    '[1        \n]'
    """
    uncommented = _COMMENT.sub(lambda match: match[1] or _NON_NEWLINE.sub(" ", match[0]), text)
    return _TRAILING_COMMA.sub(lambda match: match[1] or " ", uncommented)


def _load_reporting_errors(json_text: str, findings: Findings) -> ParsedText | None:
    try:
        return _load(json_text)
    except json.JSONDecodeError as error:
        findings.add("", f"{error.msg} (column {error.colno})", "correct the JSON", error.lineno)
    except ValueError as error:
        findings.add("", str(error), "write a shorter or finite number")
    except RecursionError:
        findings.add("", "nested too deeply", f"use at most {MAX_DEPTH} levels")
    return None


def _load(json_text: str) -> ParsedText:
    has_duplicates = False

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        nonlocal has_duplicates
        value = dict(pairs)
        has_duplicates = has_duplicates or len(value) != len(pairs)
        return value

    value = json.loads(
        json_text,
        object_pairs_hook=build_object,
        parse_constant=_reject_constant,
        parse_int=_parse_integer,
    )
    return ParsedText(value, json_text, has_duplicates)


def _scan_for_duplicate_keys(json_text: str) -> bool:
    """Return whether an object repeats a key; raises `ValueError` and `RecursionError`."""
    has_duplicates = False

    def check_pairs(pairs: list[tuple[str, Any]]) -> None:
        nonlocal has_duplicates
        has_duplicates = has_duplicates or len({key for key, _ in pairs}) != len(pairs)

    json.loads(
        json_text,
        object_pairs_hook=check_pairs,
        parse_constant=_reject_constant,
        parse_int=_parse_integer,
    )
    return has_duplicates


def _check_depth(value: Any, findings: Findings) -> bool:
    nested_values = [value]
    for _ in range(MAX_DEPTH + 1):
        nested_values = [member for parent in nested_values for member in _list_members(parent)]
    if not nested_values:
        return True
    findings.add("", f"nested deeper than {MAX_DEPTH} levels", "remove the inner levels")
    return False


def _list_members(value: Any) -> Iterable[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number in JSON")


def _parse_integer(digits: str) -> int:
    if len(digits) > MAX_DIGITS:
        raise ValueError(f"a number has {len(digits)} digits, over the limit of {MAX_DIGITS}")
    return int(digits)
