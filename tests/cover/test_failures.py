"""Failures of real processes, as callers and operators observe them."""

import re
import signal
import threading
import time
import uuid
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from godwitpass.administration import Timeline
from godwitpass.document import Document, Execution, Policy, Route, Service
from godwitpass.ids import PolicyName, RouteName, ServiceName
from godwitpass_daemon.settings import Settings
from godwitpass_testkit.demo.fleet import count_holders
from godwitpass_testkit.deployment import Answer, Deployment, call_admin, request, run_deployment

SERVICE = ServiceName("contracts-core")
PAYROLL = ServiceName("payroll")
AT_MOST_ONCE_POLICY = PolicyName("approval")
DOCUMENT = Document(
    1,
    services=(Service(SERVICE), Service(PAYROLL, internal=True)),
    routes=(
        Route(RouteName("approvals"), "/approvals", SERVICE, policy=AT_MOST_ONCE_POLICY),
        Route(RouteName("histories"), "/histories", SERVICE),
        Route(RouteName("payroll"), "/payroll", PAYROLL),
    ),
    policies=(Policy(AT_MOST_ONCE_POLICY, execution=Execution.ONCE),),
)
ZONES = ("lakes-a", "lakes-b", "lakes-c")
UUID_RANDOM_BITS = 74


def create_idempotency_key(number: int) -> str:
    """Return a UUID of version 7 with the current time, and with `number` as its random part."""
    now_ms = time.time_ns() // 1_000_000
    value = (now_ms << 80) | (7 << 76) | (2 << 62) | (number % 2**62)
    return str(uuid.UUID(int=value))


def send_approval(node: Settings, key: str, request_name: str, fault: str = "") -> Answer | None:
    headers = [("idempotency-key", key), ("x-request", request_name)]
    if fault:
        headers.append(("x-fault", fault))
    return request("POST", node.listen.outer, "/approvals/7", b"yes", headers)


def read_outcome(response: Answer | None) -> str:
    if response is None:
        return "none"
    return dict(response.headers).get(b"godwit-outcome", b"").decode()


def count_runs(deployment: Deployment, request_name: str) -> int:
    run_count = 0
    for node in deployment.nodes.values():
        assert node.upstream is not None
        response = request("GET", node.upstream.address, "/runs")
        if response is not None:
            run_count += msgspec.json.decode(response.body, type=dict[str, int]).get(
                request_name, 0
            )
    return run_count


def apply_document(node: Settings, document: Document = DOCUMENT) -> int:
    response = call_admin(node, "PUT", "/v1/document", msgspec.json.encode(document))
    assert response is not None and response.status == 200, response
    return int(msgspec.json.decode(response.body)["version"])


def is_serving(node: Settings) -> bool:
    response = request("GET", node.listen.outer, "/histories/1")
    return response is not None and response.status == 200


@pytest.fixture()
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    with run_deployment(tmp_path) as started_deployment:
        for zone in ZONES:
            started_deployment.add_node(f"core-{zone}", zone, "great-lakes", SERVICE)
        nodes = list(started_deployment.nodes.values())
        started_deployment.wait_until(
            "all daemons answer", lambda: count_holders(nodes, 0) == len(nodes)
        )
        version = apply_document(nodes[0])
        started_deployment.wait_until(
            "all daemons hold the version", lambda: count_holders(nodes, version) == len(nodes)
        )
        started_deployment.wait_until(
            "all daemons serve calls", lambda: all(is_serving(node) for node in nodes)
        )
        started_deployment.wait_until(
            "all daemons know all upstreams",
            lambda: all(count_upstreams(node) == 3 for node in nodes),
        )
        yield started_deployment


