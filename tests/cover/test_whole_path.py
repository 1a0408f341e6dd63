"""The path of a document from an operator to calls, with real processes."""

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


def read_held_version(settings: Settings) -> int:
    response = call_admin(settings, "GET", "/v1/status")
    if response is None or response.status != 200:
        return -1
    return int(msgspec.json.decode(response.body)["version"])


def apply_document(settings: Settings, document: Document) -> int:
    response = call_admin(settings, "PUT", "/v1/document", msgspec.json.encode(document))
    assert response is not None and response.status == 200, response
    return int(msgspec.json.decode(response.body)["version"])


@pytest.fixture()
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    with run_deployment(tmp_path) as started_deployment:
        for zone in ZONES:
            started_deployment.add_node(f"desk-{zone}", zone, "great-lakes", SERVICE)
        nodes = list(started_deployment.nodes.values())
        started_deployment.wait_until(
            "all daemons answer", lambda: all(read_held_version(node) >= 0 for node in nodes)
        )
        yield started_deployment


class TestDocumentDelivery:
    def test_a_document_reaches_every_zone_and_its_routes_serve_calls(
        self, deployment: Deployment
    ) -> None:
        nodes = list(deployment.nodes.values())
        version = apply_document(nodes[0], DOCUMENT)
        deployment.wait_until(
            "all zones hold the version",
            lambda: all(read_held_version(node) >= version for node in nodes),
        )

        def all_zones_respond() -> bool:
            responses = [request("GET", node.listen.outer, "/status/1") for node in nodes]
            return all(response is not None and response.status == 200 for response in responses)

        deployment.wait_until("calls are answered in all zones", all_zones_respond)

    def test_a_document_survives_a_kill_of_the_daemon_that_accepted_it(
        self, deployment: Deployment
    ) -> None:
        first, *others = deployment.nodes.values()
        version = apply_document(first, DOCUMENT)
        deployment.kill(f"daemon-{first.instance}")
        deployment.wait_until(
            "the other daemons hold the version",
            lambda: all(read_held_version(node) >= version for node in others),
        )
        deployment.start_daemon(first.instance)
        deployment.wait_until(
            "the restarted daemon holds the version", lambda: read_held_version(first) >= version
        )
