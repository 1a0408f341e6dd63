"""The record of one run: what was sent, answered and run, and when."""

import time
from pathlib import Path
from types import TracebackType
from typing import Self


class Record:
    """Writes lines with their time since the start to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._file.close()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()
