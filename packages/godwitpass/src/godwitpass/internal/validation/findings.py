"""A collector of findings, bounded so that a hostile input can't fill the memory."""

import msgspec

from godwitpass.errors import Finding

MAX_FINDINGS = 200


class Findings:
    """Gathers findings of one input; those past `MAX_FINDINGS` are only counted."""

    def __init__(self) -> None:
        self._items: list[Finding] = []
        self._omitted = 0

    def __bool__(self) -> bool:
        return bool(self._items)

    def __len__(self) -> int:
        return len(self._items) + self._omitted

    def add(self, pointer: str, message: str, remedy: str, line: int = 0) -> None:
        """Add one finding."""
        assert not pointer or pointer.startswith("/")
        if len(self._items) < MAX_FINDINGS:
            self._items.append(Finding(pointer, message, remedy, line))
        else:
            self._omitted += 1

    def place(self, lines: dict[str, int], source: str) -> list[Finding]:
        """Return the findings in the order of the text, with their lines and `source`."""
        placed = [
            msgspec.structs.replace(
                item, line=item.line or lines.get(item.pointer, 0), source=source
            )
            for item in self._items
        ]
        placed.sort(key=lambda item: item.line)
        if self._omitted:
            message = f"{self._omitted} further findings"
            placed.append(Finding("", message, "mend those above first", source=source))
        return placed

    def list_pointers(self) -> list[str]:
        """Return the pointers of all findings that have no line yet."""
        return [item.pointer for item in self._items if not item.line]


def join_pointer(pointer: str, key: str | int) -> str:
    """Return the JSON pointer of the member `key` of the value at `pointer`.

    >>> join_pointer("/routes", "a/b")
    '/routes/a~1b'
    """
    return f"{pointer}/{str(key).replace('~', '~0').replace('/', '~1')}"
