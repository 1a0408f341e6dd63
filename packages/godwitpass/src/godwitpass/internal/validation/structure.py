"""Conversion of plain values to message types, with a finding for every misfit."""

import re
import types
import typing
from difflib import get_close_matches
from typing import Any, TypeVar

import msgspec

from godwitpass.document import PATTERN_REMEDIES
from godwitpass.internal.validation.findings import Findings, join_pointer

T = TypeVar("T", bound=msgspec.Struct)

MAX_SHOWN_CHARS = 60

_PATH = re.compile(r" - at `\$(.*)`$")
_STEP = re.compile(r"\[(\d+)\]|\.([^.\[]+)")
_EXPECTED_PATTERN = re.compile(r"^Expected `str` matching regex .*$", re.DOTALL)


def convert_value(value: Any, kind: type[T], findings: Findings) -> T | None:
    """Return `value` as a `kind`, or None with a finding for each part that does not fit."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError:
        _explain_misfits(value, kind, "", findings)
        assert findings, "a value that does not fit has a part that does not fit"
        return None


def format_value(value: Any) -> str:
    """Return `value` as short text for a message."""
    shown = ascii(value)
    return shown if len(shown) <= MAX_SHOWN_CHARS else f"{shown[:MAX_SHOWN_CHARS]}..."


def _explain_misfits(value: Any, kind: Any, pointer: str, findings: Findings) -> None:
    try:
        msgspec.convert(value, kind)
        return
    except msgspec.ValidationError as error:
        reason = str(error)
    bare = _strip_optional(_strip_metadata(kind))
    item = _find_item_struct(bare)
    if _is_struct(bare):
        _explain_struct(value, bare, pointer, findings)
    elif item is not None:
        _explain_sequence(value, item, pointer, findings)
    else:
        _explain_leaf(value, kind, reason, pointer, findings)


def _explain_struct(value: Any, kind: Any, pointer: str, findings: Findings) -> None:
    if not isinstance(value, dict):
        message = f"expected an object, got {format_value(value)}"
        findings.add(pointer, message, f"write {{...}} with the fields of {kind.__name__}")
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for key in value:
        if findings.is_full:
            return
        if key not in fields:
            _add_unknown_field(key, list(fields), pointer, findings)
    for name, field in fields.items():
        if name in value:
            _explain_misfits(value[name], field.type, join_pointer(pointer, name), findings)
        elif field.required:
            findings.add(pointer, f"field {name!r} is missing", f"add {name!r}")


def _explain_sequence(value: Any, item: Any, pointer: str, findings: Findings) -> None:
    if not isinstance(value, list):
        findings.add(pointer, f"expected an array, got {format_value(value)}", "write [...]")
        return
    for index, member in enumerate(value):
        if findings.is_full:
            return
        _explain_misfits(member, item, join_pointer(pointer, index), findings)


def _explain_leaf(value: Any, kind: Any, reason: str, pointer: str, findings: Findings) -> None:
    if found := _PATH.search(reason):
        reason = reason[: found.start()]
        for index, key in _STEP.findall(found[1]):
            pointer = join_pointer(pointer, index or key)
            value = value[int(index) if index else key]
    remedy = _find_remedy(reason, kind)
    message = _EXPECTED_PATTERN.sub("Malformed value", reason)
    findings.add(pointer, f"{message}; given {format_value(value)}", remedy)


def _find_remedy(reason: str, kind: Any) -> str:
    for pattern, remedy in PATTERN_REMEDIES.items():
        if repr(pattern)[1:-1] in reason:
            return remedy
    return f"write {describe_type(kind)}"


def describe_type(kind: Any) -> str:
    """Return the values that a field of type `kind` takes, for a person.

    >>> from godwitpass.document import Execution
    >>> describe_type(Execution | None)
    "one of 'at-most-once', 'idempotent', 'unsafe'"
    """
    schema = msgspec.json.schema(kind)
    schema = next(iter(schema.get("$defs", {}).values()), schema)
    for choice in schema.get("anyOf", ()):
        if choice.get("type") != "null":
            schema = choice
    if "enum" in schema:
        return "one of " + ", ".join(repr(value) for value in schema["enum"])
    names = {"string": "a string", "integer": "an integer", "boolean": "true or false"}
    name = names.get(schema.get("type", ""), f"an {schema.get('type', 'object')}")
    bounds = [("minimum", "at least"), ("maximum", "at most")]
    parts = [f"{words} {schema[key]}" for key, words in bounds if key in schema]
    return " ".join([name, " and ".join(parts)]).strip()


def _add_unknown_field(key: str, known: list[str], pointer: str, findings: Findings) -> None:
    close = get_close_matches(key[:MAX_SHOWN_CHARS], known, 1)
    remedy = f"did you mean {close[0]!r}?" if close else f"known fields: {', '.join(known)}"
    findings.add(join_pointer(pointer, key), f"unknown field {format_value(key)}", remedy)


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _find_item_struct(kind: Any) -> Any:
    arguments = typing.get_args(kind)
    is_sequence = typing.get_origin(kind) is tuple
    return arguments[0] if is_sequence and _is_struct(arguments[0]) else None


def _strip_metadata(kind: Any) -> Any:
    return kind.__origin__ if typing.get_origin(kind) is typing.Annotated else kind


def _strip_optional(kind: Any) -> Any:
    """Return the struct of a `Struct | None`."""
    if not isinstance(kind, types.UnionType):
        return kind
    structs = [choice for choice in typing.get_args(kind) if _is_struct(choice)]
    return structs[0] if structs else kind
