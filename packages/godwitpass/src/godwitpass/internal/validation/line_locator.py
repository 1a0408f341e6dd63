"""Line numbers of values in a well-formed JSON text.

The object and array parsers of the standard library's decoder call a scanner for each member.
Here the scanner records the offset at which it is called and discards the value, so that only one
nesting level of the text is in memory at a time.
"""

import json
import json.decoder
from bisect import bisect_right
from collections.abc import Iterator
from typing import Any

import msgspec

from godwitpass.internal.validation.findings import join_pointer

_scan_object: Any = vars(json.decoder)["JSONObject"]
_scan_array: Any = vars(json.decoder)["JSONArray"]


class MemberOffset(msgspec.Struct, frozen=True):
    """Key of a member of an object or array, and the offset of its value in the text."""

    key: str | int
    offset: int


class LineLocator:
    """Finds the lines of values, and duplicate keys."""

    def __init__(self, json_text: str) -> None:
        self._text = json_text
        self._line_starts = [0]
        self._line_starts += [
            offset + 1 for offset, character in enumerate(json_text) if character == "\n"
        ]
        decoder: Any = json.JSONDecoder()
        self._scan_value = decoder.scan_once
        self._offsets_by_parent: dict[str, dict[str, int]] = {}
        self._root_offset = len(json_text) - len(json_text.lstrip())

    def find_line(self, pointer: str) -> int:
        """Return the line of the value at `pointer`, or 0 if there is no such value."""
        offset = self._root_offset
        parent = ""
        for segment in pointer.split("/")[1:]:
            child_pointer = f"{parent}/{segment}"
            child_offset = self._list_offsets(parent, offset).get(child_pointer)
            if child_offset is None:
                return 0
            parent, offset = child_pointer, child_offset
        return self._find_line_of_offset(offset)

    def find_duplicate_keys(self) -> Iterator[tuple[str, int]]:
        """Yield the pointer and line of each key that repeats an earlier one of its object."""
        pending = [("", self._root_offset)]
        while pending:
            pointer, offset = pending.pop()
            seen: set[str | int] = set()
            for member in self._read_members(offset):
                child_pointer = join_pointer(pointer, member.key)
                if member.key in seen:
                    yield child_pointer, self._find_line_of_offset(member.offset)
                seen.add(member.key)
                if self._text[member.offset] in "{[":
                    pending.append((child_pointer, member.offset))

    def _list_offsets(self, pointer: str, offset: int) -> dict[str, int]:
        if pointer not in self._offsets_by_parent:
            members = self._read_members(offset)
            self._offsets_by_parent[pointer] = {
                join_pointer(pointer, member.key): member.offset for member in members
            }
        return self._offsets_by_parent[pointer]

    def _read_members(self, offset: int) -> list[MemberOffset]:
        offsets: list[int] = []

        def record_offset(text: str, value_offset: int) -> tuple[None, int]:
            offsets.append(value_offset)
            _, end = self._scan_value(text, value_offset)
            return None, end

        start = (self._text, offset + 1)
        if self._text[offset] == "{":
            pairs, _ = _scan_object(start, True, record_offset, None, list, {})
            return [
                MemberOffset(key, found) for (key, _), found in zip(pairs, offsets, strict=True)
            ]
        if self._text[offset] == "[":
            _scan_array(start, record_offset)
            return [MemberOffset(index, found) for index, found in enumerate(offsets)]
        return []

    def _find_line_of_offset(self, offset: int) -> int:
        return bisect_right(self._line_starts, offset)
