"""Bounded buffers of request bodies; a short body is kept for retries."""

from collections.abc import Callable

from godwitpass_daemon.edge.limits import BODY_BUFFER_BYTES


class RequestBody:
    """Buffer of body chunks between the caller's connection and the attempts that send them.

    A body of up to `BODY_BUFFER_BYTES` is kept whole so that another attempt can send it again.
    Chunks of a longer body are dropped once sent. `received_bytes` includes the dropped ones.
    """

    __slots__ = (
        "_chunks",
        "_dropped_chunk_count",
        "buffered_bytes",
        "is_aborted",
        "is_complete",
        "on_change",
        "received_bytes",
    )

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._dropped_chunk_count = 0
        self.received_bytes = 0
        self.buffered_bytes = 0
        self.is_complete = False
        self.is_aborted = False
        self.on_change: Callable[[], None] | None = None

    @property
    def is_full(self) -> bool:
        """Whether the buffer is full, so that the caller must stop sending."""
        return self.buffered_bytes >= BODY_BUFFER_BYTES

    @property
    def is_replayable(self) -> bool:
        """Whether everything received so far is still buffered."""
        return self._dropped_chunk_count == 0

    def push(self, chunk: bytes) -> None:
        """Append a chunk received from the caller."""
        self._chunks.append(chunk)
        self.received_bytes += len(chunk)
        self.buffered_bytes += len(chunk)
        self._notify()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self._notify()

    def abort(self) -> None:
        """Mark the body as one that will never be complete."""
        self.is_aborted = True
        self._notify()

    def take(self, position: int) -> tuple[list[bytes], int]:
        """Return the chunks from index `position` on, and the index after them.

        The chunks of a body that is too long to be kept are dropped.
        """
        assert (
            position >= self._dropped_chunk_count
        ), "the chunks at this position were dropped after they were sent"
        chunks = self._chunks[position - self._dropped_chunk_count :]
        end = self._dropped_chunk_count + len(self._chunks)
        if self.received_bytes > BODY_BUFFER_BYTES:
            self._drop_chunks()
        return chunks, end

    def read_buffered(self) -> bytes:
        """Return the buffered part of the body, for fingerprints."""
        return b"".join(self._chunks)

    def _drop_chunks(self) -> None:
        self._dropped_chunk_count += len(self._chunks)
        self._chunks.clear()
        self.buffered_bytes = 0

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()
