"""Line numbers of values in a well-formed JSON text.

The object and array readers of the standard library's decoder ask a scanner for each member in
turn. Here the scanner notes where it was asked and drops what it read, so that one level of the
text at a time is in memory.
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
    """One member of an object or array, and the offset of its value."""

    key: str | int
    offset: int


class LineLocator:
    """Finds the line of each value, and repeated keys."""

    def __init__(self, plain: str) -> None:
        self._text = plain
        self._line_starts = [0]
        self._line_starts += [at + 1 for at, char in enumerate(plain) if char == "\n"]
        decoder: Any = json.JSONDecoder()
        self._scan = decoder.scan_once
        self._members: dict[str, dict[str, int]] = {}
        self._root = len(plain) - len(plain.lstrip())

    def find_line(self, pointer: str) -> int:
        """Return the line of the value at `pointer`, 0 when there is none."""
        offset = self._root
        parent = ""
        for step in pointer.split("/")[1:]:
            place = f"{parent}/{step}"
            found = self._list_offsets(parent, offset).get(place)
            if found is None:
                return 0
            parent, offset = place, found
        return self._to_line(offset)

    def find_duplicate_keys(self) -> Iterator[tuple[str, int]]:
        """Yield pointer and line of each key that its object has already."""
        pending = [("", self._root)]
        while pending:
            pointer, offset = pending.pop()
            seen: set[str | int] = set()
            for member in self._read_members(offset):
                place = join_pointer(pointer, member.key)
                if member.key in seen:
                    yield place, self._to_line(member.offset)
                seen.add(member.key)
                if self._text[member.offset] in "{[":
                    pending.append((place, member.offset))

    def _list_offsets(self, pointer: str, offset: int) -> dict[str, int]:
        if pointer not in self._members:
            members = self._read_members(offset)
            self._members[pointer] = {
                join_pointer(pointer, member.key): member.offset for member in members
            }
        return self._members[pointer]

    def _read_members(self, offset: int) -> list[MemberOffset]:
        offsets: list[int] = []

        def scan_noting(text: str, at: int) -> tuple[None, int]:
            offsets.append(at)
            _, end = self._scan(text, at)
            return None, end

        start = (self._text, offset + 1)
        if self._text[offset] == "{":
            pairs, _ = _scan_object(start, True, scan_noting, None, list, {})
            return [MemberOffset(key, at) for (key, _), at in zip(pairs, offsets, strict=True)]
        if self._text[offset] == "[":
            _scan_array(start, scan_noting)
            return [MemberOffset(index, at) for index, at in enumerate(offsets)]
        return []

    def _to_line(self, offset: int) -> int:
        return bisect_right(self._line_starts, offset)
