"""Measures convergence and resource usage of real daemons on the loopback interface.

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

ZONES_WITH_REGIONS = (
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
FIRST_KILL_VARIANT = 40
"""First variant of the documents accepted under kills; `_apply_changes` uses lower ones."""

BYTES_PER_MB = 1_000_000
LARGE_DOCUMENT_DAEMONS = 6
TARGET_SERVICES = 2_500
PEER_BYTES_PATTERN = re.compile(r"godwitpass_peer_bytes_total\{[^}]*\} (\d+)")


class ResourceUsage(msgspec.Struct, frozen=True):
    """Resource usage of one daemon; CPU time and peer traffic are totals since its start."""

    cpu_s: float
    peer_bytes: int
    resident_bytes: int


def main(
    daemons: Annotated[
        list[int], typer.Option(help="Number of daemons to run; may be given several times.")
    ],
    output: Annotated[Path, typer.Option(help="File to write the rows to.")],
    changes: Annotated[int, typer.Option(help="Number of changes to apply.")] = 10,
    idle_seconds: Annotated[float, typer.Option(help="Duration of the idle phase.")] = 20.0,
    services: Annotated[int, typer.Option(help="Number of services in the document.")] = 50,
) -> None:
    """Measure fleets of the given sizes, and one with a large document, and write the rows."""
    rows: list[Row] = []
    sizes = [(daemon_count, services) for daemon_count in daemons]
    for daemon_count, service_count in [*sizes, (LARGE_DOCUMENT_DAEMONS, TARGET_SERVICES)]:
        with (
            tempfile.TemporaryDirectory(prefix="godwitpass-processes-") as folder,
            run_deployment(Path(folder)) as deployment,
        ):
            measured = measure_fleet(deployment, daemon_count, changes, idle_seconds, service_count)
        rows += [
            msgspec.structs.replace(row, params={**row.params, "services": service_count})
            for row in measured
        ]
        write_rows(output, rows)
    for row in rows:
        print(f"{row.name:34} {row.params} {row.value:.4g} {row.unit}")


def measure_fleet(
    deployment: Deployment, daemon_count: int, changes: int, idle_seconds: float, services: int
) -> list[Row]:
    """Start `daemon_count` daemons and measure them while idle, under changes and under kills."""
    started_at = time.monotonic()
    nodes = [_add_daemon(deployment, index) for index in range(daemon_count)]
    deployment.wait_until("all daemons answer", lambda: count_holders(nodes, 0) == daemon_count)
    _put_document(nodes[0], build_document(services, 0))
    deployment.wait_until(
        "all daemons hold the first version", lambda: count_holders(nodes, 1) == daemon_count
    )
    startup_s = time.monotonic() - started_at
    rows = [Row("start_to_first_version", {"daemons": daemon_count}, startup_s, "s")]
    rows += _measure_usage(deployment, nodes, "idle", lambda: time.sleep(idle_seconds))
    delay_lists: list[list[float]] = []
    rows += _measure_usage(
        deployment,
        nodes,
        "changing",
        lambda: delay_lists.extend(_apply_changes(deployment, nodes, changes, services)),
    )
    rows += _summarize("convergence", {"daemons": daemon_count, "killed": 0}, delay_lists)
    killed_count = int(daemon_count * KILLED_SHARE)
    delay_lists = [
        _measure_spread_under_kills(deployment, nodes, killed_count, round_number, services)
        for round_number in range(max(1, changes // 4))
    ]
    rows += _summarize(
        "convergence", {"daemons": daemon_count, "killed": killed_count}, delay_lists
    )
    return rows


def build_document(services: int, variant: int) -> Document:
    """Build a document with `services` services besides `desk`; up to 64 variants differ."""
    names = [ServiceName(f"service-{index}") for index in range(services)]
    service_list = [Service(SERVICE, slots=1 + variant % 64), *(Service(name) for name in names)]
    routes = [Route(RouteName("desk"), "/desk", SERVICE)]
    routes += [Route(RouteName(f"route-{name}"), f"/{name}", name) for name in names]
    return Document(1, tuple(service_list), tuple(routes))


def _add_daemon(deployment: Deployment, index: int) -> Settings:
    zone, region = ZONES_WITH_REGIONS[index % len(ZONES_WITH_REGIONS)]
    return deployment.add_node(f"daemon-{index}", zone, region, SERVICE, has_upstream=False)


def _put_document(node: Settings, document: Document) -> int:
    answer = call_admin(node, "PUT", "/v1/document", msgspec.json.encode(document))
    assert answer is not None and answer.status == 200, answer
    return int(msgspec.json.decode(answer.body)["version"])


def _apply_changes(
    deployment: Deployment, nodes: list[Settings], changes: int, services: int
) -> list[list[float]]:
    """Apply one change per second, and read the daemons' timelines only after the last."""
    accepted = []
    for variant in range(1, changes + 1):
        accepting_node = nodes[variant % len(nodes)]
        version = _put_document(accepting_node, build_document(services, variant))
        accepted.append((accepting_node, version))
        time.sleep(CHANGE_INTERVAL_S)
    _, last_version = accepted[-1]
    deployment.wait_until(
        f"all daemons hold version {last_version}",
        lambda: count_holders(nodes, last_version) == len(nodes),
    )
    return [
        _read_activation_delays(accepting_node, nodes, version)
        for accepting_node, version in accepted
    ]


