"""Added latency and processor time of one hop at 315 calls a second on kept connections.

Direct calls, a bare forwarder and the edge take turns in short rounds, so that the machine's
noise falls on all three alike.
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


class Measured(msgspec.Struct):
    """One way to the upstream, with what was measured on it."""

    name: str
    address: Address
    histogram: HdrHistogram
    cpu_s: float = 0.0
    calls: int = 0


async def send_round(address: Address, histogram: HdrHistogram | None, calls: int) -> None:
    """Send `calls` at the fixed rate on one connection and record each call's time."""
    connection = await connect(address)
    data = encode_request("/books/1", headers={"x-request": "r", "accept": "*/*"})
    await connection.send(data)
    await asyncio.sleep(0.02)
    started = time.perf_counter()
    for number in range(calls):
        delay = started + number / RATE_PER_S - time.perf_counter()
        if delay > 0:
            await asyncio.sleep(delay)
        await _time_call(connection, data, histogram)
    connection.close()


async def _time_call(
    connection: CallerProtocol, data: bytes, histogram: HdrHistogram | None
) -> None:
    sent_at = time.perf_counter()
    answer = await connection.send(data)
    elapsed = time.perf_counter() - sent_at
    assert answer.status == 200 and answer.is_complete, answer
    if histogram is not None:
        histogram.record_value(max(1, int(elapsed * 1e6)))


async def measure(processes: Processes, rounds: int, calls: int) -> list[Row]:
    """Measure all paths in turns."""
    upstream = processes.start("godwitpass_testkit.upstream")
    paths = [
        Measured("direct", upstream, HdrHistogram(1, MAX_LATENCY_US, 3)),
        Measured(
            "bare",
            processes.start("godwitpass_testkit.experiments.calls_bare", upstream),
            HdrHistogram(1, MAX_LATENCY_US, 3),
        ),
        Measured(
            "edge",
            processes.start("godwitpass_testkit.edge", upstream),
            HdrHistogram(1, MAX_LATENCY_US, 3),
        ),
    ]
    for path in paths:
        await send_round(path.address, None, WARM_UP_CALLS)
    for _ in range(rounds):
        for path in paths:
            before = processes.measure_cpu_s(path.address)
            await send_round(path.address, path.histogram, calls)
            path.cpu_s += processes.measure_cpu_s(path.address) - before
            path.calls += calls
    return list_rows(paths)


def list_rows(paths: list[Measured]) -> list[Row]:
    """Return the figures of all paths, and what each adds to direct calls."""
    rows: list[Row] = []
    direct = paths[0].histogram
    for path in paths:
        for percentile in PERCENTILES:
            value_us = path.histogram.get_value_at_percentile(percentile)
            params: dict[str, Param] = {"path": path.name, "percentile": percentile}
            rows.append(Row("call", params, value_us / 1000, "ms"))
            if path.name != "direct":
                added = value_us - direct.get_value_at_percentile(percentile)
                rows.append(Row("added", params, added / 1000, "ms"))
        cpu_us = path.cpu_s / path.calls * 1e6
        rows.append(Row("cpu", {"path": path.name}, cpu_us, "us/call"))
    return rows


def main(
    output: Annotated[Path | None, typer.Option()] = None, rounds: int = 20, calls: int = 315
) -> None:
    """Measure and write rows; `calls` are sent on each path in each round."""
    with run_processes() as processes:
        rows = uvloop.run(measure(processes, rounds, calls))
    publish_rows(rows, output)


if __name__ == "__main__":
    typer.run(main)
