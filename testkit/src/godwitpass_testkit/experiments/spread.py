"""Measures convergence, traffic and store calls of distribution and polling in virtual time.

`python -m godwitpass_testkit.experiments.spread --daemons 30 300 3000 --output FILE.json`
"""

import argparse
import math
import random
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from godwitpass.document import Document, Favour, Service
from godwitpass.ids import Address, ChangeId, Version
from godwitpass.internal.acceptance.record import (
    MAX_HISTORY_VERSIONS,
    ROOT_KEY,
    append_version,
    decode_root,
    encode_root,
)
from godwitpass.internal.distribution.tuning import BYTES_TUNING, CONVERGENCE_TUNING, Tuning
from godwitpass_testkit.experiments.naive_polling import PollingNode
from godwitpass_testkit.fleet import Fleet, build_document
from godwitpass_testkit.measurements import Param, Row, fit_line, select_rows, write_rows

TARGET_DAEMONS = 13_000
MAX_ZONES = 23
"""Number of availability zones at the target size."""

MIN_DAEMONS_PER_ZONE = 13
MIN_FITTED_DAEMONS = MAX_ZONES * MIN_DAEMONS_PER_ZONE
WARM_UP_S = 25.0
IDLE_DURATION_S = 60.0
CONVERGENCE_LIMIT_S = 60.0
PARTITION_S = 60.0
DETECTION_TIME_S = 5.0
"""Time until membership detects killed daemons."""

BURST_CHANGES = 50
BURST_DURATION_S = 5.0
LARGE_CHANGE_SHARE = 0.2
CURVE_POINTS = 5


class Scenario(msgspec.Struct, frozen=True):
    """The fleet that one measurement runs with; `tuning` replaces the one `favour` selects."""

    daemons: int
    services: int
    favour: Favour = Favour.CONVERGENCE
    is_naive: bool = False
    tuning: Tuning | None = None

    @property
    def params(self) -> dict[str, Param]:
        """Return the scenario as the parameters of a row."""
        system = "polling" if self.is_naive else "distribution"
        return {"system": system, "daemons": self.daemons, "favour": self.favour.value}


Change = Callable[[Fleet, Scenario], Version]
"""Accepts one or more versions and returns the last one."""

Fault = Callable[[Fleet], None]


def change_one(fleet: Fleet, scenario: Scenario) -> Version:
    """Accept a version that changes one service, and return it."""
    return fleet.accept(build_document(scenario.services, scenario.favour, 1), "small")


def change_many(fleet: Fleet, scenario: Scenario) -> Version:
    """Accept a version that changes a fifth of the services, and return it."""
    document = build_document(scenario.services, scenario.favour)
    count = int(scenario.services * LARGE_CHANGE_SHARE)
    changed = [Service(service.name, slots=99) for service in document.services[:count]]
    services = (*changed, *document.services[count:])
    replaced: Document = msgspec.structs.replace(document, services=services)
    return fleet.accept(replaced, "large")


def change_in_burst(fleet: Fleet, scenario: Scenario) -> Version:
    """Accept many versions one after another, and return the last one."""
    version = Version(0)
    started_at = fleet.queue.now
    for number in range(1, BURST_CHANGES + 1):
        fleet.queue.run(started_at + BURST_DURATION_S * number / BURST_CHANGES)
        document = build_document(scenario.services, scenario.favour, number)
        version = fleet.accept(document, f"burst-{number}")
    return version


def inject_no_fault(fleet: Fleet) -> None:
    """Inject no fault."""


