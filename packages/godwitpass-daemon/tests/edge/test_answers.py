import anyio
import pytest

from godwitpass_testkit.caller import connect, encode_request, request
from godwitpass_testkit.edge import run_async, run_mesh
from godwitpass_testkit.upstream import LARGE_ANSWER_BYTES, Fault

LIMIT_S = 20.0


class TestAnswers:
    @run_async
    async def test_a_caller_gets_the_answer_to_their_own_request(self) -> None:
        async with run_mesh(upstream_count=2) as mesh:
            for number in range(20):
                answer = await mesh.get(f"/books/{number}", x_request=f"r{number}")
                assert answer.body == f"r{number} /books/{number} 0".encode()

    @pytest.mark.parametrize("fault", [Fault.TRUNCATE, Fault.TRUNCATE_CHUNKED])
    def test_a_truncated_answer_never_looks_whole(self, fault: Fault) -> None:
        async def check(_: object) -> None:
            async with run_mesh() as mesh:
                answer = await mesh.get("/books", x_fault=fault.value.decode())
                assert answer.body == b"half"
                assert not answer.is_complete

        run_async(check)(self)

    @run_async
    async def test_an_answer_that_stalls_in_the_middle_is_broken_off(self) -> None:
        async with run_mesh() as mesh:
            answer = await mesh.get("/scans", x_fault="stall-answer")
            assert answer.body == b"half"
            assert not answer.is_complete
            with anyio.fail_after(LIMIT_S):
                while mesh.upstreams[0].connections:
                    await anyio.sleep(0.01)

    @run_async
    async def test_a_slow_caller_holds_the_upstream_back_and_gets_the_whole_answer(self) -> None:
        async with run_mesh() as mesh:
            caller = await connect(mesh.inner_address)
            assert caller.transport is not None
            pending = caller.send(encode_request("/scans", headers={"x-fault": "big"}))
            caller.transport.pause_reading()
            await anyio.sleep(0.2)
            (upstream,) = mesh.upstreams[0].connections
            assert upstream.transport is not None
            assert upstream.transport.get_write_buffer_size() > 0, "nothing waits at the edge"
            caller.transport.resume_reading()
            answer = await pending
            assert answer.is_complete and len(answer.body) == LARGE_ANSWER_BYTES

    @run_async
    async def test_without_a_snapshot_calls_are_answered_not_run(self) -> None:
        async with run_mesh(is_configured=False) as mesh:
            answer = await mesh.get("/books")
            assert (answer.status, answer.outcome) == (503, "not-run")
            assert answer.reason == "no-configuration"
            assert int(answer.headers["retry-after"]) >= 1

    @run_async
    async def test_an_internal_service_answers_only_on_the_inner_listener(self) -> None:
        async with run_mesh() as mesh:
            assert (await mesh.get("/payroll")).status == 200
            assert (await request(mesh.outer_address, "/payroll")).status == 404
