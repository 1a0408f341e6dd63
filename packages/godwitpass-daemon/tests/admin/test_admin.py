import json
from typing import Any

import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as examples
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
from godwitpass_daemon.admin.application import MAX_REQUESTS, build_application
from godwitpass_daemon.admin.endpoints import ENDPOINTS
from godwitpass_daemon.admin.handlers import Api
from godwitpass_daemon.admin.meter import RequestMeter
from godwitpass_daemon.admin.openapi import describe_api
from godwitpass_testkit.administration import ADMIN_TOKEN, UNUSED, FakeDaemon, build_settings

SETTINGS = build_settings(UNUSED)
DOCUMENT = {
    "format": 1,
    "services": [{"name": "maal"}],
    "routes": [{"name": "scan", "path_prefix": "/scan", "service": "maal"}],
}


class Client:
    """Calls the application in process."""

    def __init__(self, daemon: FakeDaemon) -> None:
        self._meter = RequestMeter()
        self._application = build_application(
            Api(SETTINGS, daemon.build_ports(self._meter)), self._meter
        )

    def call(self, method: str, target: str, body: bytes = b"", **headers: str) -> tuple[int, Any]:
        return anyio.run(self.call_async, method, target, body, headers)

    async def call_async(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, Any]:
        path, _, query = target.partition("?")
        given = {"authorization": f"Bearer {ADMIN_TOKEN}"} | headers
        pairs = [
            (name.lower().replace("_", "-").encode("latin-1"), value.encode("latin-1"))
            for name, value in given.items()
        ]
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": pairs,
        }
        sent: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": body}

        async def send(message: dict[str, Any]) -> None:
            await anyio.lowlevel.checkpoint()
            sent.append(message)

        await self._application(scope, receive, send)
        content = sent[1]["body"]
        kind = dict(sent[0]["headers"])[b"content-type"]
        decoded = json.loads(content) if kind == b"application/json" else content.decode()
        return sent[0]["status"], decoded

    def put(self, document: dict[str, Any], **headers: str) -> tuple[int, Any]:
        return self.call("PUT", "/v1/document", json.dumps(document).encode(), **headers)


def with_slots(slots: int) -> dict[str, Any]:
    return DOCUMENT | {"services": [{"name": "maal", "slots": slots}]}


class TestWriting:
    def test_a_repeat_with_the_same_change_id_makes_one_version(self) -> None:
        client = Client(daemon := FakeDaemon())
        header = {CHANGE_HEADER: "change-1"}
        answers = [client.put(DOCUMENT, **header) for _ in range(3)]
        assert {(status, answer["version"]) for status, answer in answers} == {(200, 1)}
        assert len(daemon.versions) == 1

    def test_the_loser_of_a_race_learns_who_won_and_what_differs(self) -> None:
        client = Client(daemon := FakeDaemon())
        client.put(DOCUMENT, **{CHANGE_HEADER: "base"})
        client.put(with_slots(5), **{CHANGE_HEADER: "winner", "if_match": '"1"'})
        status, answer = client.put(with_slots(6), **{CHANGE_HEADER: "loser", "if_match": '"1"'})
        problem = msgspec.convert(answer, Problem)
        assert (status, problem.kind) == (409, ProblemKind.VERSION_CONFLICT)
        assert (problem.current, problem.winner, problem.change) == (2, "winner", "loser")
        assert [(item.name, item.fields) for item in problem.differences] == [("maal", ("slots",))]
        assert len(daemon.versions) == 2

    def test_a_rollback_is_a_new_version_with_old_content(self) -> None:
        client = Client(daemon := FakeDaemon())
        for slots in (5, 6):
            client.put(with_slots(slots))
        status, answer = client.call("POST", "/v1/rollback?if_version=2", b'{"to_version": 1}')
        assert (status, answer["version"]) == (200, 3)
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
    def test_a_store_failure_tells_whether_to_ask_with_the_same_change(
        self, failure: Exception, expected: int, kind: str
    ) -> None:
        client = Client(daemon := FakeDaemon())
        daemon.failure = failure
        status, answer = client.put(DOCUMENT)
        assert (status, answer["kind"]) == (expected, kind)

    def test_an_unforeseen_fault_shows_neither_traceback_nor_text(self) -> None:
        client = Client(daemon := FakeDaemon())
        daemon.failure = ZeroDivisionError("secret")
        status, answer = client.put(DOCUMENT)
        assert status == 500 and "secret" not in str(answer)
        assert daemon.emitted == ["admin-failed"]


