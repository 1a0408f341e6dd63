"""Measures the memory of one daemon that knows the whole mesh."""

import math
from collections.abc import Iterable
from typing import Any

import msgspec
import psutil

from godwitpass.ids import RegionId, ServiceName, ZoneId
from godwitpass.internal.membership.messages import SummaryUpdate
from godwitpass_testkit.experiments.membership_mesh import (
    SimulatedMesh,
    DaemonSpec,
    build_member_update,
    build_service_summaries,
)
from godwitpass_testkit.measurements import Param, Row

TARGET_UPSTREAMS = 13_000
TARGET_SERVICES = 2_500
TARGET_REGION = 1_450
MIB = 1 << 20


def measure_memory(full_detail: int) -> list[Row]:
    """Load the target's upstreams into one daemon, `full_detail` of them in its own region."""
    import godwitpass_daemon.main  # noqa: F401 - what a running daemon has imported

    process = psutil.Process()
    before = process.memory_info().rss
    mesh = SimulatedMesh(7, TARGET_UPSTREAMS)
    address = mesh.start(0)
    updates = (build_member_update(build_local_spec(number)) for number in range(full_detail))
    sums = build_remote_summaries(TARGET_UPSTREAMS - full_detail)
    mesh.install_records(address, map(_copy, updates), map(_copy, sums))
    find_node = mesh.find_node(address)
    services = [ServiceName(f"service-{number:04}") for number in range(TARGET_SERVICES)]
    held = sum(len(node.upstreams(service)) for service in services)
    listed = len(node.members())
    after = process.memory_info().rss
    params: dict[str, Param] = {"full_detail": full_detail, "upstreams": held, "members": listed}
    return [
        Row("resident memory with imports", params, before / MIB, "MiB"),
        Row("resident memory with all upstreams", params, after / MIB, "MiB"),
        Row("memory of membership", params, (after - before) / MIB, "MiB"),
    ]


def build_local_spec(number: int) -> DaemonSpec:
    """Return the place of a daemon in the first region, which has upstreams of all services."""
    service = ServiceName(f"service-{number % TARGET_SERVICES:04}")
    return DaemonSpec(number, RegionId("region-0"), ZoneId(f"zone-{number % 3:02}"), service)


def build_remote_spec(number: int) -> DaemonSpec:
    """Return the place of a daemon in one of the eight other regions."""
    region = 1 + number % 8
    zone = ZoneId(f"zone-{region * 3 + number % 3:02}")
    service = ServiceName(f"service-{number % TARGET_SERVICES:04}")
    return DaemonSpec(number + TARGET_REGION, RegionId(f"region-{region}"), zone, service)


def build_remote_summaries(count: int) -> Iterable[SummaryUpdate]:
    """Yield the sums over `count` daemons in other regions, one at a time."""
    pairs = math.lcm(8, TARGET_SERVICES)
    for first in range(min(count, pairs)):
        places = (build_remote_spec(number) for number in range(first, count, pairs))
        yield from build_service_summaries(places)


def _copy(update: Any) -> Any:
    """Return a copy with strings of its own, as it comes from the wire."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(update), type=type(update))
