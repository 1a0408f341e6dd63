"""Request bodies on their way through: bounded, and held for another attempt while short."""

from collections.abc import Callable

from godwitpass_daemon.edge.limits import BODY_BUFFER_BYTES


class RequestBody:
    """Chunks between the caller's connection and the attempts that send them.

    Up to `BODY_BUFFER_BYTES` are kept so that another attempt can send them again; of a longer
    body, what was sent is dropped.
    """

    __slots__ = ("_chunks", "_dropped", "broken", "complete", "held", "on_change", "total")

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._dropped = 0
        self.total = 0
        self.held = 0
        self.complete = False
        self.broken = False
        self.on_change: Callable[[], None] | None = None

    @property
    def is_full(self) -> bool:
        """Whether the caller must wait before it sends more."""
        return self.held >= BODY_BUFFER_BYTES

    @property
    def is_replayable(self) -> bool:
        """Whether everything that came so far is still held."""
        return self._dropped == 0

    def push(self, chunk: bytes) -> None:
        """Add a chunk from the caller."""
        self._chunks.append(chunk)
        self.total += len(chunk)
        self.held += len(chunk)
        self._notify()

    def finish(self) -> None:
        """Mark the body as whole."""
        self.complete = True
        self._notify()

    def break_off(self) -> None:
        """Mark the body as one that will never be whole."""
        self.broken = True
        self._notify()

    def take(self, position: int) -> tuple[list[bytes], int]:
        """Return the chunks from `position` on and the position after them."""
        assert position >= self._dropped, "dropped chunks can't be sent again"
        chunks = self._chunks[position - self._dropped :]
        end = self._dropped + len(self._chunks)
        if self.total > BODY_BUFFER_BYTES:
            self._drop_all()
        return chunks, end

    def peek(self) -> bytes:
        """Return what is held, for fingerprints."""
        return b"".join(self._chunks)

    def _drop_all(self) -> None:
        self._dropped += len(self._chunks)
        self._chunks.clear()
        self.held = 0

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()
