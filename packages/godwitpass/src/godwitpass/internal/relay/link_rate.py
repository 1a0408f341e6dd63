"""Measurement of the rate at which a link carries bodies, while other traffic shares it."""

RATE_SAMPLE_S = 0.2
"""Duration of one measurement of a busy link's rate."""

RATE_WEIGHT = 0.3
"""Weight of the newest measurement in the moving average of the rate."""

MIN_RATE_SHARE = 0.2
"""Lower bound of the measured rate, as a share of the nominal one; other traffic uses the rest."""

BITS_PER_BYTE = 8


class LinkRate:
    """Keeps a moving average of the rate; it starts at the nominal one."""

    def __init__(self, nominal_bytes_per_s: float) -> None:
        self.bytes_per_s = nominal_bytes_per_s
        self._nominal_bytes_per_s = nominal_bytes_per_s
        self._sample_started_at: float | None = None
        self._sample_bytes = 0

    def record(self, size_bytes: int, is_busy: bool, now: float) -> None:
        """Record that `size_bytes` were carried; only a busy link shows its rate."""
        if not is_busy:
            self._sample_started_at = None
            return
        if self._sample_started_at is None:
            self._sample_started_at, self._sample_bytes = now, 0
            return
        self._sample_bytes += size_bytes
        elapsed_s = now - self._sample_started_at
        if elapsed_s >= RATE_SAMPLE_S:
            sample_bytes_per_s = min(
                self._nominal_bytes_per_s,
                max(MIN_RATE_SHARE * self._nominal_bytes_per_s, self._sample_bytes / elapsed_s),
            )
            self.bytes_per_s += RATE_WEIGHT * (sample_bytes_per_s - self.bytes_per_s)
            self._sample_started_at, self._sample_bytes = now, 0


def convert_mbps_to_bytes_per_s(mbps: float) -> float:
    """Convert the rate of a link from megabits to bytes per second.

    >>> convert_mbps_to_bytes_per_s(8)
    1000000.0
    """
    return mbps * 1_000_000 / BITS_PER_BYTE
