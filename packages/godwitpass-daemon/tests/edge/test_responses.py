import asyncio
import socket
import time

import anyio
import pytest

from godwitpass.ids import Address
from godwitpass_testkit.caller import connect, encode_request, request
from godwitpass_testkit.edge import SHOP, build_upstream, run_async, run_mesh
from godwitpass_testkit.upstream import LARGE_ANSWER_BYTES, Fault

TIMEOUT_S = 20.0
DEADLINE_MS = 5_000
SLOW_READING_S = 3.0
READ_INTERVAL_S = 0.1
READ_BYTES = 64 * 1024
PAUSE_S = 0.8


class TestResponses:
    @run_async
    async def test_a_caller_receives_the_response_to_its_own_request(self) -> None:
        async with run_mesh(upstream_count=2) as mesh:
            for number in range(20):
                response = await mesh.get(f"/books/{number}", x_request=f"r{number}")
                assert response.body == f"r{number} /books/{number} 0".encode()

    @pytest.mark.parametrize("fault", [Fault.TRUNCATE, Fault.TRUNCATE_CHUNKED])
    def test_a_truncated_response_never_looks_complete(self, fault: Fault) -> None:
        async def check(_: object) -> None:
            async with run_mesh() as mesh:
                response = await mesh.get("/books", x_fault=fault.value.decode())
                assert response.body == b"half"
                assert not response.is_complete

        run_async(check)(self)

    @run_async
    async def test_a_response_that_stalls_midway_is_aborted(self) -> None:
        async with run_mesh() as mesh:
            response = await mesh.get("/scans", x_fault="stall-answer")
            assert response.body == b"half"
            assert not response.is_complete
            with anyio.fail_after(TIMEOUT_S):
                while mesh.upstreams[0].connections:
                    await anyio.sleep(0.01)

    @run_async
    async def test_back_pressure_of_a_slow_caller_reaches_the_upstream_without_data_loss(
        self,
    ) -> None:
        async with run_mesh() as mesh:
            caller = await connect(mesh.inner_address)
            assert caller.transport is not None
            pending = caller.send(encode_request("/scans", headers={"x-fault": "big"}))
            caller.transport.pause_reading()
            await anyio.sleep(0.2)
            (upstream,) = mesh.upstreams[0].connections
            assert upstream.transport is not None
            assert (
                upstream.transport.get_write_buffer_size() > 0
            ), "the edge must stop reading from the upstream"
            caller.transport.resume_reading()
            response = await pending
            assert response.is_complete and len(response.body) == LARGE_ANSWER_BYTES

    @run_async
    async def test_a_caller_that_reads_slowly_but_steadily_gets_the_whole_response(self) -> None:
        async with run_mesh() as mesh:
            host, _, port = mesh.inner_address.rpartition(":")
            loop = asyncio.get_running_loop()
            with socket.create_connection((host, int(port))) as caller:
                caller.setblocking(False)
                await loop.sock_sendall(
                    caller, encode_request("/scans", headers={"x-fault": "big"})
                )
                # Less than the sockets buffer in a stall timeout of the route.
                slow_until = loop.time() + SLOW_READING_S
                received_bytes = 0
                while received_bytes < LARGE_ANSWER_BYTES:
                    data = await loop.sock_recv(caller, READ_BYTES)
                    assert data, f"cut after {received_bytes} bytes"
                    received_bytes += len(data)
                    if loop.time() < slow_until:
                        await anyio.sleep(READ_INTERVAL_S)

    @run_async
    async def test_a_response_is_not_aborted_after_pauses_of_the_daemon(self) -> None:
        async with run_mesh() as mesh:
            caller = await connect(mesh.inner_address)
            assert caller.transport is not None
            pending = caller.send(encode_request("/scans", headers={"x-fault": "big"}))
            caller.transport.pause_reading()
            await anyio.sleep(0.2)
            # Blocks the daemon, each time for longer than the stall timeout of the route.
            for _ in range(2):
                time.sleep(PAUSE_S)  # noqa: ASYNC251
                await anyio.sleep(0.01)
            caller.transport.resume_reading()
            assert (await pending).is_complete

    @run_async
    async def test_calls_are_refused_as_not_run_while_there_is_no_snapshot(self) -> None:
        async with run_mesh(is_configured=False) as mesh:
            response = await mesh.get("/books")
            assert (response.status, response.outcome) == (503, "not-run")
            assert response.reason == "no-configuration"
            assert int(response.headers["retry-after"]) >= 1

    @run_async
    async def test_an_internal_service_is_reachable_only_on_the_inner_listener(self) -> None:
        async with run_mesh() as mesh:
            assert (await mesh.get("/payroll")).status == 200
            assert (await request(mesh.outer_address, "/payroll")).status == 404


class TestStatuses:
    @pytest.mark.parametrize("status", ["000", "099", "600", "999"])
    def test_a_response_without_a_valid_status_ends_its_call_at_once(self, status: str) -> None:
        # Guards against calls that wait until their deadline for what is taken for an interim
        # response, and against callers that get a status that means nothing.
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(f"HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n".encode())
            await reader.read()
            writer.close()

        async def check(_: object) -> None:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            async with run_mesh() as mesh:
                mesh.services.set_upstreams(SHOP, [build_upstream(1, Address(f"{host}:{port}"))])
                started_at = time.monotonic()
                headers = {"godwit-deadline-ms": str(DEADLINE_MS)}
                response = await request(mesh.inner_address, "/scans", "POST", headers, b"x")
                assert (response.status, response.outcome) == (502, "unknown")
                assert time.monotonic() - started_at < DEADLINE_MS / 2000
            server.close()

        run_async(check)(self)
