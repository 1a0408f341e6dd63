"""Figures at the target size, derived from measured rows."""

from collections.abc import Sequence

import msgspec

from godwitpass.internal.distribution.tuning import READERS_PER_ZONE
from godwitpass_testkit.bench.target import SECONDS_PER_DAY, TARGET
from godwitpass_testkit.measurements import Param, Row, select_rows

CHURN_INTERVAL_S = 10.0
"""Time between restarts in the membership experiment's churn."""

BYTES_PER_MIB = 1 << 20
BYTES_PER_MB = 1_000_000
PENDING_WATCHES = READERS_PER_ZONE * TARGET.zones
"""A pending watch counts as one store call."""

IDLE_PHASE = "idle"
SPREAD_PARAMS: dict[str, Param] = {"system": "distribution", "favour": "convergence"}


class Figures(msgspec.Struct, frozen=True):
    """Figures at the target size; None where nothing was measured."""

    membership_idle_bytes_per_s: float | None
    membership_churn_bytes_per_s: float | None
    spread_idle_bytes_per_s: float | None
    change_bytes: float | None
    control_bytes_per_s: float | None
    herd_bytes_per_s: float | None
    cpu_idle_percent: float | None
    cpu_percent_per_change_per_s: float | None
    cpu_percent: float | None
    document_memory_mb: float | None
    membership_memory_mb: float | None
    memory_mb: float | None
    memory_accepting_mb: float | None
    convergence_p99_s: float | None
    convergence_killed_s: float | None
    convergence_killed_bytes_s: float | None
    process_convergence_killed_s: float | None
    store_calls_per_s: float | None
    claim_writes_per_s: float | None
    cpu_us_per_call: float | None
    added_latency_ms: float | None


def derive_figures(rows: Sequence[Row]) -> Figures:
    """Derive the figures from rows named `experiment.row`."""
    idle_bytes_per_s = _find_at_largest_size(rows, "membership.idle sent", "members")
    churn_bytes_per_s = _find_at_largest_size(
        rows, "membership.churn, one restart in 10 s sent", "members"
    )
    spread_bytes_per_s = _find_value(
        rows, "spread.idle_bytes_at_target", **SPREAD_PARAMS, of="mean"
    )
    bytes_per_change = _find_value(
        rows,
        "spread.change_bytes_at_target",
        **SPREAD_PARAMS,
        of="mean",
        change="small",
        fault="none",
    )
    cpu_idle_percent = _find_at_largest_size(
        rows, "processes.cpu", "daemons", phase=IDLE_PHASE, of="mean"
    )
    cpu_percent_per_change_per_s = _find_cpu_slope(rows)
    document_memory_mb = _find_value(
        rows, "processes.resident", phase=IDLE_PHASE, of="mean", services=TARGET.services
    )
    membership_memory_mb = _find_membership_memory(rows)
    changes_per_s = TARGET.changes_per_day / SECONDS_PER_DAY
    return Figures(
        membership_idle_bytes_per_s=idle_bytes_per_s,
        membership_churn_bytes_per_s=churn_bytes_per_s,
        spread_idle_bytes_per_s=spread_bytes_per_s,
        change_bytes=bytes_per_change,
        control_bytes_per_s=_sum_control_bytes(
            idle_bytes_per_s, churn_bytes_per_s, spread_bytes_per_s, bytes_per_change
        ),
        herd_bytes_per_s=_find_at_largest_size(rows, "membership.herd sent", "members"),
        cpu_idle_percent=cpu_idle_percent,
        cpu_percent_per_change_per_s=cpu_percent_per_change_per_s,
        cpu_percent=_add_if_measured(
            cpu_idle_percent,
            cpu_percent_per_change_per_s and cpu_percent_per_change_per_s * changes_per_s,
        ),
        document_memory_mb=document_memory_mb,
        membership_memory_mb=membership_memory_mb,
        memory_mb=_find_value(rows, "memory.resident", at="document and mesh held"),
        memory_accepting_mb=_add_if_measured(
            _find_value(
                rows, "processes.resident", phase="changing", of="max", services=TARGET.services
            ),
            membership_memory_mb,
        ),
        convergence_p99_s=_find_convergence(rows, "p99", "none"),
        convergence_killed_s=_find_convergence(rows, "p99", "third-killed"),
        convergence_killed_bytes_s=_find_value(
            rows,
            "spread.convergence_at_target",
            system="distribution",
            favour="bytes",
            change="small",
            fault="third-killed",
            quantile="p99",
        ),
        process_convergence_killed_s=_find_process_convergence(rows),
        store_calls_per_s=_add_if_measured(
            _find_value(rows, "spread.idle_store_calls_at_target", **SPREAD_PARAMS), PENDING_WATCHES
        ),
        claim_writes_per_s=_find_value(rows, "claims.writes_per_s", way="batched", rate=3000),
        cpu_us_per_call=_find_value(rows, "latency.cpu", path="edge"),
        added_latency_ms=_find_value(rows, "latency.added", path="edge", percentile=99.0),
    )


