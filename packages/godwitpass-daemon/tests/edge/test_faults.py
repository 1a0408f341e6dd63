import asyncio
from collections.abc import Callable

import anyio
import pytest
from anyio.abc import TaskGroup

from godwitpass.document import Document, Execution, Policy, Route, Service
from godwitpass.ids import Address, RouteName, ServiceName
from godwitpass_daemon.edge.guards import RequestDescriptor
from godwitpass_testkit.caller import connect, encode_request, request
from godwitpass_testkit.edge import (
    READ_POLICY,
    SHOP,
    build_snapshot,
    build_upstream,
    run_async,
    run_mesh,
)
from godwitpass_testkit.upstream import Fault, UpstreamOptions

TIMEOUT_S = 20.0
UNREACHABLE_ADDRESS = Address("127.0.0.1:9")


async def wait_until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.01)


class TestOutcomes:
    @pytest.mark.parametrize("fault", [Fault.ABORT, Fault.GARBAGE, Fault.CLOSE_DELIMITED])
    def test_a_call_that_may_have_run_is_never_reported_as_not_run(self, fault: Fault) -> None:
        async def check(_: object) -> None:
            async with run_mesh(upstream_count=2) as mesh:
                headers = {"x-fault": fault.value.decode(), "x-request": "r"}
                response = await request(mesh.inner_address, "/scans", "POST", headers, b"scan")
                assert (response.status, response.outcome) == (502, "unknown")
                assert mesh.count_runs("r") == 1, "a request that is not idempotent is sent once"

        run_async(check)(self)

    @run_async
    async def test_an_idempotent_call_is_retried_at_another_upstream(self) -> None:
        async with run_mesh(upstream_count=2) as mesh:
            response = await mesh.get("/books", x_fault="break", x_request="r")
            assert response.outcome == "unknown"
            assert [upstream.runs[b"r"] for upstream in mesh.upstreams] == [1, 1]

    @run_async
    async def test_a_not_run_header_with_the_id_of_another_attempt_is_ignored(self) -> None:
        async with run_mesh() as mesh:
            response = await mesh.get("/scans", x_fault="false-not-run", x_request="r")
            assert (response.status, response.outcome) == (503, "")
            assert mesh.count_runs("r") == 1

    @run_async
    async def test_a_call_whose_upstreams_are_unreachable_is_reported_as_not_run(self) -> None:
        async with run_mesh(upstream_count=0) as mesh:
            mesh.services.set_upstreams(SHOP, [build_upstream(1, UNREACHABLE_ADDRESS)])
            response = await mesh.get("/scans")
            assert (response.outcome, response.reason) == ("not-run", "connect-failed")

    @run_async
    async def test_a_call_shed_by_its_upstream_is_reported_as_not_run(self) -> None:
        async with run_mesh(options=UpstreamOptions(slots=1)) as mesh:
            blocking_caller = await connect(mesh.upstreams[0].address)
            blocking_caller.send(encode_request("/x", headers={"x-fault": "stall"}))
            await wait_until(lambda: mesh.upstreams[0].slots_in_use == 1)
            response = await mesh.get("/scans", x_request="r")
            assert (response.outcome, response.reason) == ("not-run", "upstream-refused")
            assert mesh.count_runs("r") == 0
            blocking_caller.close()

    @run_async
    async def test_a_late_response_never_reaches_another_caller(self) -> None:
        async with run_mesh() as mesh:
            headers = {"godwit-deadline-ms": "50", "x-fault": "late", "x-request": "first"}
            first = await request(mesh.inner_address, "/scans", headers=headers)
            assert (first.status, first.outcome) == (504, "unknown")
            for number in range(5):
                response = await mesh.get("/scans", x_request=f"r{number}", x_work_ms="60")
                assert response.body == f"r{number} /scans 0".encode()

    @run_async
    async def test_surplus_bytes_after_a_response_never_reach_another_caller(self) -> None:
        async with run_mesh() as mesh:
            for number in range(5):
                response = await mesh.get("/books", x_fault="two-answers", x_request=f"r{number}")
                assert response.body == f"r{number} /books 0".encode()

    @run_async
    async def test_no_call_fails_on_idle_connections_that_the_upstream_closed(self) -> None:
        async with run_mesh(options=UpstreamOptions(idle_timeout_s=0.01)) as mesh:
            for number in range(20):
                response = await mesh.get("/scans", x_request=f"r{number}")
                assert response.status == 200
                assert mesh.count_runs(f"r{number}") == 1
                await anyio.sleep(0.02)


