import asyncio
import sys
from types import SimpleNamespace
from typing import Any, cast

import httptools
import pytest

from godwitpass.document import CallerLimits
from godwitpass.ids import Address, InstanceId, RouteName, ServiceName
from godwitpass.internal.relay.frames import BODY_CHUNK_BYTES, OpenStream
from godwitpass_daemon.relay.core import RelayCore
from godwitpass_daemon.relay.headers import parse_request_head
from godwitpass_daemon.relay.ingress import CallerConnection
from godwitpass_daemon.relay.intake import Intake, LimitLog
from godwitpass_daemon.relay.links import PeerLink, PeerObserver, StreamHandler
from godwitpass_daemon.relay.pipelining import PipelinedRequest
from godwitpass_daemon.relay.request_budget import RequestBudget
from godwitpass_daemon.resources import Resources
from godwitpass_testkit.load_model.virtual_loop import VirtualLoop
from godwitpass_testkit.relay import HEADER_NAMES


def build_core(**attributes: Any) -> RelayCore:
    """Return the part of a core that a caller's connection uses before a call is routed."""
    defaults: dict[str, Any] = {
        "caller_connections": set(),
        "caller_service": b"desk",
        "header_names": HEADER_NAMES,
        "idle_timeout_s": 20.0,
        "intake": Intake(
            cast(Any, VirtualLoop()), Resources(), LimitLog(lambda: 0.0, lambda *_: None)
        ),
        "is_refusing": False,
        "is_stopping": False,
        "limits": CallerLimits(),
        "now": lambda: 0.0,
    }
    return cast(RelayCore, SimpleNamespace(**{**defaults, **attributes}))


class TestCallerConnection:
    def test_an_error_of_the_program_is_not_reported_as_an_invalid_request(self) -> None:
        class FailingTable:
            def find(self, host: str, path: str) -> None:
                raise LookupError("a fault of the table")

        connection = CallerConnection(build_core(table=FailingTable()))
        with pytest.raises(httptools.HttpParserCallbackError):
            connection.receive(b"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")

    def test_a_request_whose_connection_has_dropped_all_requests_closes_it_while_stopping(
        self,
    ) -> None:
        connection = CallerConnection(build_core(is_stopping=True))
        request = PipelinedRequest(connection, RequestBudget(1), 0.0)
        request.is_request_complete = True
        assert request.decide_close()


class TestHosts:
    @pytest.mark.parametrize(
        ("host", "expected"),
        [
            (b"Shop.example", "shop.example"),
            (b"shop.example:8080", "shop.example"),
            (b"[2001:db8::1]", "[2001:db8::1]"),
            (b"[2001:db8::1]:8080", "[2001:db8::1]"),
        ],
    )
    def test_a_host_is_compared_without_its_port(self, host: bytes, expected: str) -> None:
        head = parse_request_head(b"GET", b"/", [(b"host", host)], HEADER_NAMES, b"desk")
        assert head.host == expected


class TestPeerLink:
    def test_a_closed_link_keeps_no_bodies(self) -> None:
        class IgnoringHandler:
            def handle_link_lost(self, was_sent: bool) -> None:
                pass

        async def check() -> None:
            link = PeerLink(
                InstanceId("i-1"),
                Address("127.0.0.1:9"),
                cast(PeerObserver, None),
                lambda: 0.0,
                lambda: None,
            )
            body = b"b" * (BODY_CHUNK_BYTES + 1)
            references = sys.getrefcount(body)
            request = OpenStream(
                0, ServiceName("vault"), RouteName("scan"), b"", 1, 1, 1, False, len(body)
            )
            link.open(cast(StreamHandler, IgnoringHandler()), request, body)
            assert sys.getrefcount(body) == references + 1
            link.close()
            assert sys.getrefcount(body) == references

        asyncio.run(check())
