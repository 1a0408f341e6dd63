"""Bounded buffers of request bodies; a short body is kept for retries."""

from collections.abc import Callable

from godwitpass_daemon.edge.limits import BODY_BUFFER_BYTES


class RequestBody:
    """Buffer of a body between the caller's connection and the attempts that send it.

    A body of up to `BODY_BUFFER_BYTES` is kept whole so that another attempt can send it again.
    The bytes of a longer body are dropped once sent. `received_bytes` includes the dropped ones.
    """

    __slots__ = (
        "_buffer",
        "_dropped_bytes",
        "_is_announced",
        "is_aborted",
        "is_complete",
        "on_change",
        "received_bytes",
    )

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._dropped_bytes = 0
        self._is_announced = True
        self.received_bytes = 0
        self.is_complete = False
        self.is_aborted = False
        self.on_change: Callable[[], None] | None = None

    @property
    def buffered_bytes(self) -> int:
        """Size of what is buffered."""
        return len(self._buffer)

    @property
    def is_full(self) -> bool:
        """Whether the buffer is full, so that the caller must stop sending.

        The buffer of a body that may still be kept whole is not full.
        """
        return len(self._buffer) > BODY_BUFFER_BYTES

    @property
    def is_replayable(self) -> bool:
        """Whether everything received so far is still buffered."""
        return self._dropped_bytes == 0

    def push(self, chunk: bytes) -> None:
        """Append bytes received from the caller; `announce` tells of them."""
        self._buffer += chunk
        self.received_bytes += len(chunk)
        self._is_announced = False

    def announce(self) -> None:
        """Notify of the bytes that were appended since the last notification."""
        if not self._is_announced:
            self._notify()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self._notify()

    def abort(self) -> None:
        """Mark the body as one that will never be complete."""
        self.is_aborted = True
        self._notify()

    def take(self, position: int) -> tuple[bytes, int]:
        """Return the bytes from `position` on, and the position after them.

        The bytes of a body that is too long to be kept are dropped.
        """
        assert (
            position >= self._dropped_bytes
        ), "the bytes at this position were dropped after they were sent"
        chunk = bytes(memoryview(self._buffer)[position - self._dropped_bytes :])
        end = self._dropped_bytes + len(self._buffer)
        if self.received_bytes > BODY_BUFFER_BYTES:
            self._dropped_bytes = end
            self._buffer = bytearray()
        return chunk, end

    def read_buffered(self) -> bytes:
        """Return the buffered part of the body, for fingerprints."""
        return bytes(self._buffer)

    def _notify(self) -> None:
        self._is_announced = True
        if self.on_change is not None:
            self.on_change()
