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
    call_admin,
    request,
    run_deployment,
)

ZONES = ("lakes-a", "lakes-b", "lakes-c")
SERVICE = ServiceName("contracts-core")
ONCE_POLICY = PolicyName("once")
DOCUMENT = Document(
    1,
    services=(Service(SERVICE),),
    policies=(Policy(ONCE_POLICY, execution=Execution.ONCE, timeout_ms=20_000),),
    routes=(
        Route(RouteName("approvals"), "/approvals", SERVICE, policy=ONCE_POLICY),
        Route(RouteName("status"), "/status", SERVICE),
    ),
)


def build_key() -> str:
    """Return a new idempotency key, a random UUID of version 7 created now."""
    timestamp = int(time.time() * 1000) << 80
    random_bits = uuid.uuid4().int & ((1 << 76) - 1) & ~(0xC << 60) | (0x8 << 60)
    return str(uuid.UUID(int=timestamp | 0x7 << 76 | random_bits))


def send_approval(node: Settings, key: str, *headers: tuple[str, str]) -> Answer | None:
    all_headers = [("idempotency-key", key), *headers]
    return request("POST", node.listen.outer, "/approvals", b"{}", all_headers)


def read_outcome(answer: Answer | None) -> bytes | None:
    return dict(answer.headers).get(OUTCOME_HEADER) if answer is not None else None


def is_claim_stored(deployment: Deployment, key: str) -> bool:
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
    directory: Path = tmp_path_factory.mktemp("claims")
    with run_deployment(directory) as started:
        for zone in ZONES:
            started.add_node(f"core-{zone}", zone, "great-lakes", SERVICE)
        nodes = list(started.nodes.values())
        body = msgspec.json.encode(DOCUMENT)

        def is_document_accepted() -> bool:
            answer = call_admin(nodes[0], "PUT", "/v1/document", body)
            return answer is not None and answer.status == 200

        def are_calls_answered() -> bool:
            answers = [send_approval(node, build_key()) for node in nodes]
            return all(answer is not None and answer.status == 200 for answer in answers)

        started.wait_until("the document is accepted", is_document_accepted)
        started.wait_until("calls are answered in all zones", are_calls_answered)
        yield started


class TestDaemonProcesses:
    def test_a_retry_at_another_daemon_is_not_run(self, deployment: Deployment) -> None:
        nodes = list(deployment.nodes.values())
        key = build_key()
        first = send_approval(nodes[0], key)
        assert first is not None and first.status == 200
        for node in nodes:
            assert read_outcome(send_approval(node, key)) == Outcome.UNKNOWN.value.encode()
        metrics = call_admin(nodes[0], "GET", "/metrics")
        assert metrics is not None
        assert b'godwitpass_claims_total{outcome="granted"}' in metrics.body

    def test_a_request_that_broke_upstream_connections_at_several_daemons_is_refused(
        self, deployment: Deployment
    ) -> None:
        nodes = list(deployment.nodes.values())
        path = "/status/poison"
        for node in nodes:
            failed = request("GET", node.listen.outer, path, headers=[("x-fault", "break")])
            assert failed is not None and failed.status == 502

        def is_refused() -> bool:
            answer = request("GET", nodes[0].listen.outer, path, headers=[("x-fault", "break")])
            return answer is not None and answer.status == 422

        deployment.wait_until("the request is refused", is_refused)
        healthy = request("GET", nodes[0].listen.outer, "/status/sound")
        assert healthy is not None and healthy.status == 200

    def test_a_call_in_progress_when_its_daemon_is_killed_is_not_run_again(
        self, deployment: Deployment
    ) -> None:
        killed, *others = deployment.nodes.values()
        key = build_key()
        sender = threading.Thread(target=send_approval, args=(killed, key, ("x-work-ms", "15000")))
        sender.start()

        deployment.wait_until("the key is recorded", lambda: is_claim_stored(deployment, key))
        deployment.kill(f"daemon-{killed.instance}")
        sender.join()
        for node in others:
            assert read_outcome(send_approval(node, key)) == Outcome.UNKNOWN.value.encode()
        deployment.start_daemon(killed.instance)

    def test_a_call_is_not_run_while_the_store_is_down(self, deployment: Deployment) -> None:
        node = list(deployment.nodes.values())[1]
        deployment.kill("store")
        assert read_outcome(send_approval(node, build_key())) == Outcome.NOT_RUN.value.encode()
