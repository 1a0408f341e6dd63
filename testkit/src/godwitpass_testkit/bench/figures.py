"""Figures at the target size, worked out from measured rows."""

from collections.abc import Sequence

import msgspec

from godwitpass.internal.distribution.tuning import READERS_PER_ZONE
from godwitpass_testkit.bench.target import SECONDS_PER_DAY, TARGET
from godwitpass_testkit.measurements import Param, Row, select_rows

CHURN_INTERVAL_S = 10.0
"""Time between restarts in the membership experiment's churn."""

BYTES_PER_MIB = 1 << 20
BYTES_PER_MB = 1_000_000
WAITING_WATCHES = READERS_PER_ZONE * TARGET.zones
"""A waiting watch counts as one call of the store."""

IDLE = "idle"
SPREAD: dict[str, Param] = {"system": "distribution", "favour": "convergence"}


class Figures(msgspec.Struct, frozen=True):
    """Each is None where nothing was measured."""

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


def read_figures(rows: Sequence[Row]) -> Figures:
    """Work the figures out of rows named `experiment.row`."""
    idle = _find_largest(rows, "membership.idle sent", "members")
    churn = _find_largest(rows, "membership.churn, one restart in 10 s sent", "members")
    spread_idle = _find(rows, "spread.idle_bytes_at_target", **SPREAD, of="mean")
    change = _find(
        rows, "spread.change_bytes_at_target", **SPREAD, of="mean", change="small", fault="none"
    )
    cpu_idle = _find_largest(rows, "processes.cpu", "daemons", phase=IDLE, of="mean")
    cpu_slope = _find_cpu_slope(rows)
    held = _find(rows, "processes.resident", phase=IDLE, of="mean", services=TARGET.services)
    members = _find_membership_memory(rows)
    changes_per_s = TARGET.changes_per_day / SECONDS_PER_DAY
    return Figures(
        membership_idle_bytes_per_s=idle,
        membership_churn_bytes_per_s=churn,
        spread_idle_bytes_per_s=spread_idle,
        change_bytes=change,
        control_bytes_per_s=_sum_control_bytes(idle, churn, spread_idle, change),
        herd_bytes_per_s=_find_largest(rows, "membership.herd sent", "members"),
        cpu_idle_percent=cpu_idle,
        cpu_percent_per_change_per_s=cpu_slope,
        cpu_percent=_add(cpu_idle, cpu_slope and cpu_slope * changes_per_s),
        document_memory_mb=held,
        membership_memory_mb=members,
        memory_mb=_find(rows, "memory.resident", at="document and mesh held"),
        memory_accepting_mb=_add(
            _find(rows, "processes.resident", phase="changing", of="max", services=TARGET.services),
            members,
        ),
        convergence_p99_s=_find_convergence(rows, "p99", "none"),
        convergence_killed_s=_find_convergence(rows, "p99", "third-killed"),
        convergence_killed_bytes_s=_find(
            rows,
            "spread.convergence_at_target",
            system="distribution",
            favour="bytes",
            change="small",
            fault="third-killed",
            quantile="p99",
        ),
        process_convergence_killed_s=_find_process_convergence(rows),
        store_calls_per_s=_add(
            _find(rows, "spread.idle_store_calls_at_target", **SPREAD), WAITING_WATCHES
        ),
        claim_writes_per_s=_find(rows, "claims.writes_per_s", way="batched", rate=3000),
        cpu_us_per_call=_find(rows, "latency.cpu", path="edge"),
        added_latency_ms=_find(rows, "latency.added", path="edge", percentile=99.0),
    )


def _add(first: float | None, second: float | None) -> float | None:
    return None if first is None or second is None else first + second


def _find_membership_memory(rows: Sequence[Row]) -> float | None:
    """Return the memory of a region's records and the other regions' sums, in MB."""
    mebibytes = _find(rows, "membership_regions.memory of membership")
    return None if mebibytes is None else mebibytes * BYTES_PER_MIB / BYTES_PER_MB


def _find(rows: Sequence[Row], name: str, **params: Param) -> float | None:
    selected = select_rows(rows, name, **params)
    return selected[0].value if selected else None


def _find_largest(rows: Sequence[Row], name: str, size: str, **params: Param) -> float | None:
    """Return the value measured at the largest size."""
    selected = select_rows(rows, name, **params)
    if not selected:
        return None
    return max(selected, key=lambda row: float(row.params[size])).value


def _find_convergence(rows: Sequence[Row], quantile: str, fault: str) -> float | None:
    name = "spread.convergence_at_target"
    return _find(rows, name, **SPREAD, change="small", fault=fault, quantile=quantile)


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
    """Return the processor time that one change a second costs with all services in force."""
    params: dict[str, Param] = {"of": "mean", "services": TARGET.services}
    idle = _find(rows, "processes.cpu", phase=IDLE, **params)
    changing = _find(rows, "processes.cpu", phase="changing", **params)
    return None if idle is None or changing is None else max(0.0, changing - idle)


def _sum_control_bytes(
    idle: float | None, churn: float | None, spread_idle: float | None, change: float | None
) -> float | None:
    if idle is None or churn is None or spread_idle is None or change is None:
        return None
    restarts_per_s = TARGET.replaced_per_day / TARGET.regions / SECONDS_PER_DAY
    churn_bytes = (churn - idle) * CHURN_INTERVAL_S * restarts_per_s
    return idle + churn_bytes + spread_idle + change * TARGET.changes_per_day / SECONDS_PER_DAY
