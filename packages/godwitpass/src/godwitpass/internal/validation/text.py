"""Parsing of JSON with comments into plain values.

Comments and trailing commas are blanked without moving any character, so that the standard
library's decoder reports true places.
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
"""Deepest nesting of objects and arrays that is read."""
MAX_DIGITS = 30
MAX_VALUES = 100_000
"""Bound on the values of a text; each takes many times its length in memory."""

# An unclosed string or comment matches up to the end: each character is looked at once.
_STRING = r'"(?:\\.|[^"\\])*(?:"|\Z)'
_COMMENT = re.compile(rf"({_STRING})|/\*.*?(?:\*/|\Z)|//[^\r\n]*", re.DOTALL)
_TRAILING_COMMA = re.compile(rf"({_STRING})|,(?=\s*[\]}}])", re.DOTALL)
_NOT_NEWLINE = re.compile(r"[^\r\n]")


class ParsedText(msgspec.Struct, frozen=True):
    """A plain value, the text without comments that it came from, and whether keys repeat."""

    value: Any
    plain: str
    has_duplicate_keys: bool


def decode_text(content: bytes | str, findings: Findings) -> str | None:
    """Return `content` as text, or None with a finding."""
    if len(content) > MAX_TEXT_BYTES:
        message = f"{len(content)} bytes, over the bound of {MAX_TEXT_BYTES}"
        findings.add("", message, "remove parts of it")
        return None
    text = content if isinstance(content, str) else _decode_bytes(content, findings)
    if text is None:
        return None
    # Every value but the first of its object or array follows a comma.
    values = sum(text.count(mark) for mark in ",[{")
    if values > MAX_VALUES:
        findings.add("", f"about {values} values, over {MAX_VALUES}", "remove parts of it")
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
    """Return the value of `text`, or None with a finding."""
    try:
        parsed: ParsedText | None = _load(text)
    except (ValueError, RecursionError):
        # Comments are blanked only where needed: it takes longer than the parsing itself.
        parsed = _load_placed(blank_comments(text), findings)
    if parsed is None or not _check_depth(parsed.value, findings):
        return None
    return parsed


def decode_strictly(text: str, kind: type[T]) -> T | None:
    """Return `text` as a `kind` if it has no fault of any sort; else None, without a reason."""
    try:
        has_duplicates = _scan_duplicates(text)
    except (ValueError, RecursionError):
        text = blank_comments(text)
        try:
            has_duplicates = _scan_duplicates(text)
        except (ValueError, RecursionError):
            return None
    if has_duplicates:
        return None
    try:
        return msgspec.json.decode(text, type=kind)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None


def blank_comments(text: str) -> str:
    r"""Replace comments and trailing commas by spaces.

    >>> blank_comments('[1, // one\n]')
    '[1        \n]'
    """
    uncommented = _COMMENT.sub(lambda found: found[1] or _NOT_NEWLINE.sub(" ", found[0]), text)
    return _TRAILING_COMMA.sub(lambda found: found[1] or " ", uncommented)


def _load_placed(plain: str, findings: Findings) -> ParsedText | None:
    try:
        return _load(plain)
    except json.JSONDecodeError as error:
        findings.add("", f"{error.msg} (column {error.colno})", "correct the JSON", error.lineno)
    except ValueError as error:
        findings.add("", str(error), "write a shorter or finite number")
    except RecursionError:
        findings.add("", "nested too deep", f"keep to {MAX_DEPTH} levels")
    return None


def _load(plain: str) -> ParsedText:
    has_duplicates = False

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        nonlocal has_duplicates
        value = dict(pairs)
        has_duplicates = has_duplicates or len(value) != len(pairs)
        return value

    value = json.loads(
        plain,
        object_pairs_hook=build_object,
        parse_constant=_refuse_constant,
        parse_int=_read_integer,
    )
    return ParsedText(value, plain, has_duplicates)


def _scan_duplicates(plain: str) -> bool:
    """Tell whether an object repeats a key; raises `ValueError` and `RecursionError`."""
    has_duplicates = False

    def drop_object(pairs: list[tuple[str, Any]]) -> None:
        nonlocal has_duplicates
        has_duplicates = has_duplicates or len({key for key, _ in pairs}) != len(pairs)

    json.loads(
        plain,
        object_pairs_hook=drop_object,
        parse_constant=_refuse_constant,
        parse_int=_read_integer,
    )
    return has_duplicates


def _check_depth(value: Any, findings: Findings) -> bool:
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        level = [member for parent in level for member in _list_members(parent)]
    if not level:
        return True
    findings.add("", f"nested deeper than {MAX_DEPTH} levels", "remove the inner levels")
    return False


def _list_members(value: Any) -> Iterable[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number in JSON")


def _read_integer(digits: str) -> int:
    if len(digits) > MAX_DIGITS:
        raise ValueError(f"a number has {len(digits)} digits")
    return int(digits)
