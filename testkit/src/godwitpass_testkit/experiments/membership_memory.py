"""Measures the memory of one daemon that knows all daemons of the target size."""

import math
from collections.abc import Iterable
from typing import Any

import msgspec
import psutil

from godwitpass.ids import RegionId, ServiceName, ZoneId
from godwitpass.internal.membership.messages import SummaryUpdate
from godwitpass_testkit.experiments.membership_mesh import (
    DaemonSpec,
    SimulatedMesh,
    build_member_update,
    build_service_summaries,
)
from godwitpass_testkit.measurements import Param, Row

TARGET_UPSTREAMS = 13_000
TARGET_SERVICES = 2_500
TARGET_REGION_DAEMONS = 1_450
OTHER_REGIONS = 8
MIB = 1 << 20


def measure_memory(full_detail: int) -> list[Row]:
    """Measure one daemon that knows 13,000 upstreams, `full_detail` of them in its own region."""
    import godwitpass_daemon.main  # noqa: F401 - loads what a running daemon imports

    process = psutil.Process()
    before_bytes = process.memory_info().rss
    mesh = SimulatedMesh(7, TARGET_UPSTREAMS)
    address = mesh.start(0)
    updates = (build_member_update(build_local_spec(number)) for number in range(full_detail))
    summaries = build_remote_summaries(TARGET_UPSTREAMS - full_detail)
    mesh.install_records(address, map(_decode_copy, updates), map(_decode_copy, summaries))
    node = mesh.find_node(address)
    services = [ServiceName(f"service-{number:04}") for number in range(TARGET_SERVICES)]
    known_upstreams = sum(len(node.upstreams(service)) for service in services)
    listed_members = len(node.members())
    after_bytes = process.memory_info().rss
    params: dict[str, Param] = {
        "full_detail": full_detail,
        "upstreams": known_upstreams,
        "members": listed_members,
    }
    return [
        Row("resident memory with imports", params, before_bytes / MIB, "MiB"),
        Row("resident memory with all upstreams", params, after_bytes / MIB, "MiB"),
        Row("memory of membership", params, (after_bytes - before_bytes) / MIB, "MiB"),
    ]


def build_local_spec(number: int) -> DaemonSpec:
    """Return the daemon `number` of the first region, which has upstreams of all services."""
    service = ServiceName(f"service-{number % TARGET_SERVICES:04}")
    return DaemonSpec(number, RegionId("region-0"), ZoneId(f"zone-{number % 3:02}"), service)


def build_remote_spec(number: int) -> DaemonSpec:
    """Return the daemon `number` of the other regions."""
    region = 1 + number % OTHER_REGIONS
    zone = ZoneId(f"zone-{region * 3 + number % 3:02}")
    service = ServiceName(f"service-{number % TARGET_SERVICES:04}")
    return DaemonSpec(number + TARGET_REGION_DAEMONS, RegionId(f"region-{region}"), zone, service)


def build_remote_summaries(count: int) -> Iterable[SummaryUpdate]:
    """Yield the service summaries of `count` daemons in other regions, one at a time."""
    service_region_pairs = math.lcm(OTHER_REGIONS, TARGET_SERVICES)
    for first in range(min(count, service_region_pairs)):
        specs = (build_remote_spec(number) for number in range(first, count, service_region_pairs))
        yield from build_service_summaries(specs)


def _decode_copy(update: Any) -> Any:
    """Return a copy with strings of its own, as a decoded message has."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(update), type=type(update))
