"""Measures membership across regions, also while one region is partitioned from the others."""

from godwitpass_testkit.experiments.membership_mesh import (
    SimulatedMesh,
)
from godwitpass_testkit.experiments.membership_observation import (
    PROPAGATION_LIMIT_S,
    WARM_UP_S,
    is_known_ready,
    measure_propagation,
    measure_traffic,
    summarize_times,
)
from godwitpass_testkit.measurements import Param, Row

OBSERVATION_S = 60.0
REGIONS = 9
PARTITION_S = 180.0


def measure_regions(members: int) -> list[Row]:
    """Run nine regions of `members` daemons each and partition one of them for minutes."""
    mesh = SimulatedMesh(8, members)
    addresses = mesh.start_converged(REGIONS * members)
    mesh.queue.run(4 * WARM_UP_S)
    daemon_count = len(addresses)
    rows = measure_traffic(
        "nine regions, idle",
        mesh,
        daemon_count,
        lambda: mesh.queue.run(mesh.queue.now + OBSERVATION_S),
    )
    drained_addresses = [addresses[index] for index in range(0, members, max(1, members // 5))]
    remote_addresses = addresses[members:]
    drain_times_s: list[float] = []
    for address in drained_addresses[:2]:
        mesh.drain(address)
        spec = mesh.specs[address]
        drain_times_s += measure_propagation(
            mesh,
            remote_addresses,
            lambda node, target=spec: is_known_ready(node, target),  # type: ignore[misc]
        )
    rows += summarize_times("drain known in other regions", drain_times_s, daemon_count)
    isolated = set(addresses[:members])
    mesh.queue.is_blocked = lambda sender, to: (sender in isolated) != (to in isolated)
    mesh.queue.run(mesh.queue.now + PARTITION_S)
    for address in drained_addresses[2:]:
        mesh.drain(address)
    mesh.queue.run(mesh.queue.now + OBSERVATION_S)
    mesh.queue.is_blocked = lambda sender, to: False
    drained_specs = [mesh.specs[address] for address in drained_addresses[2:]]

    def run_until_rejoined() -> None:
        start = mesh.queue.now
        propagation_times_s: list[float] = []
        for spec in drained_specs:
            propagation_times_s += measure_propagation(
                mesh,
                remote_addresses,
                lambda node, target=spec: is_known_ready(node, target),  # type: ignore[misc]
            )
        assert (
            max(propagation_times_s) <= PROPAGATION_LIMIT_S
        ), "other regions did not learn of all drains"
        rejoin_times_s.append(mesh.queue.now - start)
        mesh.queue.run(start + OBSERVATION_S)

    rejoin_times_s: list[float] = []
    rows += measure_traffic("nine regions, one joins again", mesh, daemon_count, run_until_rejoined)
    params: dict[str, Param] = {
        "members": daemon_count,
        "apart_s": PARTITION_S,
        "changes": len(drained_specs),
    }
    return [*rows, Row("region joined again: all changes known", params, rejoin_times_s[0], "s")]
