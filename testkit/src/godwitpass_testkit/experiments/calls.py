"""Faults under steady load through a real edge: drain, crash, slow and lying upstreams.

Every call has an id of its own, so that doubled, cut and foreign answers are counted.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated

import msgspec
import typer
import uvloop
from hdrh.histogram import HdrHistogram

from godwitpass_testkit.caller import CallerProtocol, connect, encode_request
from godwitpass_testkit.edge import SHOP, Mesh, run_mesh
from godwitpass_testkit.measurements import Param, Row, publish_rows
from godwitpass_testkit.upstream import StandInUpstream, UpstreamOptions

UPSTREAMS = 4
RATE_PER_S = 315
SECONDS = 4.0
FAULT_AT_S = 1.0
DRAIN_NOTICE_S = 1.0
"""Between the announcement that an upstream leaves and the closing of its port."""

WORK_MS = 5
SLOW_WORK_S = 0.2
POLL_S = 0.005
Fault = Callable[[Mesh], Awaitable[float]]


class Tally(msgspec.Struct):
    """What callers saw."""

    sent: int
    outcomes: Counter[str]
    latency_us: HdrHistogram


async def drain_one(mesh: Mesh) -> float:
    """Announce that an upstream leaves, then drain it; return when its last new call came."""
    leaving = mesh.upstreams[0]
    announced = time.monotonic()
    mesh.services.set_upstreams(SHOP, mesh.services.upstreams_by_service[SHOP][1:])
    last = announced
    seen = leaving.counts["requests"]
    while time.monotonic() < announced + DRAIN_NOTICE_S:
        await asyncio.sleep(POLL_S)
        if leaving.counts["requests"] != seen:
            seen, last = leaving.counts["requests"], time.monotonic()
    leaving.drain()
    return last - announced


async def crash_one(mesh: Mesh) -> float:
    """Break an upstream without notice."""
    mesh.upstreams[0].crash()
    return 0.0


async def slow_one(mesh: Mesh) -> float:
    """Let an upstream take long, while its health answer stays good."""
    _set_options(mesh.upstreams[0], work_s=SLOW_WORK_S)
    return 0.0


async def fail_one(mesh: Mesh) -> float:
    """Let an upstream fail fast, while its health answer stays good."""
    _set_options(mesh.upstreams[0], is_failing=True)
    return 0.0


def _set_options(upstream: StandInUpstream, **changes: float | bool) -> None:
    upstream.options = msgspec.structs.replace(upstream.options, **changes)


async def send_calls(mesh: Mesh, path: str) -> Tally:
    """Send calls at the fixed rate, each on a free kept connection."""
    tally = Tally(0, Counter(), HdrHistogram(1, 60_000_000, 3))
    free: list[CallerProtocol] = []
    pending: set[asyncio.Task[None]] = set()

    async def send_one(number: int) -> None:
        connection = free.pop() if free else await connect(mesh.inner_address)
        began = time.perf_counter()
        name = f"{path}-{number}"
        answer = await connection.send(encode_request(path, headers={"x-request": name}))
        tally.latency_us.record_value(int((time.perf_counter() - began) * 1e6))
        if not answer.is_complete:
            tally.outcomes["cut"] += 1
            return
        own = answer.body.startswith(name.encode() + b" ") or answer.status != 200
        tally.outcomes[(answer.outcome or str(answer.status)) if own else "foreign"] += 1
        free.append(connection)

    started = time.perf_counter()
    for number in range(int(RATE_PER_S * SECONDS)):
        delay = started + number / RATE_PER_S - time.perf_counter()
        await asyncio.sleep(max(0.0, delay))
        tally.sent += 1
        task = asyncio.ensure_future(send_one(number))
        pending.add(task)
        task.add_done_callback(pending.discard)
    await asyncio.gather(*pending)
    return tally


async def measure_fault(name: str, fault: Fault, path: str) -> list[Row]:
    """Bring one fault about under load and return its rows."""
    async with run_mesh(UPSTREAMS, options=UpstreamOptions(work_s=WORK_MS / 1000)) as mesh:
        calls = asyncio.ensure_future(send_calls(mesh, path))
        await asyncio.sleep(FAULT_AT_S)
        last_new = await fault(mesh)
        tally = await calls
        runs: Counter[bytes] = Counter()
        for upstream in mesh.upstreams:
            runs.update(upstream.runs)
    params: dict[str, Param] = {"fault": name, "path": path}
    counts = {
        "answered": tally.outcomes["200"],
        "failed": tally.outcomes["500"],
        "not-run": tally.outcomes["not-run"],
        "unknown": tally.outcomes["unknown"],
        "cut": tally.outcomes["cut"],
        "foreign": tally.outcomes["foreign"],
        "doubled": sum(count > 1 for count in runs.values()),
    }
    rows = [Row(f"{kind}", params, value, "calls") for kind, value in counts.items()]
    p99_ms = tally.latency_us.get_value_at_percentile(99) / 1000
    rows.append(Row("p99", params, p99_ms, "ms"))
    if fault is drain_one:
        rows.append(Row("last_new_work", params, last_new, "s"))
    return rows


async def measure() -> list[Row]:
    """Measure all faults."""
    rows: list[Row] = []
    rows += await measure_fault("drain", drain_one, "/scans")
    rows += await measure_fault("crash", crash_one, "/scans")
    rows += await measure_fault("slow", slow_one, "/books")
    rows += await measure_fault("fail-fast", fail_one, "/books")
    return rows


def main(output: Annotated[Path | None, typer.Option()] = None) -> None:
    """Measure and write rows."""
    publish_rows(uvloop.run(measure()), output)


if __name__ == "__main__":
    typer.run(main)
