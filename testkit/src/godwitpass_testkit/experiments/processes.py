"""Real daemons on the loopback interface: convergence under kills, and what a daemon costs.

`python -m godwitpass_testkit.experiments.processes --daemons 12 --daemons 48 --output FILE`
"""

import random
import re
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
import psutil
import typer

from godwitpass.administration import Timeline
from godwitpass.document import Document, Route, Service
from godwitpass.ids import InstanceId, RouteName, ServiceName
from godwitpass_daemon.settings import Settings
from godwitpass_testkit.demo.fleet import count_holders
from godwitpass_testkit.deployment import Deployment, call_admin, run_deployment
from godwitpass_testkit.measurements import Param, Row, write_rows

ZONES = (
    ("north-a", "north"),
    ("north-b", "north"),
    ("north-c", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
    ("south-c", "south"),
)
SERVICE = ServiceName("desk")
ACCEPTED_EVENT = "document-written"
ACTIVATED_EVENT = "version-activated"
KILLED_SHARE = 1 / 3
CHANGE_INTERVAL_S = 1.0
BYTES_PER_MB = 1_000_000
LARGE_DOCUMENT_DAEMONS = 6
TARGET_SERVICES = 2_500
PEER_BYTES = re.compile(r"godwitpass_peer_bytes_total\{[^}]*\} (\d+)")


class Usage(msgspec.Struct, frozen=True):
    """Totals of one daemon since its start."""

    cpu_s: float
    peer_bytes: int
    resident_bytes: int


def main(
    daemons: Annotated[list[int], typer.Option(help="Numbers of daemons to run, in turn.")],
    output: Annotated[Path, typer.Option(help="File for the rows.")],
    changes: Annotated[int, typer.Option(help="Changes applied in each part.")] = 10,
    idle_seconds: Annotated[float, typer.Option(help="Length of the idle part.")] = 20.0,
    services: Annotated[int, typer.Option(help="Services in the document.")] = 50,
) -> None:
    """Measure fleets of the given sizes and write the rows."""
    rows: list[Row] = []
    sizes = [(count, services) for count in daemons]
    for count, held in [*sizes, (LARGE_DOCUMENT_DAEMONS, TARGET_SERVICES)]:
        with (
            tempfile.TemporaryDirectory(prefix="godwitpass-processes-") as folder,
            run_deployment(Path(folder)) as deployment,
        ):
            measured = measure_fleet(deployment, count, changes, idle_seconds, held)
        rows += [
            msgspec.structs.replace(row, params={**row.params, "services": held})
            for row in measured
        ]
        write_rows(output, rows)
    for row in rows:
        print(f"{row.name:34} {row.params} {row.value:.4g} {row.unit}")


def measure_fleet(
    deployment: Deployment, count: int, changes: int, idle_seconds: float, services: int
) -> list[Row]:
    """Start `count` daemons and measure them idle, under changes and under kills."""
    started_at = time.monotonic()
    nodes = [_add_daemon(deployment, index) for index in range(count)]
    deployment.wait_until("all answer", lambda: count_holders(nodes, 0) == count)
    _apply(nodes[0], build_document(services, 0))
    deployment.wait_until("all hold the first", lambda: count_holders(nodes, 1) == count)
    start_s = time.monotonic() - started_at
    rows = [Row("start_to_first_version", {"daemons": count}, start_s, "s")]
    rows += _measure_usage(deployment, nodes, "idle", lambda: time.sleep(idle_seconds))
    spreads: list[list[float]] = []
    rows += _measure_usage(
        deployment,
        nodes,
        "changing",
        lambda: spreads.extend(_apply_changes(deployment, nodes, changes, services)),
    )
    rows += _summarize("convergence", {"daemons": count, "killed": 0}, spreads)
    killed = int(count * KILLED_SHARE)
    spreads = [
        _spread_under_kills(deployment, nodes, killed, round_number, services)
        for round_number in range(max(1, changes // 4))
    ]
    rows += _summarize("convergence", {"daemons": count, "killed": killed}, spreads)
    return rows


def build_document(services: int, mark: int) -> Document:
    """Build a document of `services` services; each `mark` gives other content."""
    named = [ServiceName(f"service-{index}") for index in range(services)]
    listed = [Service(SERVICE, slots=1 + mark % 64), *(Service(name) for name in named)]
    routes = [Route(RouteName("desk"), "/desk", SERVICE)]
    routes += [Route(RouteName(f"route-{name}"), f"/{name}", name) for name in named]
    return Document(1, tuple(listed), tuple(routes))


def _add_daemon(deployment: Deployment, index: int) -> Settings:
    zone, region = ZONES[index % len(ZONES)]
    return deployment.add_node(f"daemon-{index}", zone, region, SERVICE, has_upstream=False)


def _apply(node: Settings, document: Document) -> int:
    answer = call_admin(node, "PUT", "/v1/document", msgspec.json.encode(document))
    assert answer is not None and answer.status == 200, answer
    return int(msgspec.json.decode(answer.body)["version"])


def _apply_changes(
    deployment: Deployment, nodes: list[Settings], changes: int, services: int
) -> list[list[float]]:
    """Apply a change a second, and look at the daemons only when all are applied."""
    applied = []
    for mark in range(1, changes + 1):
        accepting = nodes[mark % len(nodes)]
        version = _apply(accepting, build_document(services, mark))
        applied.append((accepting, version))
        time.sleep(CHANGE_INTERVAL_S)
    _, last = applied[-1]
    deployment.wait_until(f"all hold {last}", lambda: count_holders(nodes, last) == len(nodes))
    return [_read_spread(accepting, nodes, version) for accepting, version in applied]


def _spread_under_kills(
    deployment: Deployment, nodes: list[Settings], killed: int, seed: int, services: int
) -> list[float]:
    """Kill half of the victims, which nobody noticed yet, then accept, then kill the rest."""
    chooser = random.Random(seed)
    accepting, *others = nodes
    victims = chooser.sample(others, killed)
    survivors = [node for node in nodes if node not in victims]
    for node in victims[: killed // 2]:
        deployment.kill(f"daemon-{node.instance}")
    version = _apply(accepting, build_document(services, 40 + seed))
    for node in victims[killed // 2 :]:
        deployment.kill(f"daemon-{node.instance}")
    deployment.wait_until(
        f"survivors hold {version}",
        lambda: count_holders(survivors, version) == len(survivors),
    )
    spread = _read_spread(accepting, survivors, version)
    for node in victims:
        deployment.start_daemon(InstanceId(node.instance))
    deployment.wait_until(
        f"the returned hold {version}", lambda: count_holders(nodes, version) == len(nodes)
    )
    return spread


def _read_spread(accepting: Settings, nodes: list[Settings], version: int) -> list[float]:
    """Return the seconds from acceptance to activation on each daemon; all share one clock."""
    accepted_at = min(
        event.time
        for event in _read_timeline(accepting).events
        if event.name == ACCEPTED_EVENT and event.fields.get("accepted") == version
    )
    delays = []
    for node in nodes:
        times = [
            event.time
            for event in _read_timeline(node).events
            if event.name == ACTIVATED_EVENT and event.version >= version
        ]
        # The store may show the version before the accepting daemon has logged its answer.
        delays.append(max(0.0, min(times) - accepted_at))
    return delays


def _read_timeline(node: Settings) -> Timeline:
    answer = call_admin(node, "GET", "/v1/timeline")
    assert answer is not None and answer.status == 200, answer
    return msgspec.json.decode(answer.body, type=Timeline)


def _summarize(name: str, params: dict[str, int], spreads: list[list[float]]) -> list[Row]:
    delays = sorted(delay for spread in spreads for delay in spread)
    rows = []
    for label, share in (("p50", 0.50), ("p99", 0.99), ("max", 1.0)):
        value = delays[min(len(delays) - 1, int(share * len(delays)))]
        rows.append(Row(name, {**params, "quantile": label}, value, "s"))
    return rows


def _measure_usage(
    deployment: Deployment, nodes: list[Settings], phase: str, work: Callable[[], None]
) -> list[Row]:
    before = {node.instance: _read_usage(deployment, node) for node in nodes}
    began = time.monotonic()
    work()
    elapsed = time.monotonic() - began
    after = {node.instance: _read_usage(deployment, node) for node in nodes}
    cpu = [(after[name].cpu_s - before[name].cpu_s) / elapsed * 100 for name in before]
    sent = [(after[name].peer_bytes - before[name].peer_bytes) / elapsed for name in before]
    resident = [after[name].resident_bytes / BYTES_PER_MB for name in before]
    params: dict[str, Param] = {"daemons": len(nodes), "phase": phase}
    rows = []
    for name, values, unit in (
        ("cpu", cpu, "% of a core"),
        ("peer_bytes", sent, "B/s"),
        ("resident", resident, "MB"),
    ):
        rows.append(Row(name, {**params, "of": "mean"}, sum(values) / len(values), unit))
        rows.append(Row(name, {**params, "of": "max"}, max(values), unit))
    return rows


def _read_usage(deployment: Deployment, node: Settings) -> Usage:
    process = psutil.Process(deployment.get_process_id(f"daemon-{node.instance}"))
    times = process.cpu_times()
    answer = call_admin(node, "GET", "/metrics")
    assert answer is not None and answer.status == 200, answer
    peer_bytes = sum(int(found) for found in PEER_BYTES.findall(answer.body.decode()))
    return Usage(times.user + times.system, peer_bytes, process.memory_info().rss)


if __name__ == "__main__":
    typer.run(main)
