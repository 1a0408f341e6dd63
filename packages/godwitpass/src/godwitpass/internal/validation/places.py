"""Line numbers of the values in a JSON text.

The standard library's decoder is run with its Python scanner, whose object and array readers
ask for each member in turn; noting where they ask gives the place of every value.
"""

import json
import json.decoder
import json.scanner
from bisect import bisect_right
from typing import Any

from godwitpass.internal.validation.findings import join_pointer

_scan_object: Any = vars(json.decoder)["JSONObject"]
_scan_array: Any = vars(json.decoder)["JSONArray"]
_make_scanner: Any = vars(json.scanner)["py_make_scanner"]


class Places:
    """Finds the line of each value, and repeated keys, in a well-formed text."""

    def __init__(self, plain: str) -> None:
        self._line_starts = [0]
        self._line_starts += [at + 1 for at, char in enumerate(plain) if char == "\n"]
        self.lines: dict[str, int] = {"": 1}
        self.duplicates: list[tuple[str, int]] = []
        decoder = _TracingDecoder()
        root = decoder.decode(plain)
        self._walk(root, "", decoder.members)

    def _walk(self, value: Any, pointer: str, members: "dict[int, _Members]") -> None:
        for key, child, offset in members.get(id(value), ()):
            place = join_pointer(pointer, key)
            line = bisect_right(self._line_starts, offset)
            if place in self.lines:
                self.duplicates.append((place, line))
            self.lines[place] = line
            self._walk(child, place, members)


_Members = list[tuple[str | int, Any, int]]


class _TracingDecoder(json.JSONDecoder):
    """Notes key, value and offset of each member of each object and array."""

    def __init__(self) -> None:
        super().__init__(object_pairs_hook=_Pairs)
        self.members: dict[int, _Members] = {}
        self.parse_object: Any = self._trace_object
        self.parse_array: Any = self._trace_array
        self.scan_once: Any = _make_scanner(self)

    def _trace_object(self, start: Any, strict: Any, scan: Any, *rest: Any) -> Any:
        offsets: list[int] = []
        pairs, end = _scan_object(start, strict, _note_offsets(scan, offsets), *rest)
        entries = zip(pairs, offsets, strict=True)
        self.members[id(pairs)] = [(key, value, offset) for (key, value), offset in entries]
        return pairs, end

    def _trace_array(self, start: Any, scan: Any) -> Any:
        offsets: list[int] = []
        values, end = _scan_array(start, _note_offsets(scan, offsets))
        entries = enumerate(zip(values, offsets, strict=True))
        self.members[id(values)] = [(index, value, offset) for index, (value, offset) in entries]
        return values, end


class _Pairs(list[Any]):
    """Key and value pairs of one object, repeated keys included."""


def _note_offsets(scan: Any, offsets: list[int]) -> Any:
    def scan_noting(text: str, at: int) -> Any:
        offsets.append(at)
        return scan(text, at)

    return scan_noting
