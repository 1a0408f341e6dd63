"""Writes log lines to a file descriptor without blocking on a slow reader."""

import os
from collections import deque

MAX_PENDING_BYTES = 256 * 1024
"""Size of the lines buffered for a slow reader; further lines are dropped and counted."""


class NonBlockingLineWriter:
    """Buffers log lines and writes them to a non-blocking file descriptor.

    `dropped_lines` counts the lines that were dropped because the reader was slow or gone.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending_lines: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write `line`; buffer it if the reader is slow, and drop it if the buffer is full."""
        data = line.encode(errors="replace")
        self.flush()
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return
        self._pending_lines.append(data)
        self._pending_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Write as many of the buffered lines as the descriptor accepts now."""
        while self._pending_lines:
            data = self._pending_lines[0]
            try:
                written_bytes = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone. A log that can't be written must not stop the daemon.
                self.dropped_lines += len(self._pending_lines)
                self._pending_lines.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written_bytes
            if written_bytes < len(data):
                self._pending_lines[0] = data[written_bytes:]
            else:
                self._pending_lines.popleft()
