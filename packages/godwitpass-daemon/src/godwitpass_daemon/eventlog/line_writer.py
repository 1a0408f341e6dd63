"""Writes log lines to a descriptor without ever waiting for whoever reads it."""

import os
from collections import deque

MAX_HELD_BYTES = 256 * 1024
"""Lines kept for a reader that is slow; later ones are dropped and counted."""


class NonBlockingLineWriter:
    """A sink of log lines; `dropped` counts the lines that a slow reader lost."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write `line`, or keep or drop it if the reader is slow."""
        data = line.encode(errors="replace")
        self.flush()
        if self._held_bytes + len(data) > MAX_HELD_BYTES:
            self.dropped_lines += 1
            return
        self._held.append(data)
        self._held_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Write what is held as far as the reader takes it."""
        while self._held:
            data = self._held[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; a log that can't be written must not end the daemon.
                self.dropped_lines += len(self._held)
                self._held.clear()
                self._held_bytes = 0
                return
            self._held_bytes -= written
            if written < len(data):
                self._held[0] = data[written:]
            else:
                self._held.popleft()
