"""A collection of findings, limited so that a malicious input can't exhaust the memory."""

from collections.abc import Callable

import msgspec

from godwitpass.errors import Finding

MAX_FINDINGS = 200


class Findings:
    """Collects the findings of one input, up to `MAX_FINDINGS`."""

    def __init__(self) -> None:
        self._items: list[Finding] = []
        self._is_truncated = False

    def __bool__(self) -> bool:
        return bool(self._items)

    @property
    def is_full(self) -> bool:
        """Return whether findings are discarded, so that looking for more is pointless."""
        return self._is_truncated

    def add(self, pointer: str, message: str, remedy: str, line: int = 0) -> None:
        """Add a finding, or discard it if there are `MAX_FINDINGS` already."""
        assert not pointer or pointer.startswith("/")
        if len(self._items) < MAX_FINDINGS:
            self._items.append(Finding(pointer, message, remedy, line))
        else:
            self._is_truncated = True

    def locate(self, find_line: Callable[[str], int], source: str) -> list[Finding]:
        """Return the findings sorted by line, with their lines and `source` filled in."""
        located = [
            msgspec.structs.replace(item, line=item.line or find_line(item.pointer), source=source)
            for item in self._items
        ]
        located.sort(key=lambda item: item.line)
        if self._is_truncated:
            message = f"more than {MAX_FINDINGS} findings; the rest is omitted"
            located.append(Finding("", message, "correct those above first", source=source))
        return located


def get_unknown_line(pointer: str) -> int:
    """Return 0, which stands for an unknown line, for every `pointer`."""
    return 0


def join_pointer(pointer: str, key: str | int) -> str:
    """Return the JSON pointer of member `key` of the value at `pointer`, escaping `key`.

    >>> join_pointer("/routes", "a/b")
    '/routes/a~1b'
    """
    return f"{pointer}/{str(key).replace('~', '~0').replace('/', '~1')}"