class TestDeadlines:
    @run_async
    async def test_the_forwarded_deadline_is_shorter_than_the_received_one(self) -> None:
        async with run_mesh() as mesh:
            await mesh.get("/books", godwit_deadline_ms="500")
            await mesh.get("/books")
            from_header, from_policy = mesh.upstreams[0].deadlines_ms
            assert 0 < from_header < 500
            assert 500 < from_policy < 2_000

    @run_async
    async def test_a_caller_that_disconnects_cancels_the_call_at_the_upstream(self) -> None:
        async with run_mesh() as mesh:
            caller = await connect(mesh.inner_address)
            caller.send(encode_request("/scans", headers={"x-fault": "stall"}))
            await wait_until(lambda: mesh.upstreams[0].slots_in_use == 1)
            caller.close()
            await wait_until(lambda: mesh.upstreams[0].counts["cancelled"] == 1)
            assert mesh.edge.core.calls_in_progress == 0

    @run_async
    async def test_the_call_depth_is_limited_inside_the_mesh_and_ignored_from_outside(self) -> None:
        async with run_mesh() as mesh:
            deep = {"godwit-depth": "14"}
            assert (await request(mesh.inner_address, "/books", headers=deep)).status == 508
            assert (await request(mesh.outer_address, "/books", headers=deep)).status == 200

    @run_async
    async def test_a_slow_read_is_hedged_within_the_budget(self) -> None:
        async with run_mesh(upstream_count=2) as mesh:
            for _ in range(40):
                await mesh.get("/books")
            response = await mesh.get("/books", x_fault="late", x_request="r")
            assert response.body == b"r /books 0"
            assert mesh.edge.core.statistics.counts["hedged"] >= 1
            assert mesh.count_runs("r") == 2


class TestUploads:
    @run_async
    async def test_a_stalled_upload_never_reaches_an_upstream_and_is_reported_as_not_run(
        self,
    ) -> None:
        async with run_mesh() as mesh:
            caller = await connect(mesh.inner_address)
            head = b"POST /scans HTTP/1.1\r\nhost: mesh.test\r\ncontent-length: 1000\r\n\r\nabc"
            response = await caller.send(head)
            assert (response.status, response.outcome) == (408, "not-run")
            assert mesh.upstreams[0].counts["requests"] == 0
            assert mesh.upstreams[0].peak_connections == 0

    @run_async
    async def test_a_hundred_slow_uploads_do_not_block_other_calls(self) -> None:
        async with run_mesh() as mesh:
            head = b"POST /scans HTTP/1.1\r\nhost: mesh.test\r\ncontent-length: 100000\r\n\r\n"
            callers = [await connect(mesh.inner_address) for _ in range(100)]
            for caller in callers:
                caller.send(head + bytes(1000))
            responses = [await mesh.get("/books") for _ in range(20)]
            assert {response.status for response in responses} == {200}
            assert mesh.upstreams[0].peak_slots_in_use == 1
            for caller in callers:
                caller.close()

    @run_async
    async def test_a_long_upload_is_forwarded_completely(self) -> None:
        async with run_mesh() as mesh:
            body = bytes(8 * 1024 * 1024)
            response = await request(mesh.inner_address, "/scans", "POST", {"x-request": "r"}, body)
            assert response.body == f"r /scans {len(body)}".encode()


