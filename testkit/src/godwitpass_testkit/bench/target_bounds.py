"""The bounds that `bench check` holds results to."""

from godwitpass_testkit.bench.bounds import Bound
from godwitpass_testkit.bench.target import TARGET

DRAIN_KNOWN_S = 3.0
KEPT_GOODPUT = 0.9
RETRY_SHARE = 0.2

BOUNDS = (
    Bound("spread.converged", "in force everywhere", 1, 1, {"system": "distribution"}),
    Bound(
        "spread.convergence",
        "in force everywhere within 6 s",
        at_most=TARGET.convergence_s,
        params={"system": "distribution", "favour": "convergence", "change": "small"},
    ),
    Bound(
        "spread.idle_bytes",
        "3 KB/s a daemon",
        at_most=TARGET.bytes_per_s,
        params={"system": "distribution"},
    ),
    Bound("membership.idle sent", "3 KB/s a daemon", at_most=TARGET.bytes_per_s),
    Bound("membership.living daemons declared dead", "no living daemon is buried", at_most=0),
    Bound("membership.drain known max", "a few seconds", at_most=DRAIN_KNOWN_S),
    Bound(
        "claims.writes_per_s",
        "half of the store's few hundred writes a second",
        at_most=TARGET.store_writes_per_s / 2,
        params={"way": "batched"},
    ),
    Bound(
        "claims.granted_share", "every new key is granted", at_least=1, params={"way": "batched"}
    ),
    Bound(
        "goodput.kept_at_3x",
        "goodput stays at 90% of its peak",
        at_least=KEPT_GOODPUT,
        params={"version": "ours"},
    ),
    Bound(
        "goodput.retry_share",
        "at most 20% of load from retries in an outage",
        at_most=RETRY_SHARE,
        params={"version": "ours"},
    ),
    Bound(
        "latency.added",
        "0.69 ms added for 99 in 100",
        at_most=TARGET.added_latency_ms,
        params={"path": "edge", "percentile": 99.0},
    ),
    Bound(
        "processes.cpu",
        "4% of a core",
        at_most=TARGET.cpu_percent,
        params={"phase": "idle", "of": "max"},
    ),
    Bound(
        "processes.resident",
        "64 MB a daemon",
        at_most=TARGET.memory_mb,
        params={"phase": "idle", "of": "max"},
    ),
    Bound("memory.resident", "64 MB a daemon", at_most=TARGET.memory_mb),
    Bound(
        "processes.convergence",
        "in force everywhere within 6 s, a third killed",
        at_most=TARGET.convergence_s,
        params={"quantile": "p99"},
    ),
)
