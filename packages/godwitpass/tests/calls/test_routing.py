from urllib.parse import quote

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.document import Document, Route, Service
from godwitpass.ids import ChangeId, ContentHash, RouteName, ServiceName, Version
from godwitpass.internal.routing.table import CompiledRoute, Listener, Mismatch, compile_table
from godwitpass.internal.routing.target import InvalidTarget, parse_target
from godwitpass.snapshot import Snapshot

DESK_SERVICE, PAYROLL_SERVICE = ServiceName("status-desk"), ServiceName("payroll")
ROUTES = (
    Route(RouteName("all"), "/", DESK_SERVICE),
    Route(RouteName("status"), "/status", DESK_SERVICE, methods=("GET",)),
    Route(RouteName("admin"), "/status/admin", DESK_SERVICE, internal=True),
    Route(RouteName("pay"), "/payroll", PAYROLL_SERVICE),
    Route(RouteName("tailor"), "/", DESK_SERVICE, host="tailor.test"),
)
DOCUMENT = Document(
    1, services=(Service(DESK_SERVICE), Service(PAYROLL_SERVICE, internal=True)), routes=ROUTES
)
TABLE = compile_table(Snapshot(Version(1), ChangeId("c"), ContentHash("h"), DOCUMENT))
HOST = [b"mesh.test"]

AMBIGUOUS_TARGETS = [
    b"/status/../payroll",
    b"/status/%2e%2e/payroll",
    b"/status/..;x/payroll",
    b"//payroll",
    b"/%2fpayroll",
    b"/status%5c..%5cpayroll",
    b"/status/%252e%252e/payroll",
    b"/status%00/payroll",
    b"/status\\..\\payroll",
    b"/status/%zz",
    b"/status?x#/payroll",
    b"/pay%c3%28roll",
    b"payroll",
    b"*",
    b"http://other.test/payroll",
    b"ftp://mesh.test/payroll",
    b"/" + b"a" * 9_000,
]
INTERNAL_TARGETS = [
    b"/payroll",
    b"/payroll/7",
    b"/%70ayroll",
    b"/PAYROLL/7",
    b"/payroll;v=1/7",
    b"/payroll./7",
    b"/payroll%20",
    b"http://mesh.test/payroll",
    b"/status/admin",
    b"/status/ADMIN;x=1",
    b"/status/admin%2e",
    b"/status/adm%49n",
]


def find_route(raw: bytes, listener: Listener, method: str = "GET") -> CompiledRoute | Mismatch:
    return TABLE.find_route(parse_target(raw, HOST), method, listener)


class TestTargets:
    @pytest.mark.parametrize("raw", AMBIGUOUS_TARGETS)
    def test_an_ambiguous_or_malformed_target_is_rejected(self, raw: bytes) -> None:
        with pytest.raises(InvalidTarget):
            parse_target(raw, HOST)

    @pytest.mark.parametrize(
        "hosts", [[], [b"a.test", b"b.test"], [b"a.test, b.test"], [b"a test"], [b"a@b"], [b""]]
    )
    def test_a_request_without_exactly_one_valid_host_is_rejected(self, hosts: list[bytes]) -> None:
        with pytest.raises(InvalidTarget):
            parse_target(b"/status", hosts)


class TestRoutes:
    @pytest.mark.parametrize("raw", INTERNAL_TARGETS)
    def test_no_spelling_of_an_internal_path_is_routed_on_the_outer_listener(
        self, raw: bytes
    ) -> None:
        assert find_route(raw, Listener.OUTER) is Mismatch.NO_ROUTE

    def test_internal_routes_are_reachable_on_the_inner_listener(self) -> None:
        result = find_route(b"/payroll/7", Listener.INNER)
        assert isinstance(result, CompiledRoute) and result.service.name == PAYROLL_SERVICE

    @pytest.mark.parametrize(
        ("raw", "name"), [(b"/status/1", "status"), (b"/statusx", "all"), (b"/", "all")]
    )
    def test_the_longest_prefix_at_a_segment_boundary_wins(self, raw: bytes, name: str) -> None:
        result = find_route(raw, Listener.OUTER)
        assert isinstance(result, CompiledRoute) and result.route.name == name

    def test_a_method_mismatch_does_not_fall_back_to_a_shorter_prefix(self) -> None:
        assert find_route(b"/status/1", Listener.OUTER, "POST") is Mismatch.METHOD

    def test_routes_of_a_named_host_take_precedence(self) -> None:
        target = parse_target(b"/books", [b"TAILOR.test.:80"])
        result = TABLE.find_route(target, "GET", Listener.OUTER)
        assert isinstance(result, CompiledRoute) and result.route.name == "tailor"

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(
        st.lists(
            st.sampled_from(
                ["/", "payroll", "status", "admin", "..", ".", "%", "%2f", "%2e", ";x"]
            ),
            max_size=8,
        ),
        st.sampled_from([str, str.upper, str.title, quote, lambda text: quote(text, safe="")]),
    )
    def test_no_target_routed_on_the_outer_listener_decodes_to_an_internal_path(
        self, parts: list[str], transform: object
    ) -> None:
        assert callable(transform)
        raw = ("/" + transform("".join(parts))).encode()
        try:
            target = parse_target(raw, HOST)
        except InvalidTarget:
            return
        result = TABLE.find_route(target, "GET", Listener.OUTER)
        if isinstance(result, CompiledRoute):
            assert not result.is_internal
            segments = [part.partition(";")[0].lower() for part in target.path.split("/")[1:]]
            assert segments[0] != "payroll"
            assert segments[:2] != ["status", "admin"]
            assert ".." not in segments
