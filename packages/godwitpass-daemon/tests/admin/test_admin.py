"""Tests of the administration API, called in process, with fake services."""

import json
from typing import Any

import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from godwitpass.administration import (
    CHANGE_HEADER,
    Problem,
    ProblemKind,
    ValidationResult,
)
from godwitpass.document import Service
from godwitpass.errors import AcceptanceUnknown, StoreUnavailable, StoreWentBack
from godwitpass.ids import (
    NO_VERSION,
    ChangeId,
    ServiceName,
    Version,
)
from godwitpass.internal.validation.text import MAX_TEXT_BYTES
from godwitpass.mesh import UpstreamState
from godwitpass_daemon.admin.application import (
    MAX_CONCURRENT_REQUESTS,
    build_application,
    handle_request,
)
from godwitpass_daemon.admin.endpoints import ENDPOINTS
from godwitpass_daemon.admin.handlers import ApiContext
from godwitpass_daemon.admin.meter import RequestMeter
from godwitpass_daemon.admin.openapi import describe_api
from godwitpass_testkit.administration import ADMIN_TOKEN, DUMMY_ADDRESS, FakeDaemon, build_settings

SETTINGS = build_settings(DUMMY_ADDRESS)
DOCUMENT = {
    "format": 1,
    "services": [{"name": "maal"}],
    "routes": [{"name": "scan", "path_prefix": "/scan", "service": "maal"}],
}


class InProcessClient:
    """Calls the ASGI application in the process of the test."""

    def __init__(self, daemon: FakeDaemon) -> None:
        self._meter = RequestMeter()
        self._application = build_application(
            ApiContext(SETTINGS, daemon.build_ports(self._meter)), self._meter
        )

    def call(self, method: str, target: str, body: bytes = b"", **headers: str) -> tuple[int, Any]:
        return anyio.run(self.call_async, method, target, body, headers)

    async def call_async(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, Any]:
        path, _, query = target.partition("?")
        all_headers = {"authorization": f"Bearer {ADMIN_TOKEN}"} | headers
        pairs = [
            (name.lower().replace("_", "-").encode("latin-1"), value.encode("latin-1"))
            for name, value in all_headers.items()
        ]
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": pairs,
        }
        sent_messages: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": body}

        async def send(message: dict[str, Any]) -> None:
            await anyio.lowlevel.checkpoint()
            sent_messages.append(message)

        await self._application(scope, receive, send)
        response_body = sent_messages[1]["body"]
        content_type = dict(sent_messages[0]["headers"])[b"content-type"]
        decoded = (
            json.loads(response_body)
            if content_type == b"application/json"
            else response_body.decode()
        )
        return sent_messages[0]["status"], decoded

    def put(self, document: dict[str, Any], **headers: str) -> tuple[int, Any]:
        return self.call("PUT", "/v1/document", json.dumps(document).encode(), **headers)


def build_document(slots: int) -> dict[str, Any]:
    return DOCUMENT | {"services": [{"name": "maal", "slots": slots}]}