class TestReading:
    def test_validation_tells_what_would_change_and_accepts_nothing(self) -> None:
        client = Client(daemon := FakeDaemon())
        client.put(DOCUMENT)
        status, answer = client.call("POST", "/v1/validate", json.dumps(with_slots(3)).encode())
        assert status == 200 and len(daemon.versions) == 1
        assert len(msgspec.convert(answer, ValidationResult).differences) == 1

    def test_versions_can_be_read_listed_and_compared(self) -> None:
        client = Client(FakeDaemon())
        for slots in (5, 6):
            client.put(with_slots(slots))
        assert client.call("GET", "/v1/document?version=1")[1]["document"] == with_slots(5)
        assert client.call("GET", "/v1/document")[1]["version"] == 2
        versions = client.call("GET", "/v1/history")[1]["versions"]
        assert [record["version"] for record in versions] == [2, 1]
        assert client.call("GET", "/v1/diff")[1]["differences"][0]["fields"] == ["slots"]
        assert client.call("GET", "/v1/diff?from=0&to=1")[1]["older"] == NO_VERSION
        assert client.call("GET", "/v1/document?version=x")[0] == 400

    def test_readiness_waits_for_a_version_and_health_does_not(self) -> None:
        client = Client(FakeDaemon())
        no_token = ""
        assert client.call("GET", "/healthz", authorization=no_token)[0] == 200
        assert client.call("GET", "/readyz", authorization=no_token)[0] == 503
        client.put(DOCUMENT)
        assert client.call("GET", "/readyz", authorization=no_token)[0] == 200

    def test_metrics_are_text_that_counts_earlier_requests(self) -> None:
        client = Client(FakeDaemon())
        client.call("GET", "/v1/nowhere")
        lines = client.call("GET", "/metrics")[1].splitlines()
        assert 'godwitpass_admin_requests_total{status="404"} 1' in lines
        assert "godwitpass_admin_request_seconds_count 1" in lines

    def test_drain_announces_the_upstream_as_draining(self) -> None:
        client = Client(daemon := FakeDaemon())
        assert client.call("POST", "/v1/drain")[1]["instance"] == "one"
        assert daemon.announced == [UpstreamState.DRAINING]


class TestDefences:
    def test_every_closed_endpoint_refuses_a_wrong_token(self) -> None:
        client = Client(daemon := FakeDaemon())
        closed = [endpoint for endpoint in ENDPOINTS if not endpoint.is_open]
        for endpoint in closed:
            for header in ("", "Bearer wrong", f"Basic {ADMIN_TOKEN}", "Bearer \xff"):
                status, _ = client.call(endpoint.method, endpoint.path, authorization=header)
                assert status == 401
        assert not daemon.versions and not daemon.announced
        assert len(closed) == len(ENDPOINTS) - 2

    def test_a_body_over_the_bound_is_refused_declared_or_not(self) -> None:
        client = Client(FakeDaemon())
        body = b" " * (MAX_TEXT_BYTES + 1)
        assert client.call("PUT", "/v1/document", body)[0] == 413
        declared = client.call("PUT", "/v1/document", content_length=str(len(body)))
        assert declared[0] == 413

    def test_requests_past_the_bound_are_refused_and_later_ones_served(self) -> None:
        client = Client(FakeDaemon())

        async def call_many() -> list[int]:
            statuses: list[int] = []

            async def call() -> None:
                statuses.append((await client.call_async("GET", "/healthz", b"", {}))[0])

            async with anyio.create_task_group() as tasks:
                for _ in range(MAX_REQUESTS + 3):
                    tasks.start_soon(call)
            await call()
            return statuses

        assert sorted(anyio.run(call_many)) == [200] * (MAX_REQUESTS + 1) + [503] * 3

    @examples(max_examples=120, derandomize=True, deadline=None, database=None)
    @given(
        st.sampled_from(ENDPOINTS),
        st.binary(max_size=60) | st.just(json.dumps(DOCUMENT).encode()[:-1]) | st.just(b"[" * 5000),
        st.text("0123456789?&=abc%/\x00", max_size=12),
        st.text(st.characters(max_codepoint=255), max_size=12),
    )
    def test_no_input_fails_the_daemon_or_changes_what_is_stored(
        self, endpoint: Any, body: bytes, query: str, header: str
    ) -> None:
        client = Client(daemon := FakeDaemon())
        headers = {CHANGE_HEADER: header, "if_match": header, "content_length": header}
        status, _ = client.call(endpoint.method, f"{endpoint.path}?to={query}", body, **headers)
        assert status < 500 or (endpoint.path == "/readyz" and status == 503)
        assert not daemon.versions

    def test_a_refused_document_carries_all_findings(self) -> None:
        client = Client(daemon := FakeDaemon())
        status, answer = client.put(DOCUMENT | {"format": 2, "sevrices": []})
        pointers = {finding["pointer"] for finding in answer["findings"]}
        assert (status, pointers) == (422, {"/format", "/sevrices"})
        assert not daemon.versions and daemon.emitted == ["document-refused"]


class TestDescription:
    def test_every_endpoint_and_problem_status_is_described(self) -> None:
        described = describe_api("1")
        for endpoint in ENDPOINTS:
            operation = described["paths"][endpoint.path][endpoint.method.lower()]
            assert operation["summary"] and len(operation["responses"]) > len(endpoint.problems)
        assert {"Document", "Problem", "Finding"} <= described["components"]["schemas"].keys()
