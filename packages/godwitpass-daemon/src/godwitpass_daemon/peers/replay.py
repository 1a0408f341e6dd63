"""A bounded memory of frames already received."""

from godwitpass_daemon.peers.frames import US_PER_SECOND, Frame, Refusal

WINDOW_S = 30
"""How far a sender's clock and the network's delay together may be off."""

MAX_TAGS = 32_768
"""Tags kept of one window; the frames beyond it are refused rather than taken unchecked."""


class ReplayGuard:
    """Admits each frame once.

    Tags are kept in two generations of twice `WINDOW_S` each, so one is forgotten only after its
    frame has become too old to be admitted.
    """

    def __init__(self) -> None:
        self._recent: set[bytes] = set()
        self._earlier: set[bytes] = set()
        self._rotated_us = 0

    def admit(self, frame: Frame, now_us: int) -> Refusal | None:
        """Return why `frame` must be dropped, or None when it is new."""
        if abs(now_us - frame.sent_us) > WINDOW_S * US_PER_SECOND:
            return Refusal.STALE
        self._rotate(now_us)
        if frame.tag in self._recent or frame.tag in self._earlier:
            return Refusal.REPLAYED
        if len(self._recent) >= MAX_TAGS:
            return Refusal.OVERLOAD
        self._recent.add(frame.tag)
        return None

    def _rotate(self, now_us: int) -> None:
        if now_us - self._rotated_us < 2 * WINDOW_S * US_PER_SECOND:
            return
        self._earlier, self._recent = self._recent, set()
        self._rotated_us = now_us