class TestAtMostOnce:
    def test_an_approval_that_is_repeated_at_another_daemon_does_not_run_twice(
        self, deployment: Deployment
    ) -> None:
        first, second, _ = deployment.nodes.values()
        key = create_idempotency_key(1)
        responses = [send_approval(node, key, "again") for node in (first, second, first)]
        assert responses[0] is not None and responses[0].status == 200
        assert all(response is not None and response.status != 200 for response in responses[1:])
        assert count_runs(deployment, "again") == 1

    def test_an_approval_does_not_run_twice_if_its_daemon_is_killed_before_a_retry(
        self, deployment: Deployment
    ) -> None:
        first, second, third = deployment.nodes.values()
        key = create_idempotency_key(2)
        assert read_outcome(send_approval(first, key, "died", fault="break")) == "unknown"
        deployment.kill(f"daemon-{first.instance}")
        for node in (second, third):
            repeated = send_approval(node, key, "died")
            assert repeated is not None and repeated.status != 200
        assert count_runs(deployment, "died") == 1

    def test_an_approval_is_not_run_while_the_store_is_paused(self, deployment: Deployment) -> None:
        first, *_ = deployment.nodes.values()
        deployment.kill("store", signal.SIGSTOP)
        try:
            response = send_approval(first, create_idempotency_key(3), "paused")
        finally:
            deployment.kill("store", signal.SIGCONT)
        assert read_outcome(response) == "not-run"
        assert count_runs(deployment, "paused") == 0

    def test_a_key_without_a_time_is_refused_with_a_remedy(self, deployment: Deployment) -> None:
        first, *_ = deployment.nodes.values()
        response = send_approval(first, "order-17", "unusable")
        assert response is not None and response.status == 400
        assert read_outcome(response) == "refused"
        assert b"UUID of version 7" in response.body
        assert count_runs(deployment, "unusable") == 0


class TestInternalRoutes:
    @pytest.mark.parametrize(
        "path", ["/payroll/1", "/histories/../payroll/1", "/%70ayroll/1", "//payroll/1"]
    )
    def test_an_internal_route_is_not_reachable_from_outside(
        self, deployment: Deployment, path: str
    ) -> None:
        node = next(iter(deployment.nodes.values()))
        response = request("GET", node.listen.outer, path)
        assert response is not None and 400 <= response.status < 500


class TestUpstreamLoss:
    def test_a_killed_upstream_of_a_running_daemon_gets_no_new_calls(
        self, deployment: Deployment
    ) -> None:
        first, second, _ = deployment.nodes.values()
        deployment.kill(f"upstream-{first.instance}")
        deployment.wait_until(
            "the upstream is withdrawn", lambda: has_event(first, "upstream-withdrawn")
        )
        deployment.wait_until("the other daemons know it", lambda: count_upstreams(second) == 2)
        responses = [request("GET", second.listen.outer, "/histories/1") for _ in range(20)]
        assert [response.status for response in responses if response] == [200] * 20

    def test_a_drained_upstream_gets_no_new_calls(self, deployment: Deployment) -> None:
        first, second, _ = deployment.nodes.values()
        response = call_admin(first, "POST", "/v1/drain")
        assert response is not None and response.status == 200
        deployment.wait_until("the other daemons know it", lambda: count_upstreams(second) == 2)
        for number in range(20):
            headers = [("x-request", f"drained-{number}")]
            request("GET", second.listen.outer, "/histories/1", headers=headers)
        assert first.upstream is not None
        runs = request("GET", first.upstream.address, "/runs")
        assert runs is not None and b"drained" not in runs.body


def has_event(node: Settings, name: str) -> bool:
    response = call_admin(node, "GET", "/v1/timeline")
    assert response is not None
    events = msgspec.json.decode(response.body, type=Timeline).events
    return any(event.name == name for event in events)


def count_upstreams(node: Settings) -> int:
    """Return the number of ready upstreams that the daemon of `node` knows."""
    response = call_admin(node, "GET", "/metrics")
    assert response is not None
    match = re.search(rb'godwitpass_upstreams\{state="ready"\} (\d+)', response.body)
    return int(match.group(1)) if match else -1


class TestShutdown:
    def test_a_daemon_finishes_the_call_in_progress_on_sigterm(
        self, deployment: Deployment
    ) -> None:
        node = next(iter(deployment.nodes.values()))
        responses: list[Answer | None] = []

        caller = threading.Thread(
            target=lambda: responses.append(
                request("GET", node.listen.outer, "/histories/9", headers=[("x-work-ms", "3000")])
            )
        )
        caller.start()
        deployment.wait_until("the call is in progress", lambda: has_call_in_progress(node))
        deployment.kill(f"daemon-{node.instance}", signal.SIGTERM)
        caller.join()
        assert responses[0] is not None and responses[0].status == 200


def has_call_in_progress(node: Settings) -> bool:
    response = call_admin(node, "GET", "/metrics")
    assert response is not None
    return b"godwitpass_calls_in_progress 1" in response.body
