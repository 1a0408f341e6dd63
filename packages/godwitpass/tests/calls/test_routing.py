from urllib.parse import quote

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.document import Document, Route, Service
from godwitpass.ids import ChangeId, ContentHash, RouteName, ServiceName, Version
from godwitpass.internal.routing.table import CompiledRoute, Listener, Mismatch, compile_table
from godwitpass.internal.routing.target import InvalidTarget, parse_target
from godwitpass.snapshot import Snapshot

DESK, PAYROLL = ServiceName("status-desk"), ServiceName("payroll")
ROUTES = (
    Route(RouteName("all"), "/", DESK),
    Route(RouteName("status"), "/status", DESK, methods=("GET",)),
    Route(RouteName("admin"), "/status/admin", DESK, internal=True),
    Route(RouteName("pay"), "/payroll", PAYROLL),
    Route(RouteName("tailor"), "/", DESK, host="tailor.test"),
)
DOCUMENT = Document(1, services=(Service(DESK), Service(PAYROLL, internal=True)), routes=ROUTES)
TABLE = compile_table(Snapshot(Version(1), ChangeId("c"), ContentHash("h"), DOCUMENT))
HOST = [b"mesh.test"]

REFUSED = [
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
HIDDEN = [
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


def find(raw: bytes, listener: Listener, method: str = "GET") -> CompiledRoute | Mismatch:
    return TABLE.find(parse_target(raw, HOST), method, listener)


class TestTargets:
    @pytest.mark.parametrize("raw", REFUSED)
    def test_a_target_with_two_readings_is_refused(self, raw: bytes) -> None:
        with pytest.raises(InvalidTarget):
            parse_target(raw, HOST)

    @pytest.mark.parametrize(
        "hosts", [[], [b"a.test", b"b.test"], [b"a.test, b.test"], [b"a test"], [b"a@b"], [b""]]
    )
    def test_a_request_names_exactly_one_host(self, hosts: list[bytes]) -> None:
        with pytest.raises(InvalidTarget):
            parse_target(b"/status", hosts)


class TestRoutes:
    @pytest.mark.parametrize("raw", HIDDEN)
    def test_no_spelling_reaches_an_internal_route_from_outside(self, raw: bytes) -> None:
        assert find(raw, Listener.OUTER) is Mismatch.NO_ROUTE

    def test_the_inner_listener_reaches_internal_routes(self) -> None:
        found = find(b"/payroll/7", Listener.INNER)
        assert isinstance(found, CompiledRoute) and found.service.name == PAYROLL

    @pytest.mark.parametrize(
        ("raw", "name"), [(b"/status/1", "status"), (b"/statusx", "all"), (b"/", "all")]
    )
    def test_the_longest_prefix_at_a_segment_border_wins(self, raw: bytes, name: str) -> None:
        found = find(raw, Listener.OUTER)
        assert isinstance(found, CompiledRoute) and found.route.name == name

    def test_a_method_that_a_route_does_not_take_falls_to_no_other_route(self) -> None:
        assert find(b"/status/1", Listener.OUTER, "POST") is Mismatch.METHOD

    def test_routes_of_a_named_host_go_first(self) -> None:
        target = parse_target(b"/books", [b"TAILOR.test.:80"])
        found = TABLE.find(target, "GET", Listener.OUTER)
        assert isinstance(found, CompiledRoute) and found.route.name == "tailor"

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
    def test_whatever_is_forwarded_from_outside_decodes_to_no_internal_path(
        self, parts: list[str], respell: object
    ) -> None:
        assert callable(respell)
        raw = ("/" + respell("".join(parts))).encode()
        try:
            target = parse_target(raw, HOST)
        except InvalidTarget:
            return
        found = TABLE.find(target, "GET", Listener.OUTER)
        if isinstance(found, CompiledRoute):
            assert not found.internal
            segments = [part.partition(";")[0].lower() for part in target.path.split("/")[1:]]
            assert segments[0] != "payroll"
            assert segments[:2] != ["status", "admin"]
            assert ".." not in segments
