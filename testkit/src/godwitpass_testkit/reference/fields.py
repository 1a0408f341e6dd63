"""Renders tables of the fields of message types."""

import enum
import typing
from collections.abc import Iterator
from typing import Any

import msgspec

from godwitpass.internal.validation.structure import describe_type


def render_type(root: type[msgspec.Struct]) -> str:
    """Return a section for `root` and one for each type that its fields refer to."""
    return "\n".join(_render_section(field_type) for field_type in _list_types(root))


def _render_section(field_type: type[msgspec.Struct]) -> str:
    rows = ["| Field | Value | Default | Meaning |", "| --- | --- | --- | --- |"]
    for field in msgspec.structs.fields(field_type):
        unannotated, description = _split_annotation(field.type)
        cells = (
            f"`{field.encode_name}`",
            _describe_value(field.type, unannotated),
            _render_default(field),
        )
        rows.append(f"| {' | '.join(cells)} | {description} |")
    return "\n".join([f"## {field_type.__name__}", "", str(field_type.__doc__), "", *rows, ""])


def _list_types(root: type[msgspec.Struct]) -> list[type[msgspec.Struct]]:
    structs = [root]
    for field_type in structs:
        for field in msgspec.structs.fields(field_type):
            structs += [struct for struct in _find_structs(field.type) if struct not in structs]
    return structs


def _find_structs(field_type: Any) -> Iterator[type[msgspec.Struct]]:
    if isinstance(field_type, type) and issubclass(field_type, msgspec.Struct):
        yield field_type
    for argument in typing.get_args(field_type):
        if isinstance(argument, type) or typing.get_args(argument):
            yield from _find_structs(argument)


def _split_annotation(field_type: Any) -> tuple[Any, str]:
    if typing.get_origin(field_type) is not typing.Annotated:
        return field_type, ""
    metadata = field_type.__metadata__
    descriptions = [item.description for item in metadata if isinstance(item, msgspec.Meta)]
    return field_type.__origin__, next(
        (description for description in descriptions if description), ""
    )


def _describe_value(field_type: Any, unannotated: Any) -> str:
    structs = list(_find_structs(unannotated))
    is_sequence = typing.get_origin(unannotated) is tuple
    if structs:
        name = structs[0].__name__
        link = f"[{name}](#{name.lower()})"
        return f"array of {link}" if is_sequence else link
    if is_sequence:
        return f"array of {_describe_items(typing.get_args(unannotated)[0])}"
    return describe_type(field_type).replace("'", "`")


def _describe_items(field_type: Any) -> str:
    return describe_type(field_type).removeprefix("a ") + "s"


def _render_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    default = field.default
    if default is None or isinstance(default, msgspec.Struct):
        return "unset"
    value = default.value if isinstance(default, enum.Enum) else default
    return f"`{msgspec.json.encode(value).decode()}`"
