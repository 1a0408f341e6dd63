import pytest

from godwitpass_testkit.caller import request
from godwitpass_testkit.edge import run_async, run_mesh
from godwitpass_testkit.upstream import Fault


class TestAnswers:
    @run_async
    async def test_a_caller_gets_the_answer_to_their_own_request(self) -> None:
        async with run_mesh(upstreams=2) as mesh:
            for number in range(20):
                answer = await mesh.get(f"/books/{number}", x_request=f"r{number}")
                assert answer.body == f"r{number} /books/{number} 0".encode()

    @pytest.mark.parametrize("fault", [Fault.TRUNCATE, Fault.TRUNCATE_CHUNKED])
    def test_a_truncated_answer_never_looks_whole(self, fault: Fault) -> None:
        async def check(_: object) -> None:
            async with run_mesh() as mesh:
                answer = await mesh.get("/books", x_fault=fault.value.decode())
                assert answer.body == b"half"
                assert not answer.whole

        run_async(check)(self)

    @run_async
    async def test_without_a_snapshot_calls_are_answered_not_run(self) -> None:
        async with run_mesh(configured=False) as mesh:
            answer = await mesh.get("/books")
            assert (answer.status, answer.outcome) == (503, "not-run")
            assert answer.reason == "no-configuration"
            assert int(answer.headers["retry-after"]) >= 1

    @run_async
    async def test_an_internal_service_answers_only_on_the_inner_listener(self) -> None:
        async with run_mesh() as mesh:
            assert (await mesh.get("/payroll")).status == 200
            assert (await request(mesh.outer, "/payroll")).status == 404
