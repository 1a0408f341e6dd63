"""Tables of the fields of message types."""

import enum
import typing
from collections.abc import Iterator
from typing import Any

import msgspec

from godwitpass.internal.validation.structure import describe_type


def render_type(root: type[msgspec.Struct]) -> str:
    """Return a section for `root` and one for each type that its fields refer to."""
    return "\n".join(_render_section(kind) for kind in _list_types(root))


def _render_section(kind: type[msgspec.Struct]) -> str:
    rows = ["| Field | Value | Default | Meaning |", "| --- | --- | --- | --- |"]
    for field in msgspec.structs.fields(kind):
        bare, description = _split_metadata(field.type)
        cells = (f"`{field.encode_name}`", _describe(field.type, bare), _show_default(field))
        rows.append(f"| {' | '.join(cells)} | {description} |")
    return "\n".join([f"## {kind.__name__}", "", str(kind.__doc__), "", *rows, ""])


def _list_types(root: type[msgspec.Struct]) -> list[type[msgspec.Struct]]:
    found = [root]
    for kind in found:
        for field in msgspec.structs.fields(kind):
            found += [struct for struct in _find_structs(field.type) if struct not in found]
    return found


def _find_structs(kind: Any) -> Iterator[type[msgspec.Struct]]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield kind
    for part in typing.get_args(kind):
        if isinstance(part, type) or typing.get_args(part):
            yield from _find_structs(part)


def _split_metadata(kind: Any) -> tuple[Any, str]:
    if typing.get_origin(kind) is not typing.Annotated:
        return kind, ""
    metadata = kind.__metadata__
    descriptions = [item.description for item in metadata if isinstance(item, msgspec.Meta)]
    return kind.__origin__, next((text for text in descriptions if text), "")


def _describe(kind: Any, bare: Any) -> str:
    structs = list(_find_structs(bare))
    is_sequence = typing.get_origin(bare) is tuple
    if structs:
        name = structs[0].__name__
        link = f"[{name}](#{name.lower()})"
        return f"array of {link}" if is_sequence else link
    if is_sequence:
        return f"array of {_describe_items(typing.get_args(bare)[0])}"
    return describe_type(kind).replace("'", "`")


def _describe_items(kind: Any) -> str:
    return describe_type(kind).removeprefix("a ") + "s"


def _show_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    default = field.default
    if default is None or isinstance(default, msgspec.Struct):
        return "unset"
    value = default.value if isinstance(default, enum.Enum) else default
    return f"`{msgspec.json.encode(value).decode()}`"