def _measure_spread_under_kills(
    deployment: Deployment, nodes: list[Settings], killed_count: int, seed: int, services: int
) -> list[float]:
    """Kill half of the victims, accept a change before that is detected, and kill the rest."""
    rng = random.Random(seed)
    accepting_node, *others = nodes
    victims = rng.sample(others, killed_count)
    survivors = [node for node in nodes if node not in victims]
    for node in victims[: killed_count // 2]:
        deployment.kill(f"daemon-{node.instance}")
    version = _put_document(accepting_node, build_document(services, FIRST_KILL_VARIANT + seed))
    for node in victims[killed_count // 2 :]:
        deployment.kill(f"daemon-{node.instance}")
    deployment.wait_until(
        f"the survivors hold version {version}",
        lambda: count_holders(survivors, version) == len(survivors),
    )
    delays_s = _read_activation_delays(accepting_node, survivors, version)
    for node in victims:
        deployment.start_daemon(InstanceId(node.instance))
    deployment.wait_until(
        f"the restarted daemons hold version {version}",
        lambda: count_holders(nodes, version) == len(nodes),
    )
    return delays_s


def _read_activation_delays(
    accepting_node: Settings, nodes: list[Settings], version: int
) -> list[float]:
    """Return the seconds from acceptance to activation at each daemon; all share one clock."""
    accepted_at = min(
        event.time
        for event in _read_timeline(accepting_node).events
        if event.name == ACCEPTED_EVENT and event.fields.get("accepted") == version
    )
    delays_s = []
    for node in nodes:
        times = [
            event.time
            for event in _read_timeline(node).events
            if event.name == ACTIVATED_EVENT and event.version >= version
        ]
        # A daemon may read the version from the store before the accepting one logs its event.
        delays_s.append(max(0.0, min(times) - accepted_at))
    return delays_s


def _read_timeline(node: Settings) -> Timeline:
    answer = call_admin(node, "GET", "/v1/timeline")
    assert answer is not None and answer.status == 200, answer
    return msgspec.json.decode(answer.body, type=Timeline)


def _summarize(name: str, params: dict[str, int], delay_lists: list[list[float]]) -> list[Row]:
    delays_s = sorted(delay for delay_list in delay_lists for delay in delay_list)
    rows = []
    for quantile, share in (("p50", 0.50), ("p99", 0.99), ("max", 1.0)):
        delay_s = delays_s[min(len(delays_s) - 1, int(share * len(delays_s)))]
        rows.append(Row(name, {**params, "quantile": quantile}, delay_s, "s"))
    return rows


def _measure_usage(
    deployment: Deployment, nodes: list[Settings], phase: str, run_phase: Callable[[], None]
) -> list[Row]:
    before = {node.instance: _read_usage(deployment, node) for node in nodes}
    started_at = time.monotonic()
    run_phase()
    elapsed_s = time.monotonic() - started_at
    after = {node.instance: _read_usage(deployment, node) for node in nodes}
    cpu_percents = [(after[name].cpu_s - before[name].cpu_s) / elapsed_s * 100 for name in before]
    peer_bytes_per_s = [
        (after[name].peer_bytes - before[name].peer_bytes) / elapsed_s for name in before
    ]
    resident_mb = [after[name].resident_bytes / BYTES_PER_MB for name in before]
    params: dict[str, Param] = {"daemons": len(nodes), "phase": phase}
    rows = []
    for name, values, unit in (
        ("cpu", cpu_percents, "% of a core"),
        ("peer_bytes", peer_bytes_per_s, "B/s"),
        ("resident", resident_mb, "MB"),
    ):
        rows.append(Row(name, {**params, "of": "mean"}, sum(values) / len(values), unit))
        rows.append(Row(name, {**params, "of": "max"}, max(values), unit))
    return rows


def _read_usage(deployment: Deployment, node: Settings) -> ResourceUsage:
    process = psutil.Process(deployment.get_process_id(f"daemon-{node.instance}"))
    times = process.cpu_times()
    answer = call_admin(node, "GET", "/metrics")
    assert answer is not None and answer.status == 200, answer
    peer_bytes = sum(int(count) for count in PEER_BYTES_PATTERN.findall(answer.body.decode()))
    return ResourceUsage(times.user + times.system, peer_bytes, process.memory_info().rss)


if __name__ == "__main__":
    typer.run(main)
