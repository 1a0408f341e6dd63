"""Measures membership across regions, and a region that loses the others for minutes."""

from godwitpass_testkit.experiments.membership_mesh import (
    Mesh,
)
from godwitpass_testkit.experiments.membership_observation import (
    FAULT_LIMIT_S,
    WARM_UP_S,
    holds_ready,
    measure_traffic,
    summarize,
    time_spread,
)
from godwitpass_testkit.measurements import Param, Row

OBSERVED_S = 60.0
REGIONS = 9
APART_S = 180.0


def measure_regions(members: int) -> list[Row]:
    """Run nine regions of `members` daemons, and let one lose the others for minutes."""
    mesh = Mesh(8, members)
    addresses = mesh.start_joined(REGIONS * members)
    mesh.queue.run(4 * WARM_UP_S)
    total = len(addresses)
    rows = measure_traffic(
        "nine regions, idle", mesh, total, lambda: mesh.queue.run(mesh.queue.now + OBSERVED_S)
    )
    drained = [addresses[index] for index in range(0, members, max(1, members // 5))]
    others = addresses[members:]
    times: list[float] = []
    for address in drained[:2]:
        mesh.drain(address)
        gone = mesh.places[address]
        times += time_spread(mesh, others, lambda node, gone=gone: holds_ready(node, gone))  # type: ignore[misc]
    rows += summarize("drain known in other regions", times, total)
    apart = set(addresses[:members])
    mesh.queue.is_blocked = lambda sender, to: (sender in apart) != (to in apart)
    mesh.queue.run(mesh.queue.now + APART_S)
    for address in drained[2:]:
        mesh.drain(address)
    mesh.queue.run(mesh.queue.now + OBSERVED_S)
    mesh.queue.is_blocked = lambda sender, to: False
    left = [mesh.places[address] for address in drained[2:]]

    def join_again() -> None:
        start = mesh.queue.now
        rejoined: list[float] = []
        for gone in left:
            rejoined += time_spread(
                mesh, others, lambda node, gone=gone: holds_ready(node, gone)  # type: ignore[misc]
            )
        assert max(rejoined) <= FAULT_LIMIT_S, "the regions have not joined again"
        known_after_s.append(mesh.queue.now - start)
        mesh.queue.run(start + OBSERVED_S)

    known_after_s: list[float] = []
    rows += measure_traffic("nine regions, one joins again", mesh, total, join_again)
    params: dict[str, Param] = {"members": total, "apart_s": APART_S, "changes": len(left)}
    return [*rows, Row("region joined again: all changes known", params, known_after_s[0], "s")]
