"""Conversion of plain values to typed structs, with a finding for every type mismatch."""

import re
import types
import typing
from difflib import get_close_matches
from typing import Any, TypeVar

import msgspec

from godwitpass.document import PATTERN_REMEDIES
from godwitpass.internal.validation.findings import Findings, join_pointer

T = TypeVar("T", bound=msgspec.Struct)

MAX_VALUE_CHARS = 60

_ERROR_PATH = re.compile(r" - at `\$(.*)`$")
_ERROR_PATH_STEP = re.compile(r"\[(\d+)\]|\.([^.\[]+)")
_PATTERN_ERROR = re.compile(r"^Expected `str` matching regex .*$", re.DOTALL)


def convert_value(value: Any, target_type: type[T], findings: Findings) -> T | None:
    """Return `value` as a `target_type`, or None after adding a finding for each mismatch."""
    try:
        return msgspec.convert(value, target_type)
    except msgspec.ValidationError:
        _report_mismatches(value, target_type, "", findings)
        assert findings, "a value that can't be converted has at least one mismatch"
        return None


def format_value(value: Any) -> str:
    """Return an ASCII representation of `value` for a message, cut to `MAX_VALUE_CHARS`."""
    text = ascii(value)
    return text if len(text) <= MAX_VALUE_CHARS else f"{text[:MAX_VALUE_CHARS]}..."


def _report_mismatches(value: Any, target_type: Any, pointer: str, findings: Findings) -> None:
    try:
        msgspec.convert(value, target_type)
        return
    except msgspec.ValidationError as error:
        reason = str(error)
    plain_type = _strip_optional(_strip_metadata(target_type))
    item_type = _find_item_struct(plain_type)
    if _is_struct(plain_type):
        _report_struct_mismatches(value, plain_type, pointer, findings)
    elif item_type is not None:
        _report_sequence_mismatches(value, item_type, pointer, findings)
    else:
        _report_leaf_mismatch(value, target_type, reason, pointer, findings)


def _report_struct_mismatches(
    value: Any, target_type: Any, pointer: str, findings: Findings
) -> None:
    if not isinstance(value, dict):
        message = f"expected an object, got {format_value(value)}"
        findings.add(pointer, message, f"write {{...}} with the fields of {target_type.__name__}")
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(target_type)}
    for key in value:
        if findings.is_full:
            return
        if key not in fields:
            _add_unknown_field(key, list(fields), pointer, findings)
    for name, field in fields.items():
        if name in value:
            _report_mismatches(value[name], field.type, join_pointer(pointer, name), findings)
        elif field.required:
            findings.add(pointer, f"field {name!r} is missing", f"add {name!r}")


def _report_sequence_mismatches(
    value: Any, item_type: Any, pointer: str, findings: Findings
) -> None:
    if not isinstance(value, list):
        findings.add(pointer, f"expected an array, got {format_value(value)}", "write [...]")
        return
    for index, element in enumerate(value):
        if findings.is_full:
            return
        _report_mismatches(element, item_type, join_pointer(pointer, index), findings)


def _report_leaf_mismatch(
    value: Any, target_type: Any, reason: str, pointer: str, findings: Findings
) -> None:
    if path_match := _ERROR_PATH.search(reason):
        reason = reason[: path_match.start()]
        for index, key in _ERROR_PATH_STEP.findall(path_match[1]):
            pointer = join_pointer(pointer, index or key)
            value = value[int(index) if index else key]
    remedy = _find_remedy(reason, target_type)
    message = _PATTERN_ERROR.sub("Malformed value", reason)
    findings.add(pointer, f"{message}; given {format_value(value)}", remedy)


def _find_remedy(reason: str, target_type: Any) -> str:
    for pattern, remedy in PATTERN_REMEDIES.items():
        if repr(pattern)[1:-1] in reason:
            return remedy
    return f"write {describe_type(target_type)}"


def describe_type(target_type: Any) -> str:
    """Describe the values that a field of type `target_type` accepts, for a message.

    >>> from godwitpass.document import Execution
    >>> describe_type(Execution | None)
    "one of 'at-most-once', 'idempotent', 'unsafe'"
    """
    schema = msgspec.json.schema(target_type)
    schema = next(iter(schema.get("$defs", {}).values()), schema)
    for alternative in schema.get("anyOf", ()):
        if alternative.get("type") != "null":
            schema = alternative
    if "enum" in schema:
        return "one of " + ", ".join(repr(value) for value in schema["enum"])
    names = {"string": "a string", "integer": "an integer", "boolean": "true or false"}
    name = names.get(schema.get("type", ""), f"an {schema.get('type', 'object')}")
    bounds = [("minimum", "at least"), ("maximum", "at most")]
    parts = [f"{words} {schema[key]}" for key, words in bounds if key in schema]
    return " ".join([name, " and ".join(parts)]).strip()


def _add_unknown_field(key: str, known_fields: list[str], pointer: str, findings: Findings) -> None:
    close_matches = get_close_matches(key[:MAX_VALUE_CHARS], known_fields, 1)
    remedy = (
        f"did you mean {close_matches[0]!r}?"
        if close_matches
        else f"known fields: {', '.join(known_fields)}"
    )
    findings.add(join_pointer(pointer, key), f"unknown field {format_value(key)}", remedy)


def _is_struct(target_type: Any) -> bool:
    return isinstance(target_type, type) and issubclass(target_type, msgspec.Struct)


def _find_item_struct(target_type: Any) -> Any:
    arguments = typing.get_args(target_type)
    is_sequence = typing.get_origin(target_type) is tuple
    return arguments[0] if is_sequence and _is_struct(arguments[0]) else None


def _strip_metadata(target_type: Any) -> Any:
    return (
        target_type.__origin__
        if typing.get_origin(target_type) is typing.Annotated
        else target_type
    )


def _strip_optional(target_type: Any) -> Any:
    """Return the struct type of a `Struct | None`, and any other type unchanged."""
    if not isinstance(target_type, types.UnionType):
        return target_type
    structs = [
        alternative for alternative in typing.get_args(target_type) if _is_struct(alternative)
    ]
    return structs[0] if structs else target_type
