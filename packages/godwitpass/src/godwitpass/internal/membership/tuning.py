"""Intervals, sizes and limits of the membership protocol."""

import msgspec


class Tuning(msgspec.Struct, frozen=True):
    """Intervals, sizes and limits, with defaults for 13,000 daemons, 1,450 of them in one region.

    Times are in seconds (`_s`) and sizes in bytes (`_bytes`).
    """

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.4
    indirect_probe_count: int = 3
    suspicion_timeout_s: float = 5.0
    isolation_silence_s: float = 3.0
    isolation_grace_s: float = 15.0
    pause_threshold_s: float = 2.0
    """How late a timer must fire for the process to count as paused."""

    gossip_interval_s: float = 0.2
    gossip_fanout: int = 3
    gossip_bytes_per_s: float = 2_000.0
    gossip_burst_bytes: float = 40_000.0
    max_piggyback_bytes: int = 400
    max_gossip_bytes: int = 1_100
    retransmit_factor: float = 3.0
    """Factor by which `BroadcastQueue` multiplies the logarithm of the number of members."""

    summary_retransmit_factor: float = 2.0

    sync_interval_s: float = 10.0
    gone_retention_s: float = 3_600.0
    """Time for which a member that is dead or has left is remembered."""

    max_gone_members: int = 4_096

    join_jitter_s: float = 15.0
    """Window over which daemons that start at the same time spread their first read of the store.

    With 13,000 daemons the reads stay below half the rate that the store allows.
    """

    join_retry_s: float = 2.0
    max_join_retry_s: float = 30.0
    seed_check_interval_s: float = 30.0
    seeds_per_zone: int = 8
    seed_maintainers_per_zone: int = 2

    delegate_count: int = 3
    summary_delay_s: float = 0.5
    """Least time from a change to the publication of a summary that covers it."""

    summary_interval_s: float = 5.0
    """Least time between two publications of the same summary."""

    delegate_stagger_s: float = 3.0
    """Additional delay per rank, so that normally only one delegate publishes a summary."""

    max_summaries_per_s: int = 40
    contacts_per_summary: int = 3
    contacts_per_region: int = 9
    region_probe_interval_s: float = 5.0
    heartbeat_interval_s: float = 20.0
    region_timeout_s: float = 90.0
    """Time without a heartbeat after which a remote region counts as lost."""


DEFAULT_TUNING = Tuning()