def _add_if_measured(first: float | None, second: float | None) -> float | None:
    return None if first is None or second is None else first + second


def _find_membership_memory(rows: Sequence[Row]) -> float | None:
    """Return the memory of a region's records and the other regions' summaries, in MB."""
    memory_mib = _find_value(rows, "membership_regions.memory of membership")
    return None if memory_mib is None else memory_mib * BYTES_PER_MIB / BYTES_PER_MB


def _find_value(rows: Sequence[Row], name: str, **params: Param) -> float | None:
    selected = select_rows(rows, name, **params)
    return selected[0].value if selected else None


def _find_at_largest_size(
    rows: Sequence[Row], name: str, size: str, **params: Param
) -> float | None:
    """Return the value of the row with the largest `params[size]`."""
    selected = select_rows(rows, name, **params)
    if not selected:
        return None
    return max(selected, key=lambda row: float(row.params[size])).value


def _find_convergence(rows: Sequence[Row], quantile: str, fault: str) -> float | None:
    name = "spread.convergence_at_target"
    return _find_value(rows, name, **SPREAD_PARAMS, change="small", fault=fault, quantile=quantile)


def _find_process_convergence(rows: Sequence[Row]) -> float | None:
    selected = [
        row
        for row in select_rows(rows, "processes.convergence", quantile="p99")
        if row.params["killed"]
    ]
    if not selected:
        return None
    return max(selected, key=lambda row: float(row.params["daemons"])).value


def _find_cpu_slope(rows: Sequence[Row]) -> float | None:
    """Return the CPU percentage that one change per second costs with all services in force."""
    params: dict[str, Param] = {"of": "mean", "services": TARGET.services}
    idle_percent = _find_value(rows, "processes.cpu", phase=IDLE_PHASE, **params)
    changing_percent = _find_value(rows, "processes.cpu", phase="changing", **params)
    return (
        None
        if idle_percent is None or changing_percent is None
        else max(0.0, changing_percent - idle_percent)
    )


def _sum_control_bytes(
    idle_bytes_per_s: float | None,
    churn_bytes_per_s: float | None,
    spread_bytes_per_s: float | None,
    bytes_per_change: float | None,
) -> float | None:
    if (
        idle_bytes_per_s is None
        or churn_bytes_per_s is None
        or spread_bytes_per_s is None
        or bytes_per_change is None
    ):
        return None
    restarts_per_s = TARGET.replaced_per_day / TARGET.regions / SECONDS_PER_DAY
    restart_bytes_per_s = (churn_bytes_per_s - idle_bytes_per_s) * CHURN_INTERVAL_S * restarts_per_s
    return (
        idle_bytes_per_s
        + restart_bytes_per_s
        + spread_bytes_per_s
        + bytes_per_change * TARGET.changes_per_day / SECONDS_PER_DAY
    )
