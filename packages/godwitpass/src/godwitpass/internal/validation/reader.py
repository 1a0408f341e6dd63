"""Parsing and validation of inputs, from JSON text to a typed value or all findings."""

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
    decode_text,
    decode_without_findings,
    parse_text,
)
from godwitpass.store import MAX_VALUE_BYTES

T = TypeVar("T", bound=msgspec.Struct)

MAX_CANONICAL_BYTES = 2 * 1024 * 1024

Check = Callable[[Any, Any, Findings], None]
"""Validates what types can't express: (plain value, converted value or None, findings)."""


def read_struct(
    content: bytes | str, source: str, target_type: type[T], check: Check
) -> tuple[T | None, list[Finding]]:
    """Parse a `target_type` from JSON with comments; return None and all findings if invalid."""
    findings = Findings()
    text = decode_text(content, findings)
    if text is None:
        return None, findings.locate(get_unknown_line, source)
    parsed = parse_text(text, findings)
    if parsed is None:
        return None, findings.locate(get_unknown_line, source)
    converted = convert_value(parsed.value, target_type, findings)
    check(parsed.value, converted, findings)
    if not findings and not parsed.has_duplicate_keys:
        return converted, []
    line_locator = LineLocator(parsed.json_text)
    if parsed.has_duplicate_keys:
        _add_duplicate_keys(line_locator, findings)
    return None, findings.locate(line_locator.find_line, source)


def _add_duplicate_keys(line_locator: LineLocator, findings: Findings) -> None:
    for pointer, line in line_locator.find_duplicate_keys():
        findings.add(pointer, "duplicate key in this object", "remove one of the two", line)
        if findings.is_full:
            return


def read_checked_document(content: bytes | str, source: str) -> Document:
    """Return the document in `content`; raises `InvalidDocument` with all findings."""
    document = _read_without_findings(content)
    if document is not None:
        return document
    document, findings = read_struct(content, source, Document, _check_document)
    if document is None:
        raise InvalidDocument(findings)
    return document


def _read_without_findings(content: bytes | str) -> Document | None:
    """Return the document if it is valid, else None.

    A valid document is decoded without building plain values, which would take most of the memory.
    """
    findings = Findings()
    text = decode_text(content, findings)
    document = decode_without_findings(text, Document) if text is not None else None
    if document is None:
        return None
    check_entries(locate_entries(document), findings)
    if not findings:
        _check_size(document, findings)
    return None if findings else document


def _check_document(value: Any, document: Document | None, findings: Findings) -> None:
    if isinstance(value, dict) and not findings.is_full:
        check_entries(collect_entries(value), findings)
    if document is not None and not findings:
        _check_size(document, findings)


def _check_size(document: Document, findings: Findings) -> None:
    try:
        content = encode_canonical(document)
    except UnicodeEncodeError:
        findings.add("", "unpaired surrogate escape", "remove escapes from \\ud800 to \\udfff")
        return
    if len(content) > MAX_CANONICAL_BYTES:
        message = f"{len(content)} bytes in canonical form, over the limit of {MAX_CANONICAL_BYTES}"
        findings.add("", message, "remove services, routes or policies")
        return
    if len(content) <= MAX_VALUE_BYTES:
        # Compression needs much memory, and makes no content of this size exceed the limit.
        return
    stored_bytes = len(compress(content))
    if stored_bytes > MAX_VALUE_BYTES:
        message = f"{stored_bytes} bytes after compression, over the limit of {MAX_VALUE_BYTES}"
        findings.add("", message, "remove services, routes or policies")
