"""Failures of real processes, seen from callers and operators."""

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
ONCE = PolicyName("approval")
DOCUMENT = Document(
    1,
    services=(Service(SERVICE), Service(PAYROLL, internal=True)),
    routes=(
        Route(RouteName("approvals"), "/approvals", SERVICE, policy=ONCE),
        Route(RouteName("histories"), "/histories", SERVICE),
        Route(RouteName("payroll"), "/payroll", PAYROLL),
    ),
    policies=(Policy(ONCE, execution=Execution.ONCE),),
)
ZONES = ("lakes-a", "lakes-b", "lakes-c")
UUID_RANDOM_BITS = 74


def create_key(number: int) -> str:
    """Return a UUID of version 7 made now; its random part is `number`."""
    milliseconds = time.time_ns() // 1_000_000
    value = (milliseconds << 80) | (7 << 76) | (2 << 62) | (number % 2**62)
    return str(uuid.UUID(int=value))


def approve(node: Settings, key: str, request_name: str, fault: str = "") -> Answer | None:
    headers = [("idempotency-key", key), ("x-request", request_name)]
    if fault:
        headers.append(("x-fault", fault))
    return request("POST", node.listen.outer, "/approvals/7", b"yes", headers)


def outcome(answer: Answer | None) -> str:
    if answer is None:
        return "none"
    return dict(answer.headers).get(b"godwit-outcome", b"").decode()


def count_runs(deployment: Deployment, request_name: str) -> int:
    total = 0
    for node in deployment.nodes.values():
        assert node.upstream is not None
        answer = request("GET", node.upstream.address, "/runs")
        if answer is not None:
            total += msgspec.json.decode(answer.body, type=dict[str, int]).get(request_name, 0)
    return total


def apply(node: Settings, document: Document = DOCUMENT) -> int:
    answer = call_admin(node, "PUT", "/v1/document", msgspec.json.encode(document))
    assert answer is not None and answer.status == 200, answer
    return int(msgspec.json.decode(answer.body)["version"])


def serves(node: Settings) -> bool:
    answer = request("GET", node.listen.outer, "/histories/1")
    return answer is not None and answer.status == 200


@pytest.fixture()
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    with run_deployment(tmp_path) as running:
        for zone in ZONES:
            running.add_node(f"core-{zone}", zone, "great-lakes", SERVICE)
        nodes = list(running.nodes.values())
        running.wait_until("all daemons answer", lambda: count_holders(nodes, 0) == len(nodes))
        version = apply(nodes[0])
        running.wait_until("all hold it", lambda: count_holders(nodes, version) == len(nodes))
        running.wait_until("all serve", lambda: all(serves(node) for node in nodes))
        running.wait_until(
            "all know all upstreams", lambda: all(count_upstreams(node) == 3 for node in nodes)
        )
        yield running


class TestAtMostOnce:
    def test_an_approval_sent_again_to_another_daemon_does_not_run_twice(
        self, deployment: Deployment
    ) -> None:
        first, second, _ = deployment.nodes.values()
        key = create_key(1)
        answers = [approve(node, key, "again") for node in (first, second, first)]
        assert answers[0] is not None and answers[0].status == 200
        assert all(answer is not None and answer.status != 200 for answer in answers[1:])
        assert count_runs(deployment, "again") == 1

    def test_an_approval_does_not_run_twice_when_its_daemon_dies_in_between(
        self, deployment: Deployment
    ) -> None:
        first, second, third = deployment.nodes.values()
        key = create_key(2)
        assert outcome(approve(first, key, "died", fault="break")) == "unknown"
        deployment.kill(f"daemon-{first.instance}")
        for node in (second, third):
            again = approve(node, key, "died")
            assert again is not None and again.status != 200
        assert count_runs(deployment, "died") == 1

    def test_an_approval_is_not_run_while_the_store_is_paused(self, deployment: Deployment) -> None:
        first, *_ = deployment.nodes.values()
        deployment.kill("store", signal.SIGSTOP)
        try:
            answer = approve(first, create_key(3), "paused")
        finally:
            deployment.kill("store", signal.SIGCONT)
        assert outcome(answer) == "not-run"
        assert count_runs(deployment, "paused") == 0

    def test_a_key_without_a_time_is_refused_with_how_to_mend_it(
        self, deployment: Deployment
    ) -> None:
        first, *_ = deployment.nodes.values()
        answer = approve(first, "order-17", "unusable")
        assert answer is not None and answer.status == 400
        assert outcome(answer) == "refused"
        assert b"UUID of version 7" in answer.body
        assert count_runs(deployment, "unusable") == 0


class TestInternalRoutes:
    @pytest.mark.parametrize(
        "path", ["/payroll/1", "/histories/../payroll/1", "/%70ayroll/1", "//payroll/1"]
    )
    def test_payroll_is_not_reached_from_outside(self, deployment: Deployment, path: str) -> None:
        node = next(iter(deployment.nodes.values()))
        answer = request("GET", node.listen.outer, path)
        assert answer is not None and 400 <= answer.status < 500


class TestUpstreamLoss:
    def test_an_upstream_that_died_beside_a_living_daemon_gets_no_new_calls(
        self, deployment: Deployment
    ) -> None:
        first, second, _ = deployment.nodes.values()
        deployment.kill(f"upstream-{first.instance}")
        deployment.wait_until("it is withdrawn", lambda: has_event(first, "upstream-withdrawn"))
        deployment.wait_until("the others know", lambda: count_upstreams(second) == 2)
        answers = [request("GET", second.listen.outer, "/histories/1") for _ in range(20)]
        assert [answer.status for answer in answers if answer] == [200] * 20

    def test_a_drained_upstream_gets_no_new_calls(self, deployment: Deployment) -> None:
        first, second, _ = deployment.nodes.values()
        answer = call_admin(first, "POST", "/v1/drain")
        assert answer is not None and answer.status == 200
        deployment.wait_until("the others know", lambda: count_upstreams(second) == 2)
        for number in range(20):
            headers = [("x-request", f"drained-{number}")]
            request("GET", second.listen.outer, "/histories/1", headers=headers)
        assert first.upstream is not None
        runs = request("GET", first.upstream.address, "/runs")
        assert runs is not None and b"drained" not in runs.body


def has_event(node: Settings, name: str) -> bool:
    answer = call_admin(node, "GET", "/v1/timeline")
    assert answer is not None
    events = msgspec.json.decode(answer.body, type=Timeline).events
    return any(event.name == name for event in events)


def count_upstreams(node: Settings) -> int:
    """Return how many ready upstreams the daemon of `node` knows."""
    answer = call_admin(node, "GET", "/metrics")
    assert answer is not None
    found = re.search(rb'godwitpass_upstreams\{state="ready"\} (\d+)', answer.body)
    return int(found.group(1)) if found else -1


class TestShutdown:
    def test_a_daemon_that_is_asked_to_stop_finishes_the_call_in_progress(
        self, deployment: Deployment
    ) -> None:
        node = next(iter(deployment.nodes.values()))
        answers: list[Answer | None] = []

        caller = threading.Thread(
            target=lambda: answers.append(
                request("GET", node.listen.outer, "/histories/9", headers=[("x-work-ms", "3000")])
            )
        )
        caller.start()
        deployment.wait_until("the call runs", lambda: is_working(node))
        deployment.kill(f"daemon-{node.instance}", signal.SIGTERM)
        caller.join()
        assert answers[0] is not None and answers[0].status == 200


def is_working(node: Settings) -> bool:
    answer = call_admin(node, "GET", "/metrics")
    assert answer is not None
    return b"godwitpass_calls_in_progress 1" in answer.body
