"""A collector of findings, bounded so that a hostile input can't fill the memory."""

from collections.abc import Callable

import msgspec

from godwitpass.errors import Finding

MAX_FINDINGS = 200


class Findings:
    """Gathers the findings of one input, up to `MAX_FINDINGS`."""

    def __init__(self) -> None:
        self._items: list[Finding] = []
        self._has_more = False

    def __bool__(self) -> bool:
        return bool(self._items)

    @property
    def is_full(self) -> bool:
        """Tell whether looking for further findings is of no use."""
        return self._has_more

    def add(self, pointer: str, message: str, remedy: str, line: int = 0) -> None:
        """Add one finding, unless there are too many."""
        assert not pointer or pointer.startswith("/")
        if len(self._items) < MAX_FINDINGS:
            self._items.append(Finding(pointer, message, remedy, line))
        else:
            self._has_more = True

    def place(self, find_line: Callable[[str], int], source: str) -> list[Finding]:
        """Return the findings in the order of the text, with their lines and `source`."""
        placed = [
            msgspec.structs.replace(item, line=item.line or find_line(item.pointer), source=source)
            for item in self._items
        ]
        placed.sort(key=lambda item: item.line)
        if self._has_more:
            message = f"more than {MAX_FINDINGS} findings; the rest is left out"
            placed.append(Finding("", message, "mend those above first", source=source))
        return placed


def get_unknown_line(pointer: str) -> int:
    """Return 0, the line of a value whose place is not known."""
    return 0


def join_pointer(pointer: str, key: str | int) -> str:
    """Return the JSON pointer of the member `key` of the value at `pointer`.

    >>> join_pointer("/routes", "a/b")
    '/routes/a~1b'
    """
    return f"{pointer}/{str(key).replace('~', '~0').replace('/', '~1')}"
