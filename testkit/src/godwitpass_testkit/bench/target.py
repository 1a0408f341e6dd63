"""The size and the limits that the design must support."""

import msgspec


class Target(msgspec.Struct, frozen=True):
    """Required capacity and limits; `cpu_percent` is of one core."""

    daemons: int = 13_000
    services: int = 2_500
    regions: int = 9
    zones: int = 23
    calls_per_s: int = 4_100_000
    changes_per_day: int = 8_400
    convergence_s: float = 6.0
    added_latency_ms: float = 0.69
    cpu_percent: float = 4.0
    memory_mb: float = 64.0
    bytes_per_s: int = 3_000
    replaced_per_day: int = 1_170
    store_reads_per_s: float = 2_000.0
    store_writes_per_s: float = 300.0

    @property
    def daemons_per_region(self) -> int:
        """Return the mean number of daemons in a region.

        >>> Target().daemons_per_region
        1444
        """
        return self.daemons // self.regions


TARGET = Target()
SECONDS_PER_DAY = 86_400