class TestWrites:
    def test_repeated_writes_with_the_same_change_id_create_one_version(self) -> None:
        client = InProcessClient(daemon := FakeDaemon())
        header = {CHANGE_HEADER: "change-1"}
        responses = [client.put(DOCUMENT, **header) for _ in range(3)]
        assert {(status, content["version"]) for status, content in responses} == {(200, 1)}
        assert len(daemon.versions) == 1

    def test_a_conflicting_write_is_told_the_winning_change_and_the_differences(self) -> None:
        client = InProcessClient(daemon := FakeDaemon())
        client.put(DOCUMENT, **{CHANGE_HEADER: "base"})
        client.put(build_document(5), **{CHANGE_HEADER: "winner", "if_match": '"1"'})
        status, content = client.put(
            build_document(6), **{CHANGE_HEADER: "loser", "if_match": '"1"'}
        )
        problem = msgspec.convert(content, Problem)
        assert (status, problem.kind) == (409, ProblemKind.VERSION_CONFLICT)
        assert (problem.current, problem.winner, problem.change) == (2, "winner", "loser")
        assert [(item.name, item.fields) for item in problem.differences] == [("maal", ("slots",))]
        assert len(daemon.versions) == 2

    def test_a_rollback_creates_a_new_version_with_the_earlier_content(self) -> None:
        client = InProcessClient(daemon := FakeDaemon())
        for slots in (5, 6):
            client.put(build_document(slots))
        status, content = client.call("POST", "/v1/rollback?if_version=2", b'{"to_version": 1}')
        assert (status, content["version"]) == (200, 3)
        assert daemon.versions[2][1].services == (Service(ServiceName("maal"), slots=5),)
        assert client.call("POST", "/v1/rollback", b'{"to_version": 9}')[0] == 404

    @pytest.mark.parametrize(
        ("failure", "expected", "kind"),
        [
            (StoreUnavailable("down"), 503, "store-unavailable"),
            (AcceptanceUnknown(ChangeId("c")), 503, "outcome-unknown"),
            (StoreWentBack(Version(7), Version(3)), 409, "store-went-back"),
        ],
    )
    def test_a_store_failure_is_answered_with_its_status_and_problem_kind(
        self, failure: Exception, expected: int, kind: str
    ) -> None:
        client = InProcessClient(daemon := FakeDaemon())
        daemon.failure = failure
        status, content = client.put(DOCUMENT)
        assert (status, content["kind"]) == (expected, kind)

    def test_an_unexpected_exception_reveals_neither_traceback_nor_message(self) -> None:
        client = InProcessClient(daemon := FakeDaemon())
        daemon.failure = ZeroDivisionError("secret")
        status, content = client.put(DOCUMENT)
        assert status == 500 and "secret" not in str(content)
        assert daemon.emitted_names == ["admin-failed"]


class TestReads:
    def test_validation_returns_the_differences_and_accepts_nothing(self) -> None:
        client = InProcessClient(daemon := FakeDaemon())
        client.put(DOCUMENT)
        status, content = client.call(
            "POST", "/v1/validate", json.dumps(build_document(3)).encode()
        )
        assert status == 200 and len(daemon.versions) == 1
        assert len(msgspec.convert(content, ValidationResult).differences) == 1

    def test_versions_can_be_read_listed_and_compared(self) -> None:
        client = InProcessClient(FakeDaemon())
        for slots in (5, 6):
            client.put(build_document(slots))
        assert client.call("GET", "/v1/document?version=1")[1]["document"] == build_document(5)
        assert client.call("GET", "/v1/document")[1]["version"] == 2
        versions = client.call("GET", "/v1/history")[1]["versions"]
        assert [record["version"] for record in versions] == [2, 1]
        assert client.call("GET", "/v1/diff")[1]["differences"][0]["fields"] == ["slots"]
        assert client.call("GET", "/v1/diff?from=0&to=1")[1]["older"] == NO_VERSION
        assert client.call("GET", "/v1/document?version=x")[0] == 400

    def test_readiness_requires_a_version_and_health_does_not(self) -> None:
        client = InProcessClient(FakeDaemon())
        no_token = ""
        assert client.call("GET", "/healthz", authorization=no_token)[0] == 200
        assert client.call("GET", "/readyz", authorization=no_token)[0] == 503
        client.put(DOCUMENT)
        assert client.call("GET", "/readyz", authorization=no_token)[0] == 200

    def test_metrics_are_text_that_counts_earlier_requests(self) -> None:
        client = InProcessClient(FakeDaemon())
        client.call("GET", "/v1/nowhere")
        lines = client.call("GET", "/metrics")[1].splitlines()
        assert 'godwitpass_admin_requests_total{status="404"} 1' in lines
        assert "godwitpass_admin_request_seconds_count 1" in lines

    def test_drain_announces_the_upstream_as_draining(self) -> None:
        client = InProcessClient(daemon := FakeDaemon())
        assert client.call("POST", "/v1/drain")[1]["instance"] == "one"
        assert daemon.announced_states == [UpstreamState.DRAINING]


