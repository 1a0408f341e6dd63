"""Measures the latency and CPU time that one hop adds, at 315 calls per second.

Calls use keep-alive connections. Direct calls, a bare forwarder and the edge take turns in short
rounds, so that noise of the machine affects all three alike.
"""

import asyncio
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer
import uvloop
from hdrh.histogram import HdrHistogram

from godwitpass.ids import Address
from godwitpass_testkit.caller import CallerProtocol, connect, encode_request
from godwitpass_testkit.measurements import Param, Row, publish_rows
from godwitpass_testkit.processes import Processes, run_processes

RATE_PER_S = 315
MAX_LATENCY_US = 10_000_000
WARM_UP_CALLS = 300
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class PathMeasurement(msgspec.Struct):
    """One path to the upstream with its latencies and CPU time."""

    name: str
    address: Address
    histogram: HdrHistogram
    cpu_s: float = 0.0
    calls: int = 0


async def send_round(address: Address, histogram: HdrHistogram | None, calls: int) -> None:
    """Send `calls` calls at a fixed rate on one connection and record their latencies."""
    connection = await connect(address)
    request_bytes = encode_request("/books/1", headers={"x-request": "r", "accept": "*/*"})
    await connection.send(request_bytes)
    await asyncio.sleep(0.02)
    started_at = time.perf_counter()
    for number in range(calls):
        delay_s = started_at + number / RATE_PER_S - time.perf_counter()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        await _time_call(connection, request_bytes, histogram)
    connection.close()


async def _time_call(
    connection: CallerProtocol, request_bytes: bytes, histogram: HdrHistogram | None
) -> None:
    sent_at = time.perf_counter()
    answer = await connection.send(request_bytes)
    elapsed_s = time.perf_counter() - sent_at
    assert answer.status == 200 and answer.is_complete, answer
    if histogram is not None:
        histogram.record_value(max(1, int(elapsed_s * 1e6)))


async def measure(processes: Processes, rounds: int, calls: int) -> list[Row]:
    """Measure all paths in turn, `calls` calls in each of `rounds` rounds."""
    upstream = processes.start("godwitpass_testkit.upstream")
    paths = [
        PathMeasurement("direct", upstream, HdrHistogram(1, MAX_LATENCY_US, 3)),
        PathMeasurement(
            "bare",
            processes.start("godwitpass_testkit.experiments.calls_bare", upstream),
            HdrHistogram(1, MAX_LATENCY_US, 3),
        ),
        PathMeasurement(
            "edge",
            processes.start("godwitpass_testkit.edge", upstream),
            HdrHistogram(1, MAX_LATENCY_US, 3),
        ),
    ]
    for path in paths:
        await send_round(path.address, None, WARM_UP_CALLS)
    for _ in range(rounds):
        for path in paths:
            cpu_before_s = processes.measure_cpu_s(path.address)
            await send_round(path.address, path.histogram, calls)
            path.cpu_s += processes.measure_cpu_s(path.address) - cpu_before_s
            path.calls += calls
    return list_rows(paths)


def list_rows(paths: list[PathMeasurement]) -> list[Row]:
    """Return rows for all paths, with the latency that each adds to direct calls."""
    rows: list[Row] = []
    direct_histogram = paths[0].histogram
    for path in paths:
        for percentile in PERCENTILES:
            value_us = path.histogram.get_value_at_percentile(percentile)
            params: dict[str, Param] = {"path": path.name, "percentile": percentile}
            rows.append(Row("call", params, value_us / 1000, "ms"))
            if path.name != "direct":
                added_us = value_us - direct_histogram.get_value_at_percentile(percentile)
                rows.append(Row("added", params, added_us / 1000, "ms"))
        cpu_us = path.cpu_s / path.calls * 1e6
        rows.append(Row("cpu", {"path": path.name}, cpu_us, "us/call"))
    return rows


def main(
    output: Annotated[Path | None, typer.Option()] = None, rounds: int = 20, calls: int = 315
) -> None:
    """Measure all paths and write the rows; each round sends `calls` calls on each path."""
    with run_processes() as processes:
        rows = uvloop.run(measure(processes, rounds, calls))
    publish_rows(rows, output)


if __name__ == "__main__":
    typer.run(main)
