"""Measures goodput by offered load with real processes: two edges share one upstream."""

import asyncio
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from godwitpass_testkit.caller import LoadReport, send_load
from godwitpass_testkit.measurements import Param, Row, publish_rows
from godwitpass_testkit.processes import Processes, run_processes

SLOTS = 12
SERVICE_TIME_MS = 40
CAPACITY_PER_S = SLOTS * 1000 / SERVICE_TIME_MS
EDGES = 2
DURATION_S = 4.0
CONNECTIONS = 60
WARM_UP_S = 1.0


async def measure(processes: Processes) -> list[Row]:
    """Offer increasing loads through all edges at the same time."""
    upstream = processes.start(
        "godwitpass_testkit.upstream", "--slots", str(SLOTS), "--work-ms", str(SERVICE_TIME_MS)
    )
    edges = [processes.start("godwitpass_testkit.edge", upstream) for _ in range(EDGES)]

    async def offer_load(load: float, duration_s: float) -> list[LoadReport]:
        rate_per_s = CAPACITY_PER_S * load / EDGES
        loads = [send_load(edge, "/books", rate_per_s, duration_s, CONNECTIONS) for edge in edges]
        return await asyncio.gather(*loads)

    await offer_load(1.0, WARM_UP_S)
    rows: list[Row] = []
    good_per_s: dict[float, float] = {}
    for load in (0.5, 1.0, 2.0, 3.0):
        reports = await offer_load(load, DURATION_S)
        params: dict[str, Param] = {"load": load}
        good_per_s[load] = sum(
            report.outcomes.get("200", 0) / report.elapsed_s for report in reports
        )
        other_count = sum(
            count
            for report in reports
            for outcome, count in report.outcomes.items()
            if outcome not in ("200", "not-run")
        )
        rows.append(Row("good", params, good_per_s[load], "calls/s"))
        rows.append(Row("untyped", params, other_count, "calls"))
        p99_ms = max(report.p99_us for report in reports) / 1000
        rows.append(Row("p99", params, p99_ms, "ms"))
    rows.append(Row("kept_at_3x", {}, good_per_s[3.0] / max(good_per_s.values()), "of peak"))
    return rows


def main(output: Annotated[Path | None, typer.Option()] = None) -> None:
    """Start the processes, measure the goodput and write the rows."""
    with run_processes() as processes:
        rows = uvloop.run(measure(processes))
    publish_rows(rows, output)


if __name__ == "__main__":
    typer.run(main)
