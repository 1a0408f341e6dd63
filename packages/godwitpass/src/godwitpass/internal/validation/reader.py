"""Reading of checked inputs: text to value to typed message, with all findings."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from godwitpass.document import Document
from godwitpass.errors import Finding, InvalidDocument
from godwitpass.internal.codec import compress, encode_canonical
from godwitpass.internal.validation.findings import Findings
from godwitpass.internal.validation.places import Places
from godwitpass.internal.validation.rules import check_document
from godwitpass.internal.validation.structure import convert_value
from godwitpass.internal.validation.text import (
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
        return None, findings.place({}, source)
    parsed = parse_text(text, findings)
    if parsed is None:
        return None, findings.place({}, source)
    converted = convert_value(parsed.value, kind, findings)
    check(parsed.value, converted, findings)
    if not findings and not parsed.has_duplicate_keys:
        return converted, []
    # Places cost more than all checks together, so only a refused input pays for them.
    places = Places(parsed.plain)
    for pointer, line in places.duplicates:
        findings.add(pointer, "the key stands twice in its object", "remove one of the two", line)
    return None, findings.place(places.lines, source)


def read_checked_document(content: bytes | str, source: str) -> Document:
    """Return the document in `content`; raises `InvalidDocument` with all findings."""
    document, findings = read_struct(content, source, Document, _check)
    if document is None:
        raise InvalidDocument(findings)
    return document


def _check(value: Any, document: Document | None, findings: Findings) -> None:
    if isinstance(value, dict):
        check_document(value, findings)
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
    stored = len(compress(content))
    if stored > MAX_VALUE_BYTES:
        message = f"{stored} bytes as stored, over {MAX_VALUE_BYTES}"
        findings.add("", message, "remove services, routes or policies")