class TestShutdown:
    @run_async
    async def test_a_stopping_edge_finishes_calls_in_progress_and_accepts_no_new_ones(self) -> None:
        async with run_mesh() as mesh:
            caller = await connect(mesh.inner_address)
            pending = caller.send(encode_request("/scans", headers={"x-work-ms": "300"}))
            await wait_until(lambda: mesh.upstreams[0].slots_in_use == 1)
            await mesh.edge.stop()
            response = await pending
            assert response.is_complete and response.status == 200
            with pytest.raises(OSError):
                await connect(mesh.inner_address)

    @run_async
    async def test_an_upstream_that_leaves_receives_no_new_calls_and_finishes_its_own(self) -> None:
        async with run_mesh(upstream_count=2) as mesh:
            removed, remaining = mesh.upstreams
            pending = [asyncio.ensure_future(mesh.get("/scans", x_work_ms="300")) for _ in range(4)]
            await wait_until(lambda: removed.slots_in_use + remaining.slots_in_use == 4)
            mesh.services.set_upstreams(SHOP, [build_upstream(1, remaining.address)])
            requests_before = removed.counts["requests"]
            for _ in range(20):
                assert (await mesh.get("/scans")).status == 200
            removed.drain()
            assert removed.counts["requests"] == requests_before
            assert [(await call).status for call in pending] == [200] * 4

    @run_async
    async def test_a_new_version_applies_to_new_calls_but_not_to_those_in_progress(self) -> None:
        async with run_mesh() as mesh:
            pending = asyncio.ensure_future(mesh.get("/books", x_work_ms="200", x_request="r"))
            await wait_until(lambda: mesh.upstreams[0].slots_in_use == 1)
            route = Route(RouteName("maps"), "/maps", SHOP, policy=READ_POLICY)
            policy = Policy(READ_POLICY, execution=Execution.IDEMPOTENT)
            document = Document(1, (Service(SHOP),), (route,), (policy,))
            mesh.services.publish(build_snapshot(document, version=2))
            assert (await mesh.get("/books")).status == 404
            assert (await mesh.get("/maps")).status == 200
            mesh.services.publish(build_snapshot(version=1))
            assert (
                await mesh.get("/books")
            ).status == 404, "an older version must not replace a newer one"
            assert (await pending).body == b"r /books 0"


class RefusingCrashGuard:
    """Refuses a request once an upstream has crashed under it."""

    def __init__(self) -> None:
        self.has_crashed = False

    async def start(self, tasks: TaskGroup) -> None:
        pass

    async def stop(self) -> None:
        pass

    def is_refused(self, request: RequestDescriptor) -> bool:
        return self.has_crashed

    def report_crash(self, request: RequestDescriptor) -> None:
        self.has_crashed = True

    def record_ended(self, request: RequestDescriptor, has_succeeded: bool) -> None:
        pass

    def record_completed(self, service: ServiceName, method: bytes, target: bytes) -> None:
        pass


class TestCrashingRequests:
    @run_async
    async def test_a_request_that_is_refused_after_its_first_attempt_is_not_retried(self) -> None:
        async with run_mesh(2, extra_services={"crashes": RefusingCrashGuard()}) as mesh:
            response = await mesh.get("/books", x_fault="break", x_request="r")
            assert response.outcome == "unknown"
            assert mesh.count_runs("r") == 1


class TestPartitions:
    @run_async
    async def test_connections_are_shared_with_daemons_that_are_out_of_sight(self) -> None:
        async with run_mesh() as mesh:
            upstreams = [
                build_upstream(number, Address(f"127.0.0.1:{number + 1}")) for number in range(40)
            ]
            services = mesh.services
            services.member_count = 1_000
            services.set_upstreams(SHOP, upstreams)
            await mesh.get("/books")
            used = services.used_upstreams
            assert 0 < used < len(upstreams)
            services.member_count = 2
            services.set_upstreams(SHOP, upstreams[1:])
            services.used_upstreams = 0
            await mesh.get("/books")
            assert 0 < services.used_upstreams <= used
