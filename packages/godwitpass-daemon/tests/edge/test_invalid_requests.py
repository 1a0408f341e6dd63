import time

import pytest

from godwitpass_daemon.edge.limits import HEAD_TIMEOUT_S, MAX_HEAD_BYTES
from godwitpass_testkit.caller import connect, encode_request, request
from godwitpass_testkit.edge import run_async, run_mesh

HEAD = b"POST /scans HTTP/1.1\r\nhost: mesh.test\r\n"
INVALID_REQUESTS = [
    (b"nonsense\r\n\r\n", 400),
    (HEAD + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    (HEAD + b"transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n", 400),
    (HEAD + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabc", 400),
    (HEAD + b"content-length: -1\r\n\r\n", 400),
    (HEAD + b"content-length: +3\r\n\r\nabc", 400),
    (HEAD + b"transfer-encoding: identity, chunked\r\n\r\n0\r\n\r\n", 400),
    (HEAD + b"transfer-encoding: xchunked\r\n\r\n0\r\n\r\n", 400),
    (HEAD + b"transfer-encoding: chunked\r\ntransfer-encoding: x\r\n\r\n0\r\n\r\n", 400),
    (HEAD + b"transfer-encoding : chunked\r\n\r\n0\r\n\r\n", 400),
    (HEAD + b"transfer-encoding: chunked\r\n\r\nzz\r\n", 400),
    (HEAD + b"host: other.test\r\n\r\n", 400),
    (HEAD + b" folded: x\r\n\r\n", 400),
    (HEAD + b"x: a\x00b\r\n\r\n", 400),
    (HEAD.replace(b"\r\n", b"\n") + b"\n", 400),
    (b"POST /scans HTTP/1.1\r\n\r\n", 400),
    (b"POST /scans HTTP/1.0\r\nhost: mesh.test\r\n\r\n", 505),
    (b"POST /scans/%2e%2e/payroll HTTP/1.1\r\nhost: mesh.test\r\n\r\n", 400),
    (b"CONNECT mesh.test:80 HTTP/1.1\r\nhost: mesh.test\r\n\r\n", 501),
    (HEAD + b"upgrade: websocket\r\nconnection: upgrade\r\n\r\n", 501),
    (HEAD + b"expect: miracles\r\n\r\n", 400),
    (HEAD + b"godwit-deadline-ms: 0\r\n\r\n", 400),
    (HEAD + b"godwit-deadline-ms: soon\r\n\r\n", 400),
    (HEAD + b"x: y\r\n" * (MAX_HEAD_BYTES // 6 + 200) + b"\r\n", 431),
    (b"\r\n" * MAX_HEAD_BYTES, 431),
    (HEAD + b"transfer-encoding: chunked\r\n\r\n1;" + b"y" * 2 * MAX_HEAD_BYTES, 400),
    (HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\n" + b"x: y\r\n" * MAX_HEAD_BYTES, 400),
    (HEAD + b"x: " + b"y" * (MAX_HEAD_BYTES + 10), 431),
]


class TestInvalidRequests:
    @pytest.mark.parametrize(("data", "status"), INVALID_REQUESTS)
    def test_an_invalid_request_is_refused_and_not_forwarded(
        self, data: bytes, status: int
    ) -> None:
        async def check(_: object) -> None:
            async with run_mesh() as mesh:
                caller = await connect(mesh.outer_address)
                response = await caller.send(data)
                assert (response.status, response.outcome) == (status, "refused")
                assert response.is_closed
                assert mesh.upstreams[0].counts["requests"] == 0

        run_async(check)(self)

    @run_async
    async def test_a_head_below_the_limit_is_served_however_many_lines_it_has(self) -> None:
        async with run_mesh() as mesh:
            caller = await connect(mesh.outer_address)
            lines = b"a:\r\n" * ((MAX_HEAD_BYTES - 100) // len(b"a:\r\n"))
            response = await caller.send(HEAD.replace(b"POST", b"GET") + lines + b"\r\n")
            assert (response.status, response.is_complete) == (200, True)

    @run_async
    async def test_an_incomplete_head_is_refused_after_its_timeout(self) -> None:
        async with run_mesh() as mesh:
            caller = await connect(mesh.outer_address)
            pending = caller.send(HEAD + b"x: y")
            idle = await connect(mesh.outer_address)
            idle_response = idle.send(b"")
            assert (await mesh.get("/books")).status == 200
            for connection in mesh.edge.core.connections:
                connection.check_timeouts(time.monotonic() + HEAD_TIMEOUT_S + 1)
            response = await pending
            assert (response.status, response.reason, response.is_closed) == (
                408,
                "head-timeout",
                True,
            )
            assert (await idle_response).is_closed

    @run_async
    async def test_a_body_that_looks_like_a_request_is_not_served_as_one(self) -> None:
        async with run_mesh() as mesh:
            caller = await connect(mesh.outer_address)
            body = encode_request("/payroll")
            first = caller.send(encode_request("/scans", "POST", {"x-request": "a"}, body) + body)
            second = caller.send(b"")
            assert (await first).body == f"a /scans {len(body)}".encode()
            assert (await second).status == 404

    @run_async
    async def test_headers_that_override_the_path_or_are_reserved_are_dropped(self) -> None:
        async with run_mesh() as mesh:
            forged = {
                "x-original-url": "/payroll",
                "x-http-method-override": "DELETE",
                "godwit-call": "x",
                "connection": "host, x-request",
                "x-request": "r",
            }
            response = await request(mesh.outer_address, "/books", headers=forged)
            assert response.body == b" /books 0"

    @run_async
    async def test_pipelined_requests_are_served_in_order(self) -> None:
        async with run_mesh() as mesh:
            caller = await connect(mesh.inner_address)
            names = [f"r{number}" for number in range(40)]
            requests = [encode_request("/books", headers={"x-request": name}) for name in names]
            pending = [caller.send(b"".join(requests)), *(caller.send(b"") for _ in names[1:])]
            bodies = [(await response).body.decode().split()[0] for response in pending]
            assert bodies == names