class TestRequestChecks:
    def test_every_endpoint_but_the_public_ones_refuses_a_wrong_token(self) -> None:
        client = InProcessClient(daemon := FakeDaemon())
        protected_endpoints = [endpoint for endpoint in ENDPOINTS if not endpoint.is_public]
        for endpoint in protected_endpoints:
            for header in ("", "Bearer wrong", f"Basic {ADMIN_TOKEN}", "Bearer \xff"):
                status, _ = client.call(endpoint.method, endpoint.path, authorization=header)
                assert status == 401
        assert not daemon.versions and not daemon.announced_states
        assert len(protected_endpoints) == len(ENDPOINTS) - 2

    def test_an_oversized_body_is_refused_with_and_without_a_content_length(self) -> None:
        client = InProcessClient(FakeDaemon())
        body = b" " * (MAX_TEXT_BYTES + 1)
        assert client.call("PUT", "/v1/document", body)[0] == 413
        declared_response = client.call("PUT", "/v1/document", content_length=str(len(body)))
        assert declared_response[0] == 413

    def test_requests_over_the_concurrency_limit_are_refused_and_later_ones_served(self) -> None:
        client = InProcessClient(FakeDaemon())

        async def call_many() -> list[int]:
            statuses: list[int] = []

            async def call_health() -> None:
                statuses.append((await client.call_async("GET", "/healthz", b"", {}))[0])

            async with anyio.create_task_group() as tasks:
                for _ in range(MAX_CONCURRENT_REQUESTS + 3):
                    tasks.start_soon(call_health)
            await call_health()
            return statuses

        assert sorted(anyio.run(call_many)) == [200] * (MAX_CONCURRENT_REQUESTS + 1) + [503] * 3

    @hypothesis_settings(max_examples=120, derandomize=True, deadline=None, database=None)
    @given(
        st.sampled_from(ENDPOINTS),
        st.binary(max_size=60) | st.just(json.dumps(DOCUMENT).encode()[:-1]) | st.just(b"[" * 5000),
        st.text("0123456789?&=abc%/\x00", max_size=12),
        st.text(st.characters(max_codepoint=255), max_size=12),
    )
    def test_arbitrary_input_causes_no_internal_error_and_stores_nothing(
        self, endpoint: Any, body: bytes, query: str, header: str
    ) -> None:
        client = InProcessClient(daemon := FakeDaemon())
        headers = {CHANGE_HEADER: header, "if_match": header, "content_length": header}
        status, _ = client.call(endpoint.method, f"{endpoint.path}?to={query}", body, **headers)
        assert status < 500 or (endpoint.path == "/readyz" and status == 503)
        assert not daemon.versions

    def test_a_refused_document_is_answered_with_all_findings(self) -> None:
        client = InProcessClient(daemon := FakeDaemon())
        status, content = client.put(DOCUMENT | {"format": 2, "sevrices": []})
        pointers = {finding["pointer"] for finding in content["findings"]}
        assert (status, pointers) == (422, {"/format", "/sevrices"})
        assert not daemon.versions and daemon.emitted_names == ["document-refused"]


class TestOpenApiDescription:
    def test_every_endpoint_and_problem_status_is_described(self) -> None:
        description = describe_api("1")
        for endpoint in ENDPOINTS:
            operation = description["paths"][endpoint.path][endpoint.method.lower()]
            assert operation["summary"] and len(operation["responses"]) > len(
                endpoint.error_statuses
            )
        assert {"Document", "Problem", "Finding"} <= description["components"]["schemas"].keys()


class TestBodies:
    def test_a_body_that_stalls_does_not_hold_up_another(self) -> None:
        context = ApiContext(SETTINGS, FakeDaemon().build_ports(RequestMeter()))
        scope = {
            "method": "PUT",
            "path": "/v1/document",
            "headers": [(b"authorization", f"Bearer {ADMIN_TOKEN}".encode())],
        }

        async def stall() -> dict[str, Any]:
            await anyio.sleep_forever()
            raise AssertionError

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": json.dumps(DOCUMENT).encode()}

        async def check() -> None:
            lock = anyio.Lock()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(handle_request, context, scope, stall, lock)
                await anyio.wait_all_tasks_blocked()
                responses = []

                async def send_whole() -> None:
                    responses.append(await handle_request(context, scope, receive, lock))

                tasks.start_soon(send_whole)
                await anyio.wait_all_tasks_blocked()
                tasks.cancel_scope.cancel()
            assert [response.status for response in responses] == [200]

        anyio.run(check)
