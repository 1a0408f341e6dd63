"""The deployments of the examples, as processes on this machine."""

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
    """Services of one region, spread over its availability zones in turn."""

    region: str
    zones: tuple[str, ...]
    services: tuple[ServiceSize, ...]

    @property
    def size(self) -> int:
        """Return the number of upstreams, each with its daemon.

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
    """Start every upstream and daemon of `plan` and wait until all daemons answer."""
    nodes = []
    for service in plan.services:
        for number in range(service.upstreams):
            zone = plan.zones[number % len(plan.zones)]
            instance = f"{service.name}-{number + 1}"
            nodes.append(deployment.add_node(instance, zone, plan.region, service.name))
    deployment.wait_until("all daemons know each other", lambda: know_each_other(nodes))
    return nodes


def know_each_other(nodes: list[Settings]) -> bool:
    """Tell whether every daemon of `nodes` counts all of them."""
    statuses = [ask_status(node) for node in nodes]
    return all(status is not None and status.spread.total == len(nodes) for status in statuses)


def count_holders(nodes: list[Settings], version: int) -> int:
    """Return how many daemons hold `version` or a later one."""
    return sum(_ask_version(node) >= version for node in nodes)


def ask_status(node: Settings) -> Status | None:
    """Return what the daemon of `node` holds and knows; None when it does not answer."""
    answer = call_admin(node, "GET", "/v1/status")
    if answer is None or answer.status != 200:
        return None
    return msgspec.json.decode(answer.body, type=Status)


def _ask_version(node: Settings) -> int:
    status = ask_status(node)
    return -1 if status is None else status.version
