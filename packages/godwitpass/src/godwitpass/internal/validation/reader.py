"""Reading of checked inputs: text to value to typed message, with all findings."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from godwitpass.document import Document
from godwitpass.errors import Finding, InvalidDocument
from godwitpass.internal.codec import compress, encode_canonical
from godwitpass.internal.validation.findings import Findings, get_unknown_line
from godwitpass.internal.validation.line_locator import LineLocator
from godwitpass.internal.validation.rules import check_entries, collect_entries, locate_entries
from godwitpass.internal.validation.structure import convert_value
from godwitpass.internal.validation.text import (
    decode_strictly,
    decode_text,
    parse_text,
)
from godwitpass.store import MAX_VALUE_BYTES

T = TypeVar("T", bound=msgspec.Struct)

MAX_CANONICAL_BYTES = 2 * 1024 * 1024

Check = Callable[[Any, Any, Findings], None]
"""Checks (plain value, converted value or None, findings) beyond the types."""


def read_struct(
    content: bytes | str, source: str, kind: type[T], check: Check
) -> tuple[T | None, list[Finding]]:
    """Read a `kind` from JSON with comments; without a value there is at least one finding."""
    findings = Findings()
    text = decode_text(content, findings)
    if text is None:
        return None, findings.place(get_unknown_line, source)
    parsed = parse_text(text, findings)
    if parsed is None:
        return None, findings.place(get_unknown_line, source)
    converted = convert_value(parsed.value, kind, findings)
    check(parsed.value, converted, findings)
    if not findings and not parsed.has_duplicate_keys:
        return converted, []
    places = LineLocator(parsed.plain)
    if parsed.has_duplicate_keys:
        _add_duplicates(places, findings)
    return None, findings.place(places.find_line, source)


def _add_duplicates(places: LineLocator, findings: Findings) -> None:
    for pointer, line in places.find_duplicate_keys():
        findings.add(pointer, "the key stands twice in its object", "remove one of the two", line)
        if findings.is_full:
            return


def read_checked_document(content: bytes | str, source: str) -> Document:
    """Return the document in `content`; raises `InvalidDocument` with all findings."""
    document = _read_valid(content)
    if document is not None:
        return document
    document, findings = read_struct(content, source, Document, _check)
    if document is None:
        raise InvalidDocument(findings)
    return document


def _read_valid(content: bytes | str) -> Document | None:
    """Return a valid document without the plain values, which take most of the memory."""
    findings = Findings()
    text = decode_text(content, findings)
    document = decode_strictly(text, Document) if text is not None else None
    if document is None:
        return None
    check_entries(locate_entries(document), findings)
    if not findings:
        _check_size(document, findings)
    return None if findings else document


def _check(value: Any, document: Document | None, findings: Findings) -> None:
    if isinstance(value, dict) and not findings.is_full:
        check_entries(collect_entries(value), findings)
    if document is not None and not findings:
        _check_size(document, findings)


def _check_size(document: Document, findings: Findings) -> None:
    try:
        content = encode_canonical(document)
    except UnicodeEncodeError:
        findings.add("", "an escape stands for half a character", "remove \\ud800 to \\udfff")
        return
    if len(content) > MAX_CANONICAL_BYTES:
        message = f"{len(content)} bytes in canonical form, over {MAX_CANONICAL_BYTES}"
        findings.add("", message, "remove services, routes or policies")
        return
    if len(content) <= MAX_VALUE_BYTES:
        # Compression takes much memory and makes nothing of this size larger than the bound.
        return
    stored = len(compress(content))
    if stored > MAX_VALUE_BYTES:
        message = f"{stored} bytes as stored, over {MAX_VALUE_BYTES}"
        findings.add("", message, "remove services, routes or policies")