def kill_third(fleet: Fleet) -> None:
    """Kill a third of the daemons; membership detects it later."""
    addresses = fleet.queue.addresses()
    fleet.kill(random.Random(1).sample(addresses, len(addresses) // 3))
    fleet.queue.call_at(fleet.queue.now + DETECTION_TIME_S, fleet.sync_membership)


def kill_zone(fleet: Fleet) -> None:
    """Kill all daemons of an availability zone; membership detects it later."""
    zone = fleet.zones[0]
    fleet.kill([member.address for member in fleet.members if member.zone == zone])
    fleet.queue.call_at(fleet.queue.now + DETECTION_TIME_S, fleet.sync_membership)


def cut_store_off_most_zones(fleet: Fleet) -> None:
    """Cut all availability zones but one off from the store."""
    connected_zone = fleet.zones[-1]
    fleet.store.is_cut_off = (
        lambda address: fleet.members_by_address[address].zone != connected_zone
    )


def partition_region(fleet: Fleet) -> None:
    """Partition one region from the others and the store for `PARTITION_S`.

    Convergence is measured from the end of the partition.
    """

    def is_isolated(address: Address) -> bool:
        return fleet.members_by_address[address].region == "region-0"

    def reconnect() -> None:
        fleet.store.is_cut_off = lambda address: False
        fleet.queue.is_blocked = lambda sender, to: False

    fleet.store.is_cut_off = is_isolated
    fleet.queue.is_blocked = lambda sender, to: is_isolated(sender) != is_isolated(to)
    fleet.queue.call_at(fleet.queue.now + PARTITION_S, reconnect)


def restart_all(fleet: Fleet) -> None:
    """Kill all daemons and restart them at once."""
    addresses = fleet.queue.addresses()
    fleet.kill(addresses)
    fleet.start(addresses)


CHANGES: dict[str, Change] = {
    "small": change_one,
    "large": change_many,
    "burst": change_in_burst,
}
FAULTS: dict[str, Fault] = {
    "none": inject_no_fault,
    "third-killed": kill_third,
    "zone-lost": kill_zone,
    "store-lost-in-most-zones": cut_store_off_most_zones,
    "region-parted-60s": partition_region,
    "all-restarted": restart_all,
}


def build_fleet(scenario: Scenario) -> Fleet:
    """Build a fleet that holds its first version and run it through the warm-up."""
    zones = min(MAX_ZONES, max(3, scenario.daemons // MIN_DAEMONS_PER_ZONE))
    build_node = PollingNode if scenario.is_naive else None
    fleet = Fleet(scenario.daemons, zones, tuning=scenario.tuning, build_node=build_node)
    fleet.accept(build_document(scenario.services, scenario.favour), "first")
    first_version = fill_history(fleet)
    fleet.start_all()
    fleet.queue.run(WARM_UP_S)
    assert fleet.list_versions() == {first_version}, "the first version did not arrive"
    return fleet


def fill_history(fleet: Fleet) -> Version:
    """Fill the history in the root record, so that it has the size of a long-running system."""
    root = decode_root(fleet.store.memory.get(ROOT_KEY))
    while len(root.history) < MAX_HISTORY_VERSIONS:
        version = Version(root.version + 1)
        change = ChangeId(f"{version:032x}")
        entry = msgspec.structs.replace(root.newest, version=version, change=change)
        root = append_version(root, entry, None)
    fleet.store.write(ROOT_KEY, encode_root(root))
    return root.version


def measure_idle(scenario: Scenario) -> list[Row]:
    """Measure traffic and store calls without any change."""
    fleet = build_fleet(scenario)
    bytes_before, calls_before = fleet.count_control_bytes(), sum(fleet.store.calls.values())
    fleet.queue.run(fleet.queue.now + IDLE_DURATION_S)
    byte_counts = sorted(
        after - bytes_before[address] for address, after in fleet.count_control_bytes().items()
    )
    call_count = sum(fleet.store.calls.values()) - calls_before
    params = scenario.params
    return [
        Row(
            "idle_bytes",
            {**params, "of": "mean"},
            sum(byte_counts) / len(byte_counts) / IDLE_DURATION_S,
            "B/s",
        ),
        Row("idle_bytes", {**params, "of": "max"}, byte_counts[-1] / IDLE_DURATION_S, "B/s"),
        Row("idle_store_calls", params, call_count / IDLE_DURATION_S, "calls/s"),
    ]


def measure_spread(scenario: Scenario, change: str, fault: str) -> list[Row]:
    """Measure how a change spreads while a fault is present."""
    fleet = build_fleet(scenario)
    bytes_before, calls_before = fleet.count_control_bytes(), sum(fleet.store.calls.values())
    started_at = fleet.queue.now
    FAULTS[fault](fleet)
    version = CHANGES[change](fleet, scenario)
    accepted_at = fleet.queue.now
    if fault == "region-parted-60s":
        fleet.queue.run(started_at + PARTITION_S)
        accepted_at = fleet.queue.now
    has_converged = fleet.queue.run_until(
        lambda: len(fleet.activation_times_s.get(version, ())) >= len(fleet.queue)
        and fleet.is_held(version),
        accepted_at + CONVERGENCE_LIMIT_S,
    )
    # The cost of a change includes acknowledgements and reports, which follow its activation.
    fleet.queue.run(fleet.queue.now + 1.0)
    times = fleet.activation_times_s.get(version, {}).items()
    delays_s = sorted(
        max(0.0, at - accepted_at) for address, at in times if fleet.queue.is_alive(address)
    )
    params = {**scenario.params, "change": change, "fault": fault}
    byte_counts = sorted(
        after - bytes_before[address] for address, after in fleet.count_control_bytes().items()
    )
    call_count = sum(fleet.store.calls.values()) - calls_before
    rows = [
        Row(
            "convergence",
            {**params, "quantile": name},
            delays_s[int((len(delays_s) - 1) * share)],
            "s",
        )
        for name, share in (("p50", 0.5), ("p99", 0.99), ("max", 1.0))
    ]
    return [
        *rows,
        Row("converged", params, float(has_converged), "1 if within the limit"),
        Row("change_bytes", {**params, "of": "mean"}, sum(byte_counts) / len(byte_counts), "B"),
        Row("change_bytes", {**params, "of": "max"}, float(byte_counts[-1]), "B"),
        Row("change_store_calls", params, float(call_count), "calls"),
    ]


def interpolate_tuning(share: float) -> Tuning:
    """Return the tuning at `share` between favouring convergence (0) and bytes (1)."""
    tunings = (msgspec.structs.astuple(tuning) for tuning in (CONVERGENCE_TUNING, BYTES_TUNING))
    return Tuning(
        *(
            type(convergence_value)(convergence_value * (bytes_value / convergence_value) ** share)
            for convergence_value, bytes_value in zip(*tunings, strict=True)
        )
    )


def measure_curve(daemons: int, services: int) -> list[Row]:
    """Measure tunings between convergence and bytes, with a third killed and in a burst."""
    rows = []
    for point in range(CURVE_POINTS):
        share = point / (CURVE_POINTS - 1)
        scenario = Scenario(daemons, services, tuning=interpolate_tuning(share))
        measured = measure_idle(scenario)
        measured += measure_spread(scenario, "small", "third-killed")
        measured += measure_spread(scenario, "burst", "none")
        rows += [
            msgspec.structs.replace(
                row, name=f"curve_{row.name}", params=row.params | {"at": share}
            )
            for row in measured
        ]
    return rows


def extrapolate(rows: list[Row]) -> list[Row]:
    """Return rows at the target size, extrapolated by lines fitted to the measured sizes.

    Times grow with the depth of the trees, so they are fitted over the logarithm of the size. Means
    of bytes are fitted over the reciprocal of the size: they include a share of what the readers of
    each availability zone spend, which does not depend on the size.
    """
    extrapolated: list[Row] = []
    for row in rows:
        params = {key: value for key, value in row.params.items() if key != "daemons"}
        name = f"{row.name}_at_target"
        if row.name == "converged" or select_rows(extrapolated, name, **params):
            continue
        matching = select_rows(rows, row.name, **params)
        # Smaller fleets have fewer availability zones, on which most values depend.
        fitted = [other for other in matching if int(other.params["daemons"]) >= MIN_FITTED_DAEMONS]
        scale = _choose_scale(row)
        points = [(scale(float(other.params["daemons"])), other.value) for other in fitted]
        if len(points) >= 2:
            value = fit_line(points).at(scale(TARGET_DAEMONS))
            extrapolated.append(Row(name, {**params, "daemons": TARGET_DAEMONS}, value, row.unit))
    return extrapolated


def _choose_scale(row: Row) -> Callable[[float], float]:
    if row.name == "convergence":
        return math.log
    return _compute_reciprocal if row.params.get("of") == "mean" else float


def _compute_reciprocal(size: float) -> float:
    return 1 / size


def measure_all(daemons: list[int], services: int) -> list[Row]:
    """Measure all sizes, changes and faults with distribution and with polling."""
    rows: list[Row] = []
    for count in daemons:
        for scenario in (
            Scenario(count, services),
            Scenario(count, services, Favour.BYTES),
            Scenario(count, services, is_naive=True),
        ):
            started_at = time.monotonic()
            rows += measure_idle(scenario)
            for change in CHANGES:
                rows += measure_spread(scenario, change, "none")
            for fault in FAULTS:
                if fault != "none" and not scenario.is_naive:
                    rows += measure_spread(scenario, "small", fault)
            print(scenario.params, f"{time.monotonic() - started_at:.1f} s", flush=True)
    return rows


def main() -> None:
    """Measure the given sizes, extrapolate to the target size and write the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, nargs="+", default=[30, 300])
    parser.add_argument("--services", type=int, default=2500)
    parser.add_argument("--curve-daemons", type=int, default=300)
    parser.add_argument("--output", type=Path, required=True)
    arguments = parser.parse_args()
    rows = measure_all(arguments.daemons, arguments.services)
    rows += extrapolate(rows)
    rows += measure_curve(arguments.curve_daemons, arguments.services)
    write_rows(arguments.output, rows)
    for row in rows:
        print(f"{row.name:28} {row.params} {row.value:.4g} {row.unit}")


if __name__ == "__main__":
    main()
