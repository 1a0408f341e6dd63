"""Goodput against offered load with real processes: one upstream shared by two edges."""

import asyncio
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from godwitpass_testkit.caller import LoadReport, send_load
from godwitpass_testkit.measurements import Param, Row, publish_rows
from godwitpass_testkit.processes import Processes, run_processes

SLOTS = 12
WORK_MS = 40
CAPACITY_PER_S = SLOTS * 1000 / WORK_MS
EDGES = 2
SECONDS = 4.0
CONNECTIONS = 60
WARM_UP_S = 1.0


async def measure(processes: Processes) -> list[Row]:
    """Offer rising loads through all edges at once."""
    upstream = processes.start(
        "godwitpass_testkit.upstream", "--slots", str(SLOTS), "--work-ms", str(WORK_MS)
    )
    edges = [processes.start("godwitpass_testkit.edge", upstream) for _ in range(EDGES)]

    async def offer(load: float, seconds: float) -> list[LoadReport]:
        rate = CAPACITY_PER_S * load / EDGES
        runs = [send_load(edge, "/books", rate, seconds, CONNECTIONS) for edge in edges]
        return await asyncio.gather(*runs)

    await offer(1.0, WARM_UP_S)
    rows: list[Row] = []
    goods: dict[float, float] = {}
    for load in (0.5, 1.0, 2.0, 3.0):
        reports = await offer(load, SECONDS)
        params: dict[str, Param] = {"load": load}
        goods[load] = sum(found.outcomes.get("200", 0) / found.seconds for found in reports)
        other = sum(
            count
            for found in reports
            for kind, count in found.outcomes.items()
            if kind not in ("200", "not-run")
        )
        rows.append(Row("good", params, goods[load], "calls/s"))
        rows.append(Row("untyped", params, other, "calls"))
        p99_ms = max(found.p99_us for found in reports) / 1000
        rows.append(Row("p99", params, p99_ms, "ms"))
    rows.append(Row("kept_at_3x", {}, goods[3.0] / max(goods.values()), "of peak"))
    return rows


def main(output: Annotated[Path | None, typer.Option()] = None) -> None:
    """Measure and write rows."""
    with run_processes() as processes:
        rows = uvloop.run(measure(processes))
    publish_rows(rows, output)


if __name__ == "__main__":
    typer.run(main)
