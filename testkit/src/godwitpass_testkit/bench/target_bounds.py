"""The bounds that `bench check` applies to the results."""

from godwitpass_testkit.bench.bounds import Bound
from godwitpass_testkit.bench.target import TARGET

MAX_DRAIN_KNOWN_S = 3.0
MIN_KEPT_GOODPUT_SHARE = 0.9
MAX_RETRY_SHARE = 0.2

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
        "3 KB/s per daemon",
        at_most=TARGET.bytes_per_s,
        params={"system": "distribution"},
    ),
    Bound("membership.idle sent", "3 KB/s per daemon", at_most=TARGET.bytes_per_s),
    Bound(
        "membership.living daemons declared dead", "no living daemon is declared dead", at_most=0
    ),
    Bound(
        "membership.drain known max",
        "a drain is known everywhere within a few seconds",
        at_most=MAX_DRAIN_KNOWN_S,
    ),
    Bound(
        "claims.writes_per_s",
        "half of the store's few hundred writes per second",
        at_most=TARGET.store_writes_per_s / 2,
        params={"way": "batched"},
    ),
    Bound(
        "claims.granted_share", "every new key is granted", at_least=1, params={"way": "batched"}
    ),
    Bound(
        "goodput.kept_at_3x",
        "goodput stays at 90% of its peak",
        at_least=MIN_KEPT_GOODPUT_SHARE,
        params={"version": "ours"},
    ),
    Bound(
        "goodput.retry_share",
        "retries add at most 20% of load in an outage",
        at_most=MAX_RETRY_SHARE,
        params={"version": "ours"},
    ),
    Bound(
        "latency.added",
        "0.69 ms added at the 99th percentile",
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
        "64 MB per daemon",
        at_most=TARGET.memory_mb,
        params={"phase": "idle", "of": "max"},
    ),
    Bound("memory.resident", "64 MB per daemon", at_most=TARGET.memory_mb),
    Bound(
        "processes.convergence",
        "in force everywhere within 6 s, with a third killed",
        at_most=TARGET.convergence_s,
        params={"quantile": "p99"},
    ),
)
