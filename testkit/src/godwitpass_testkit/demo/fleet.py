"""Starts the deployments of `examples/` as processes on this machine."""

from pathlib import Path

import msgspec

from godwitpass.administration import Status
from godwitpass_daemon.settings import Settings
from godwitpass_testkit.deployment import Deployment, call_admin

EXAMPLES = Path(__file__).parents[4] / "examples"


class ServiceSize(msgspec.Struct, frozen=True):
    """A service and its number of upstreams."""

    name: str
    upstreams: int


class FleetPlan(msgspec.Struct, frozen=True):
    """The services of one region; their upstreams are assigned to its zones in turn."""

    region: str
    zones: tuple[str, ...]
    services: tuple[ServiceSize, ...]

    @property
    def size(self) -> int:
        """Return the number of upstreams, each of which has a daemon.

        >>> LAKESHORE.size, GUILD.size
        (14, 10)
        """
        return sum(service.upstreams for service in self.services)


LAKESHORE = FleetPlan(
    "great-lakes",
    ("lakes-a", "lakes-b", "lakes-c"),
    (
        ServiceSize("status-desk", 6),
        ServiceSize("contracts-core", 5),
        ServiceSize("grants-vault", 3),
    ),
)
GUILD = FleetPlan(
    "vest",
    ("bergen", "stavanger", "aalesund"),
    (ServiceSize("stoffbok", 4), ServiceSize("tilskjaering", 3), ServiceSize("maal", 3)),
)


def start_fleet(deployment: Deployment, plan: FleetPlan) -> list[Settings]:
    """Start the upstreams and daemons of `plan` and wait until all daemons know each other."""
    nodes = []
    for service in plan.services:
        for number in range(service.upstreams):
            zone = plan.zones[number % len(plan.zones)]
            instance = f"{service.name}-{number + 1}"
            nodes.append(deployment.add_node(instance, zone, plan.region, service.name))
    deployment.wait_until("all daemons know each other", lambda: is_membership_complete(nodes))
    return nodes


def is_membership_complete(nodes: list[Settings]) -> bool:
    """Tell whether each daemon of `nodes` knows all of them."""
    statuses = [fetch_status(node) for node in nodes]
    return all(status is not None and status.spread.total == len(nodes) for status in statuses)


def count_holders(nodes: list[Settings], version: int) -> int:
    """Return how many daemons of `nodes` hold `version` or a later one."""
    return sum(_fetch_version(node) >= version for node in nodes)


def fetch_status(node: Settings) -> Status | None:
    """Return the status of the daemon of `node`; None if it does not answer."""
    answer = call_admin(node, "GET", "/v1/status")
    if answer is None or answer.status != 200:
        return None
    return msgspec.json.decode(answer.body, type=Status)


def _fetch_version(node: Settings) -> int:
    status = fetch_status(node)
    return -1 if status is None else status.version
