"""Intervals and bounds of membership."""

import msgspec


class Tuning(msgspec.Struct, frozen=True):
    """Intervals in seconds, sizes in bytes.

    The defaults fit the target: 13,000 daemons, 1,450 of them in one region.
    """

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.4
    helpers: int = 3
    suspicion_s: float = 5.0
    isolation_s: float = 3.0
    isolation_grace_s: float = 15.0
    pause_s: float = 2.0

    gossip_interval_s: float = 0.2
    gossip_fanout: int = 3
    gossip_bytes_per_s: float = 2_000.0
    gossip_burst_bytes: float = 40_000.0
    piggyback_bytes: int = 400
    message_bytes: int = 1_100
    retransmit_factor: float = 3.0
    sum_retransmit_factor: float = 2.0

    sync_interval_s: float = 10.0
    forget_s: float = 3_600.0
    max_gone: int = 4_096

    join_jitter_s: float = 15.0
    """Window of the first reads of a herd: 13,000 daemons stay below half the store's rate."""

    join_retry_s: float = 2.0
    max_join_retry_s: float = 30.0
    keep_seeds_s: float = 30.0
    seeds_per_zone: int = 8
    keepers_per_zone: int = 2

    delegates: int = 3
    sum_delay_s: float = 0.5
    sum_interval_s: float = 5.0
    delegate_stagger_s: float = 3.0
    max_sums_per_s: int = 40
    contacts_per_sum: int = 3
    contacts_per_region: int = 9
    cross_probe_s: float = 5.0
    beat_s: float = 20.0
    region_lost_s: float = 90.0


DEFAULT_TUNING = Tuning()
