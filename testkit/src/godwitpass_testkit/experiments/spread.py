"""Distribution in virtual time: convergence, control bytes and store calls, beside polling.

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
from godwitpass_testkit.measurements import Param, Row, fit_slope, select_rows, write_rows

TARGET_DAEMONS = 13_000
MAX_ZONES = 23
MIN_DAEMONS_PER_ZONE = 13
MIN_FITTED_DAEMONS = MAX_ZONES * MIN_DAEMONS_PER_ZONE
WARM_UP_S = 25.0
IDLE_S = 60.0
LIMIT_S = 60.0
DETECTION_S = 5.0
"""Time after which membership knows of deaths."""

BURST = 50
BURST_S = 5.0
LARGE_SHARE = 0.2
CURVE_STEPS = 5


class Setting(msgspec.Struct, frozen=True):
    """What one measurement runs with."""

    daemons: int
    services: int
    favour: Favour = Favour.CONVERGENCE
    naive: bool = False
    tuning: Tuning | None = None

    @property
    def params(self) -> dict[str, Param]:
        """Return the setting as the parameters of a row."""
        system = "polling" if self.naive else "distribution"
        return {"system": system, "daemons": self.daemons, "favour": self.favour.value}


Change = Callable[[Fleet, Setting], Version]
Fault = Callable[[Fleet], None]


def change_one(fleet: Fleet, setting: Setting) -> Version:
    """Accept a version that changes one service."""
    return fleet.accept(build_document(setting.services, setting.favour, 1), "small")


def change_many(fleet: Fleet, setting: Setting) -> Version:
    """Accept a version that changes a fifth of the services."""
    document = build_document(setting.services, setting.favour)
    count = int(setting.services * LARGE_SHARE)
    changed = [Service(item.name, slots=99) for item in document.services[:count]]
    services = (*changed, *document.services[count:])
    replaced: Document = msgspec.structs.replace(document, services=services)
    return fleet.accept(replaced, "large")


def change_in_burst(fleet: Fleet, setting: Setting) -> Version:
    """Accept many versions in a row, and return the last one, just accepted."""
    version = Version(0)
    began = fleet.queue.now
    for number in range(1, BURST + 1):
        fleet.queue.run(began + BURST_S * number / BURST)
        document = build_document(setting.services, setting.favour, number)
        version = fleet.accept(document, f"burst-{number}")
    return version


def leave_whole(fleet: Fleet) -> None:
    """Let nothing fail."""


def kill_third(fleet: Fleet) -> None:
    """Kill a third of the daemons, unnoticed at first."""
    addresses = fleet.queue.addresses()
    fleet.kill(random.Random(1).sample(addresses, len(addresses) // 3))
    fleet.queue.call_at(fleet.queue.now + DETECTION_S, fleet.sync_membership)


def lose_zone(fleet: Fleet) -> None:
    """Kill a whole availability zone, unnoticed at first."""
    zone = fleet.zones[0]
    fleet.kill([item.address for item in fleet.members if item.zone == zone])
    fleet.queue.call_at(fleet.queue.now + DETECTION_S, fleet.sync_membership)


def lose_store_in_most_zones(fleet: Fleet) -> None:
    """Cut all availability zones but one off the store."""
    kept = fleet.zones[-1]
    fleet.store.is_cut_off = lambda address: fleet.members_by_address[address].zone != kept


def part_regions(fleet: Fleet) -> None:
    """Part one region from the rest and the store for a minute; measured from its return."""

    def is_cut(address: Address) -> bool:
        return fleet.members_by_address[address].region == "region-0"

    def join() -> None:
        fleet.store.is_cut_off = lambda address: False
        fleet.queue.is_blocked = lambda sender, to: False

    fleet.store.is_cut_off = is_cut
    fleet.queue.is_blocked = lambda sender, to: is_cut(sender) != is_cut(to)
    fleet.queue.call_at(fleet.queue.now + 60.0, join)


def restart_all(fleet: Fleet) -> None:
    """Kill all daemons and start them again at once."""
    addresses = fleet.queue.addresses()
    fleet.kill(addresses)
    fleet.start(addresses)


CHANGES: dict[str, Change] = {
    "small": change_one,
    "large": change_many,
    "burst": change_in_burst,
}
FAULTS: dict[str, Fault] = {
    "none": leave_whole,
    "third-killed": kill_third,
    "zone-lost": lose_zone,
    "store-lost-in-most-zones": lose_store_in_most_zones,
    "region-parted-60s": part_regions,
    "all-restarted": restart_all,
}


def build_fleet(setting: Setting) -> Fleet:
    """Build a fleet that holds its first version."""
    zones = min(MAX_ZONES, max(3, setting.daemons // MIN_DAEMONS_PER_ZONE))
    build_node = PollingNode if setting.naive else None
    fleet = Fleet(setting.daemons, zones, tuning=setting.tuning, build_node=build_node)
    fleet.accept(build_document(setting.services, setting.favour), "first")
    first = fill_history(fleet)
    fleet.start_all()
    fleet.queue.run(WARM_UP_S)
    assert fleet.list_versions() == {first}, "the first version did not arrive"
    return fleet


def fill_history(fleet: Fleet) -> Version:
    """Bring the root record to the size that it has in the long run."""
    root = decode_root(fleet.store.memory.get(ROOT_KEY))
    while len(root.history) < MAX_HISTORY_VERSIONS:
        version = Version(root.version + 1)
        change = ChangeId(f"{version:032x}")
        following = msgspec.structs.replace(root.newest, version=version, change=change)
        root = append_version(root, following, None)
    fleet.store.write(ROOT_KEY, encode_root(root))
    return root.version


def measure_idle(setting: Setting) -> list[Row]:
    """Measure bytes and store calls without any change."""
    fleet = build_fleet(setting)
    before, calls = fleet.count_control_bytes(), sum(fleet.store.calls.values())
    fleet.queue.run(fleet.queue.now + IDLE_S)
    spent = sorted(after - before[item] for item, after in fleet.count_control_bytes().items())
    made = sum(fleet.store.calls.values()) - calls
    params = setting.params
    return [
        Row("idle_bytes", {**params, "of": "mean"}, sum(spent) / len(spent) / IDLE_S, "B/s"),
        Row("idle_bytes", {**params, "of": "max"}, spent[-1] / IDLE_S, "B/s"),
        Row("idle_store_calls", params, made / IDLE_S, "calls/s"),
    ]


def measure_spread(setting: Setting, change: str, fault: str) -> list[Row]:
    """Measure how one change spreads while something fails."""
    fleet = build_fleet(setting)
    before, calls = fleet.count_control_bytes(), sum(fleet.store.calls.values())
    began = fleet.queue.now
    FAULTS[fault](fleet)
    version = CHANGES[change](fleet, setting)
    accepted = fleet.queue.now
    if fault == "region-parted-60s":
        fleet.queue.run(began + 60.0)
        accepted = fleet.queue.now
    reached = fleet.queue.run_until(
        lambda: len(fleet.activation_times_s.get(version, ())) >= len(fleet.queue)
        and fleet.is_held(version),
        accepted + LIMIT_S,
    )
    # Acknowledgements and reports belong to the cost of the change.
    fleet.queue.run(fleet.queue.now + 1.0)
    times = fleet.activation_times_s.get(version, {}).items()
    alive = sorted(max(0.0, at - accepted) for item, at in times if fleet.queue.is_alive(item))
    params = {**setting.params, "change": change, "fault": fault}
    spent = sorted(after - before[item] for item, after in fleet.count_control_bytes().items())
    made = sum(fleet.store.calls.values()) - calls
    rows = [
        Row("convergence", {**params, "quantile": name}, alive[int((len(alive) - 1) * at)], "s")
        for name, at in (("p50", 0.5), ("p99", 0.99), ("max", 1.0))
    ]
    return [
        *rows,
        Row("converged", params, float(reached), "1 if within the limit"),
        Row("change_bytes", {**params, "of": "mean"}, sum(spent) / len(spent), "B"),
        Row("change_bytes", {**params, "of": "max"}, float(spent[-1]), "B"),
        Row("change_store_calls", params, float(made), "calls"),
    ]


def blend(share: float) -> Tuning:
    """Return constants between favouring convergence (0) and bytes (1)."""
    ends = (msgspec.structs.astuple(item) for item in (CONVERGENCE_TUNING, BYTES_TUNING))
    return Tuning(
        *(type(low)(low * (high / low) ** share) for low, high in zip(*ends, strict=True))
    )


def measure_curve(daemons: int, services: int) -> list[Row]:
    """Measure the way between the two ends, with a third killed and in a burst."""
    rows = []
    for step in range(CURVE_STEPS):
        share = step / (CURVE_STEPS - 1)
        setting = Setting(daemons, services, tuning=blend(share))
        measured = measure_idle(setting)
        measured += measure_spread(setting, "small", "third-killed")
        measured += measure_spread(setting, "burst", "none")
        rows += [
            msgspec.structs.replace(
                row, name=f"curve_{row.name}", params=row.params | {"at": share}
            )
            for row in measured
        ]
    return rows


def extrapolate(rows: list[Row]) -> list[Row]:
    """Return what lines through the measured sizes give at the target.

    Times grow with the depth of the trees, thus are fitted over the logarithm of the size. Means
    of bytes hold a share of what the readers of each availability zone spend, whatever the size.
    """
    found: list[Row] = []
    for row in rows:
        given = {key: value for key, value in row.params.items() if key != "daemons"}
        name = f"{row.name}_at_target"
        if row.name == "converged" or select_rows(found, name, **given):
            continue
        same = select_rows(rows, row.name, **given)
        # Smaller fleets have fewer availability zones, on which most figures depend.
        sizes = [item for item in same if int(item.params["daemons"]) >= MIN_FITTED_DAEMONS]
        scale = _choose_scale(row)
        points = [(scale(float(item.params["daemons"])), item.value) for item in sizes]
        if len(points) >= 2:
            value = fit_slope(points).at(scale(TARGET_DAEMONS))
            found.append(Row(name, {**given, "daemons": TARGET_DAEMONS}, value, row.unit))
    return found


def _choose_scale(row: Row) -> Callable[[float], float]:
    if row.name == "convergence":
        return math.log
    return _invert if row.params.get("of") == "mean" else float


def _invert(size: float) -> float:
    return 1 / size


def measure_all(daemons: list[int], services: int) -> list[Row]:
    """Measure all sizes, changes, faults and both systems."""
    rows: list[Row] = []
    for count in daemons:
        for setting in (
            Setting(count, services),
            Setting(count, services, Favour.BYTES),
            Setting(count, services, naive=True),
        ):
            began = time.monotonic()
            rows += measure_idle(setting)
            for change in CHANGES:
                rows += measure_spread(setting, change, "none")
            for fault in FAULTS:
                if fault != "none" and not setting.naive:
                    rows += measure_spread(setting, "small", fault)
            print(setting.params, f"{time.monotonic() - began:.1f} s", flush=True)
    return rows


def main() -> None:
    """Measure and write the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, nargs="+", default=[30, 300])
    parser.add_argument("--services", type=int, default=2500)
    parser.add_argument("--curve-daemons", type=int, default=300)
    parser.add_argument("--output", type=Path, required=True)
    given = parser.parse_args()
    rows = measure_all(given.daemons, given.services)
    rows += extrapolate(rows)
    rows += measure_curve(given.curve_daemons, given.services)
    write_rows(given.output, rows)
    for row in rows:
        print(f"{row.name:28} {row.params} {row.value:.4g} {row.unit}")


if __name__ == "__main__":
    main()
