import threading
import time
import uuid
from collections.abc import Iterator
from pathlib import Path

import anyio
import msgspec
import pytest

from godwitpass.document import Document, Execution, Policy, Route, Service
from godwitpass.ids import PolicyName, RouteName, ServiceName
from godwitpass.internal.calls.outcomes import OUTCOME_HEADER, Outcome
from godwitpass.internal.claims.keys import parse_key
from godwitpass.store import EntryList
from godwitpass_daemon.services.store import StoreClient
from godwitpass_daemon.settings import Settings
from godwitpass_testkit.deployment import (
    Answer,
    Deployment,
    administer,
    request,
    run_deployment,
)

ZONES = ("lakes-a", "lakes-b", "lakes-c")
SERVICE = ServiceName("contracts-core")
ONCE = PolicyName("once")
DOCUMENT = Document(
    1,
    services=(Service(SERVICE),),
    policies=(Policy(ONCE, execution=Execution.ONCE, timeout_ms=20_000),),
    routes=(
        Route(RouteName("approvals"), "/approvals", SERVICE, policy=ONCE),
        Route(RouteName("status"), "/status", SERVICE),
    ),
)


def build_key() -> str:
    stamp = int(time.time() * 1000) << 80
    rest = uuid.uuid4().int & ((1 << 76) - 1) & ~(0xC << 60) | (0x8 << 60)
    return str(uuid.UUID(int=stamp | 0x7 << 76 | rest))


def approve(node: Settings, key: str, *headers: tuple[str, str]) -> Answer | None:
    sent = [("idempotency-key", key), *headers]
    return request("POST", node.listen.outer, "/approvals", b"{}", sent)


def read_outcome(answer: Answer | None) -> bytes | None:
    return dict(answer.headers).get(OUTCOME_HEADER) if answer is not None else None


def is_recorded(deployment: Deployment, key: str) -> bool:
    async def list_claims() -> EntryList:
        client = StoreClient((deployment.store,))
        try:
            return await client.list("claims/")
        finally:
            await client.stop()

    digest = parse_key(key, "POST /approvals").digest
    return any(bytes(digest) in (entry.value or b"") for entry in anyio.run(list_claims).entries)


@pytest.fixture(scope="class")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder: Path = tmp_path_factory.mktemp("claims")
    with run_deployment(folder) as running:
        for zone in ZONES:
            running.add_node(f"core-{zone}", zone, "great-lakes", SERVICE)
        nodes = list(running.nodes.values())
        body = msgspec.json.encode(DOCUMENT)

        def is_accepted() -> bool:
            answer = administer(nodes[0], "PUT", "/v1/document", body)
            return answer is not None and answer.status == 200

        def answers_everywhere() -> bool:
            answers = [approve(node, build_key()) for node in nodes]
            return all(answer is not None and answer.status == 200 for answer in answers)

        running.wait_until("the document is accepted", is_accepted)
        running.wait_until("calls are answered in all zones", answers_everywhere)
        yield running


class TestRealDaemons:
    def test_a_second_sending_to_another_daemon_is_not_run(self, deployment: Deployment) -> None:
        nodes = list(deployment.nodes.values())
        key = build_key()
        first = approve(nodes[0], key)
        assert first is not None and first.status == 200
        for node in nodes:
            assert read_outcome(approve(node, key)) == Outcome.UNKNOWN.value.encode()
        metrics = administer(nodes[0], "GET", "/metrics")
        assert metrics is not None
        assert b'godwitpass_claims_total{outcome="granted"}' in metrics.body

    def test_a_request_that_breaks_its_upstream_is_refused_by_another_daemon(
        self, deployment: Deployment
    ) -> None:
        nodes = list(deployment.nodes.values())
        path = "/status/poison"
        for node in nodes:
            broken = request("GET", node.listen.outer, path, headers=[("x-fault", "break")])
            assert broken is not None and broken.status == 502

        def is_refused() -> bool:
            answer = request("GET", nodes[0].listen.outer, path, headers=[("x-fault", "break")])
            return answer is not None and answer.status == 422

        deployment.wait_until("it is refused", is_refused)
        other = request("GET", nodes[0].listen.outer, "/status/sound")
        assert other is not None and other.status == 200

    def test_a_daemon_that_dies_with_the_call_in_progress_does_not_lead_to_a_second_run(
        self, deployment: Deployment
    ) -> None:
        victim, *others = deployment.nodes.values()
        key = build_key()
        sender = threading.Thread(target=approve, args=(victim, key, ("x-work-ms", "15000")))
        sender.start()

        deployment.wait_until("the key is recorded", lambda: is_recorded(deployment, key))
        deployment.kill(f"daemon-{victim.instance}")
        sender.join()
        for node in others:
            assert read_outcome(approve(node, key)) == Outcome.UNKNOWN.value.encode()
        deployment.start_daemon(victim.instance)

    def test_a_store_that_is_away_means_not_run(self, deployment: Deployment) -> None:
        node = list(deployment.nodes.values())[1]
        deployment.kill("store")
        assert read_outcome(approve(node, build_key())) == Outcome.NOT_RUN.value.encode()
