"""Measures faults of an upstream under steady load through a real edge.

An upstream drains, crashes, slows down or fails every call. Each call has an id of its own, so
that calls that ran twice and answers that are cut or belong to another call are counted.
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
DURATION_S = 4.0
FAULT_AT_S = 1.0
DRAIN_NOTICE_S = 1.0
"""Time between the announcement that an upstream leaves and the closing of its port."""

SERVICE_TIME_MS = 5
SLOW_SERVICE_TIME_S = 0.2
POLL_INTERVAL_S = 0.005
MAX_LATENCY_US = 60_000_000

Fault = Callable[[Mesh], Awaitable[float]]
"""Causes a fault; returns the seconds until the upstream's last new call, 0 without a drain."""


class CallStatistics(msgspec.Struct):
    """The outcomes and latencies that callers observed."""

    sent: int
    outcomes: Counter[str]
    latency_us: HdrHistogram


async def drain_upstream(mesh: Mesh) -> float:
    """Announce that an upstream leaves, then drain it; return the seconds to its last new call."""
    upstream = mesh.upstreams[0]
    announced_at = time.monotonic()
    mesh.services.set_upstreams(SHOP, mesh.services.upstreams_by_service[SHOP][1:])
    last_call_at = announced_at
    seen_requests = upstream.counts["requests"]
    while time.monotonic() < announced_at + DRAIN_NOTICE_S:
        await asyncio.sleep(POLL_INTERVAL_S)
        if upstream.counts["requests"] != seen_requests:
            seen_requests, last_call_at = upstream.counts["requests"], time.monotonic()
    upstream.drain()
    return last_call_at - announced_at


async def crash_upstream(mesh: Mesh) -> float:
    """Crash an upstream without notice."""
    mesh.upstreams[0].crash()
    return 0.0


async def slow_upstream(mesh: Mesh) -> float:
    """Make an upstream slow while its health check still succeeds."""
    _set_options(mesh.upstreams[0], work_s=SLOW_SERVICE_TIME_S)
    return 0.0


async def fail_upstream(mesh: Mesh) -> float:
    """Make an upstream fail fast while its health check still succeeds."""
    _set_options(mesh.upstreams[0], is_failing=True)
    return 0.0


def _set_options(upstream: StandInUpstream, **changes: float | bool) -> None:
    upstream.options = msgspec.structs.replace(upstream.options, **changes)


async def send_calls(mesh: Mesh, path: str) -> CallStatistics:
    """Send calls at a fixed rate, each on an idle keep-alive connection if there is one."""
    statistics = CallStatistics(0, Counter(), HdrHistogram(1, MAX_LATENCY_US, 3))
    idle_connections: list[CallerProtocol] = []
    pending: set[asyncio.Task[None]] = set()

    async def send_call(number: int) -> None:
        connection = (
            idle_connections.pop() if idle_connections else await connect(mesh.inner_address)
        )
        sent_at = time.perf_counter()
        request_id = f"{path}-{number}"
        answer = await connection.send(encode_request(path, headers={"x-request": request_id}))
        statistics.latency_us.record_value(int((time.perf_counter() - sent_at) * 1e6))
        if not answer.is_complete:
            statistics.outcomes["cut"] += 1
            return
        is_own = answer.body.startswith(request_id.encode() + b" ") or answer.status != 200
        statistics.outcomes[(answer.outcome or str(answer.status)) if is_own else "foreign"] += 1
        idle_connections.append(connection)

    started_at = time.perf_counter()
    for number in range(int(RATE_PER_S * DURATION_S)):
        delay_s = started_at + number / RATE_PER_S - time.perf_counter()
        await asyncio.sleep(max(0.0, delay_s))
        statistics.sent += 1
        task = asyncio.ensure_future(send_call(number))
        pending.add(task)
        task.add_done_callback(pending.discard)
    await asyncio.gather(*pending)
    return statistics


async def measure_fault(name: str, fault: Fault, path: str) -> list[Row]:
    """Cause one fault under load and return its rows."""
    async with run_mesh(UPSTREAMS, options=UpstreamOptions(work_s=SERVICE_TIME_MS / 1000)) as mesh:
        calls = asyncio.ensure_future(send_calls(mesh, path))
        await asyncio.sleep(FAULT_AT_S)
        last_new_work_s = await fault(mesh)
        statistics = await calls
        run_counts: Counter[bytes] = Counter()
        for upstream in mesh.upstreams:
            run_counts.update(upstream.runs)
    params: dict[str, Param] = {"fault": name, "path": path}
    counts = {
        "answered": statistics.outcomes["200"],
        "failed": statistics.outcomes["500"],
        "not-run": statistics.outcomes["not-run"],
        "unknown": statistics.outcomes["unknown"],
        "cut": statistics.outcomes["cut"],
        "foreign": statistics.outcomes["foreign"],
        "doubled": sum(count > 1 for count in run_counts.values()),
    }
    rows = [Row(f"{kind}", params, value, "calls") for kind, value in counts.items()]
    p99_ms = statistics.latency_us.get_value_at_percentile(99) / 1000
    rows.append(Row("p99", params, p99_ms, "ms"))
    if fault is drain_upstream:
        rows.append(Row("last_new_work", params, last_new_work_s, "s"))
    return rows


async def measure() -> list[Row]:
    """Measure all faults."""
    rows: list[Row] = []
    rows += await measure_fault("drain", drain_upstream, "/scans")
    rows += await measure_fault("crash", crash_upstream, "/scans")
    rows += await measure_fault("slow", slow_upstream, "/books")
    rows += await measure_fault("fail-fast", fail_upstream, "/books")
    return rows


def main(output: Annotated[Path | None, typer.Option()] = None) -> None:
    """Measure all faults and write the rows."""
    publish_rows(uvloop.run(measure()), output)


if __name__ == "__main__":
    typer.run(main)
