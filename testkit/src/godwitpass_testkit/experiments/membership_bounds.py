"""Bounds on membership, derived from its share of the target."""

from godwitpass_testkit.bench.bounds import Bound

TRAFFIC_BOUNDS = (
    Bound("idle sent", "half of 3 KB/s per daemon", at_most=1_500),
    Bound("churn, one restart in 10 s sent", "half of 3 KB/s per daemon", at_most=1_500),
)
FAULT_BOUNDS = (
    Bound("drain known p99", "no new calls after a few seconds", at_most=3),
    Bound("death known p99", "half of the time after which a region counts as lost", at_most=45),
)
LOSS_BOUNDS = (
    Bound("living daemons declared dead", "no living daemon is declared dead", at_most=0),
)
CPU_BOUNDS = (Bound("share of a core, one restart in 10 s", "1.5% of a core", at_most=1.5),)
HERD_BOUNDS = (
    Bound(
        "herd: store calls in the busiest second",
        "half of 2,000 store reads per second",
        at_most=1_000,
    ),
    Bound("herd: all know all", "within two minutes", at_most=120),
)
MEMORY_BOUNDS = (Bound("resident memory with all upstreams", "64 MB for the process", at_most=61),)
BOUNDS = (
    *TRAFFIC_BOUNDS,
    *FAULT_BOUNDS,
    *LOSS_BOUNDS,
    *CPU_BOUNDS,
    *HERD_BOUNDS,
    *MEMORY_BOUNDS,
)
