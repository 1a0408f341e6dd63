from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from godwitpass.document import Document, Route, Service
from godwitpass.ids import RouteName, ServiceName
from godwitpass_daemon.settings import Settings
from godwitpass_testkit.deployment import Deployment, call_admin, request, run_deployment

ZONES = ("lakes-a", "lakes-b", "lakes-c")
SERVICE = ServiceName("status-desk")
DOCUMENT = Document(
    1,
    services=(Service(SERVICE),),
    routes=(Route(RouteName("status"), "/status", SERVICE),),
)


def held_version(settings: Settings) -> int:
    answer = call_admin(settings, "GET", "/v1/status")
    if answer is None or answer.status != 200:
        return -1
    return int(msgspec.json.decode(answer.body)["version"])


def apply(settings: Settings, document: Document) -> int:
    answer = call_admin(settings, "PUT", "/v1/document", msgspec.json.encode(document))
    assert answer is not None and answer.status == 200, answer
    return int(msgspec.json.decode(answer.body)["version"])


@pytest.fixture()
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    with run_deployment(tmp_path) as running:
        for zone in ZONES:
            running.add_node(f"desk-{zone}", zone, "great-lakes", SERVICE)
        nodes = list(running.nodes.values())
        running.wait_until(
            "all daemons answer", lambda: all(held_version(node) >= 0 for node in nodes)
        )
        yield running


class TestWholePath:
    def test_a_document_reaches_every_zone_and_calls_are_answered(
        self, deployment: Deployment
    ) -> None:
        nodes = list(deployment.nodes.values())
        version = apply(nodes[0], DOCUMENT)
        deployment.wait_until(
            "all zones hold it", lambda: all(held_version(node) >= version for node in nodes)
        )

        def answers_everywhere() -> bool:
            answers = [request("GET", node.listen.outer, "/status/1") for node in nodes]
            return all(answer is not None and answer.status == 200 for answer in answers)

        deployment.wait_until("calls are answered in all zones", answers_everywhere)

    def test_a_document_survives_the_death_of_the_daemon_that_accepted_it(
        self, deployment: Deployment
    ) -> None:
        first, *others = deployment.nodes.values()
        version = apply(first, DOCUMENT)
        deployment.kill(f"daemon-{first.instance}")
        deployment.wait_until(
            "the others hold it", lambda: all(held_version(node) >= version for node in others)
        )
        deployment.start_daemon(first.instance)
        deployment.wait_until("it holds it again", lambda: held_version(first) >= version)
