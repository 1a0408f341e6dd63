"""Tests of the administration API of daemon processes, over TCP connections."""

import contextlib
import socket
import threading
from collections.abc import Iterator

import msgspec
import pytest

from godwitpass.administration import History, Problem, VersionRecord
from godwitpass.document import Document, Route, Service
from godwitpass.ids import RouteName, ServiceName
from godwitpass_daemon.settings import Settings
from godwitpass_testkit.deployment import Answer, Deployment, call_admin, run_deployment

ROUNDS = 3
OPERATORS = 4
SERVICE = ServiceName("maal")
ROUTE = Route(RouteName("scan"), "/scan", SERVICE)

MALFORMED_REQUESTS = [
    b"\x00\xff\xfe" * 50,
    b"PUT /v1/document HTTP/1.1\r\ncontent-length: -5\r\n\r\n",
    b"PUT /v1/document HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    b"GET /" + b"a" * 100_000 + b" HTTP/1.1\r\n\r\n",
]
INVALID_BODIES = [
    b"",
    b"\xff",
    b"[" * 90_000,
    b'{"format": 1, "format": 1}',
    b'{"format": 1, "services": 3}',
    b'{"format": 1, "routes": [{"name": "r", "path_prefix": "/", "service": "unknown"}]}',
    b'{"services": [' + b"[]," * 1_000_000 + b"1]}",
]


def build_document(slots: int) -> bytes:
    services = (Service(SERVICE, slots=slots),)
    return msgspec.json.encode(Document(1, services=services, routes=(ROUTE,)))


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with run_deployment(tmp_path_factory.mktemp("admin")) as running:
        for zone in ("bergen", "stavanger"):
            running.add_node(f"maal-{zone}", zone, "vest", SERVICE)
        nodes = list(running.nodes.values())
        running.wait_until(
            "all daemons answer",
            lambda: all(call_admin(node, "GET", "/v1/history") is not None for node in nodes),
        )
        yield running


def list_versions(node: Settings) -> tuple[VersionRecord, ...]:
    response = call_admin(node, "GET", "/v1/history")
    assert response is not None and response.status == 200, response
    return msgspec.json.decode(response.body, type=History).versions


class TestConcurrentWrites:
    def test_exactly_one_write_wins_and_the_others_are_told_the_winner(
        self, deployment: Deployment
    ) -> None:
        nodes = list(deployment.nodes.values())
        for _ in range(ROUNDS):
            base_version = len(list_versions(nodes[0]))
            results: list[Answer | None] = []

            def write(
                operator: int,
                base_version: int = base_version,
                received: list[Answer | None] = results,
            ) -> None:
                target = f"/v1/document?if_version={base_version}"
                body = build_document(slots=base_version * OPERATORS + operator + 1)
                received.append(call_admin(nodes[operator % 2], "PUT", target, body))

            threads = [threading.Thread(target=write, args=(n,)) for n in range(OPERATORS)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            responses = [response for response in results if response is not None]
            assert sorted(response.status for response in responses) == [200] + [409] * (
                OPERATORS - 1
            )
            newest = list_versions(nodes[0])[0]
            assert newest.version == base_version + 1
            for response in responses:
                if response.status == 409:
                    problem = msgspec.json.decode(response.body, type=Problem)
                    assert (problem.current, problem.winner) == (newest.version, newest.change)


class TestInvalidInput:
    def test_invalid_bodies_and_malformed_requests_change_neither_store_nor_daemon(
        self, deployment: Deployment
    ) -> None:
        node = next(iter(deployment.nodes.values()))
        before = list_versions(node)
        for body in INVALID_BODIES:
            response = call_admin(node, "PUT", "/v1/document", body)
            assert response is not None and response.status == 422, (body[:40], response)
            assert msgspec.json.decode(response.body, type=Problem).findings
        host, _, port = node.listen.admin.rpartition(":")
        for content in MALFORMED_REQUESTS:
            # The daemon may close the connection before it has received everything.
            with (
                contextlib.suppress(ConnectionError),
                socket.create_connection((host, int(port)), timeout=30) as connection,
            ):
                connection.sendall(content)
        assert list_versions(node) == before
