import itertools
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest
from anyio.from_thread import start_blocking_portal

from godwitpass.errors import InvalidSettings
from godwitpass.timeline import concerns_request, merge_timelines, parse_timeline
from godwitpass_daemon.relay.service import RelayService
from godwitpass_platform.reload import SettingsWatch, read_stamp
from godwitpass_platform.settings import read_platform_settings
from godwitpass_platform_stand_ins import (
    Client,
    Deployment,
    build_configuration,
    build_route,
    encode,
    encode_call,
    exchange,
    settle,
)

Check = Callable[[Deployment], Awaitable[None]]
Run = Callable[[Check], None]

FIRST_PORT, PORTS_EACH = 21_000, 100
CHECK_LIMIT_S = 30.0
_ports = itertools.count(FIRST_PORT, PORTS_EACH)


@asynccontextmanager
async def run_deployment(folder: Path) -> AsyncIterator[Deployment]:
    deployment = Deployment(folder, next(_ports))
    async with anyio.create_task_group() as tasks:
        with anyio.fail_after(CHECK_LIMIT_S):
            await deployment.start(tasks)
        yield deployment
        with anyio.fail_after(CHECK_LIMIT_S):
            await deployment.stop()
        tasks.cancel_scope.cancel()


@pytest.fixture(scope="class")
def run(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Run]:
    """Run checks against one deployment for each class; each check begins without faults."""
    folder = tmp_path_factory.mktemp("deployment")
    with (
        start_blocking_portal() as portal,
        portal.wrap_async_context_manager(run_deployment(folder)) as deployment,
    ):

        async def perform(check: Check) -> None:
            for machine in deployment.machines:
                machine.server.fault, machine.server.work_s = "", 0.0
                machine.server.cut = 0
            with anyio.fail_after(CHECK_LIMIT_S):
                await check(deployment)

        yield lambda check: portal.call(perform, check)


class TestCalls:
    def test_a_server_gets_the_request_unchanged_with_the_facts_that_the_daemon_adds(
        self, run: Run
    ) -> None:
        async def check(deployment: Deployment) -> None:
            answer = await exchange(deployment.entry, encode_call("/read/7?a=b%20c", "id1", 900))
            assert answer.status == 200
            assert answer.headers["x-godwitpass-response-seal"] == "3e1b.07"
            (seen,) = [s for v in deployment.vaults for s in v.seen if s.request_id == "id1"]
            assert seen.line == "GET /read/7?a=b%20c HTTP/1.1"
            assert seen.headers["x-godwitpass-caller-service"] == "desk"
            assert 0 < int(seen.headers["x-godwitpass-timeout-ms"]) <= 900
            assert seen.headers["x-godwitpass-target-instance"] in ("i-1", "i-2")

        run(check)

    def test_pipelined_requests_are_answered_in_their_order(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            client = await Client.connect(deployment.entry)
            client.send(b"".join(encode_call(f"/read/{n}", f"p{n}") for n in range(6)))
            ids = [(await client.read()).headers["x-godwitpass-attempt-id"] for _ in range(6)]
            client.close()
            assert ids == [f"p{n}" for n in range(6)]

        run(check)

    def test_an_upload_larger_than_many_frames_arrives_whole(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            body = bytes(range(256)) * 1_200
            answer = await exchange(
                deployment.entry, encode_call("/scan/1", "up", 2_000, "POST", body)
            )
            assert answer.status == 200
            (seen,) = [s for v in deployment.vaults for s in v.seen if s.request_id == "up"]
            assert seen.body == body

        run(check)

    def test_what_no_route_leads_to_is_refused_with_404(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            for path in ("/read", "/readx/1", "/other/"):
                assert (await exchange(deployment.entry, encode_call(path, "n"))).status == 404

        run(check)

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"NOT HTTP AT ALL\r\n\r\n", 400),
            (encode("GET", "/read/1"), 400),
            (encode("GET", "/read/1", b"", {"Host": "shop.example", "X-Big": "x" * 20_000}), 431),
            (
                b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
        ],
    )
    def test_bad_requests_get_a_clear_refusal_and_reach_no_server(
        self, run: Run, data: bytes, status: int
    ) -> None:
        async def check(deployment: Deployment) -> None:
            before = [len(server.seen) for server in deployment.vaults]
            assert (await exchange(deployment.entry, data)).status == status
            assert [len(server.seen) for server in deployment.vaults] == before

        run(check)


class TestFaultyServers:
    def test_a_call_that_must_run_once_is_not_sent_again_after_a_reset(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vaults:
                server.fault = "reset"
            answer = await exchange(
                deployment.entry, encode_call("/order/1", "once", 2_000, "POST", b"x")
            )
            assert answer.status == 502
            assert sum(server.runs["once"] for server in deployment.vaults) == 1

        run(check)

    def test_an_idempotent_call_goes_to_another_server_after_a_reset(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            deployment.vaults[0].fault = "reset"
            for number in range(8):
                answer = await exchange(deployment.entry, encode_call("/read/1", f"again{number}"))
                assert answer.status == 200

        run(check)

    @pytest.mark.parametrize("fault", ["unsealed", "truncated"])
    def test_an_answer_that_is_not_the_servers_whole_own_is_not_passed_on(
        self, run: Run, fault: str
    ) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vaults:
                server.fault = fault
            answer = await exchange(
                deployment.entry, encode_call("/order/1", "bad", 2_000, "POST", b"x")
            )
            assert answer.status == 502
            assert "x-godwitpass-response-seal" not in answer.headers

        run(check)

    def test_a_second_answer_goes_to_nobody(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vaults:
                server.fault = "doubled"
            for number in range(10):
                answer = await exchange(deployment.entry, encode_call("/read/1", f"d{number}"))
                assert answer.status == 200
                assert answer.headers["x-godwitpass-attempt-id"] == f"d{number}"

        run(check)

    def test_a_refusal_by_all_servers_is_a_true_not_run(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vaults:
                server.fault = "shed"
            answer = await exchange(
                deployment.entry, encode_call("/order/1", "shed", 2_000, "POST", b"x")
            )
            assert answer.status == 503
            assert 0 < float(answer.headers["retry-after"]) <= 0.7
            assert not any(server.runs["shed"] for server in deployment.vaults)

        run(check)

    def test_the_work_of_a_caller_that_left_is_stopped(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vaults:
                server.work_s = 5.0
            client = await Client.connect(deployment.entry)
            client.send(encode_call("/read/1", "left"))

            async def runs() -> bool:
                return any(server.runs["left"] for server in deployment.vaults)

            async def stopped() -> bool:
                return any(server.cut for server in deployment.vaults)

            await settle(runs)
            client.close()
            await settle(stopped, 0.5)

        run(check)


class TestLeavingServers:
    def test_a_server_that_leaves_gets_nothing_after_the_bound(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[1]
            assert await machine.server.beat(machine.control, "draining") == 200
            await anyio.sleep(0.5)
            before = len(machine.server.seen)
            for number in range(10):
                answer = await exchange(deployment.entry, encode_call("/read/1", f"l{number}"))
                assert answer.status == 200
            assert len(machine.server.seen) == before

        run(check)

    def test_a_heartbeat_that_can_t_be_read_changes_nothing(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[1]
            for body in (b"\xff\x00", b"{}", b'{"address": 7, "info": [], "status": {}}'):
                assert await machine.server.tell(machine.control, "PUT", body) == 400
            answer = await exchange(deployment.entry, encode_call("/read/1", "still"))
            assert answer.status == 200

        run(check)


class TestConfiguration:
    def test_a_new_version_is_in_force_on_every_machine(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            routes = {
                "read": build_route("/read/", "vault"),
                "added": build_route("/added/", "vault"),
            }
            deployment.store.write_configuration(build_configuration(9, routes))

            async def in_force() -> bool:
                answers = [
                    await exchange(machine.outbound, encode_call("/added/1", "new"))
                    for machine in deployment.machines
                ]
                return all(answer.status == 200 for answer in answers)

            await settle(in_force, 2.0)
            dropped = encode_call("/order/1", "old", 2_000, "POST", b"x")
            assert (await exchange(deployment.entry, dropped)).status == 404

        run(check)

    @pytest.mark.parametrize(
        "content",
        [
            b"{",
            b'{"version": "00000009", "routes": {}, "services": 7}',
            b'{"version": "zz", "routes": {}, "services": {}}',
            b'{"version": "00000009", "routes": {"r": {"host": "h"}}, "services": {}}',
        ],
    )
    def test_a_version_that_can_t_be_read_changes_nothing(self, run: Run, content: bytes) -> None:
        async def check(deployment: Deployment) -> None:
            deployment.store.write_configuration(content)
            await anyio.sleep(0.3)
            assert (await exchange(deployment.entry, encode_call("/read/1", "k"))).status == 200

        run(check)

    def test_a_machine_that_the_store_turns_away_learns_from_the_others(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[2]
            await machine.stop()
            deployment.store.away = True
            async with anyio.create_task_group() as tasks:
                await machine.start(tasks)
                await machine.server.beat(machine.control)
                answer = await exchange(machine.outbound, encode_call("/read/1", "back"))
                assert answer.status == 200
                deployment.store.away = False
                await machine.stop()
                tasks.cancel_scope.cancel()

        run(check)


class TestSettings:
    def test_a_changed_file_is_applied_and_an_unreadable_one_changes_nothing(
        self, run: Run
    ) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[0]
            assert machine.kernel is not None
            relay = machine.kernel.find("relay", RelayService)
            watch = SettingsWatch(machine.settings_path, relay, read_stamp(machine.settings_path))
            good = machine.settings_path.read_text()
            machine.settings_path.write_text(good.replace('"400ms"', '"700ms"'))
            watch.reload()
            assert relay.core.runner.drain_s == 0.7
            machine.settings_path.write_text("[self\n")
            watch.reload()
            machine.settings_path.write_text(good.replace("zone", "zoned"))
            watch.reload()
            assert relay.core.runner.drain_s == 0.7
            answer = await exchange(deployment.entry, encode_call("/read/1", "reloaded"))
            assert answer.status == 200

        run(check)

    def test_all_that_is_wrong_with_a_file_is_told_with_its_place(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.toml"
        path.write_text('[self]\nnodeName = "a"\n')
        with pytest.raises(InvalidSettings) as caught:
            read_platform_settings(path)
        assert str(path) in str(caught.value)


def read_story(deployment: Deployment, request: str) -> list[str]:
    """Return the names of the logged events of one request, in order."""
    logs = [parse_timeline(machine.log.read_bytes(), "") for machine in deployment.machines]
    return [
        f"{event.name} {event.fields.get('reason', event.fields.get('outcome', ''))}".strip()
        for event in merge_timelines(logs)
        if concerns_request(event, request)
    ]


class TestExplaining:
    """The three stories of docs/OPERATIONS.md."""

    def test_a_refusal_for_lack_of_room_is_found_from_its_id(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vaults:
                server.work_s = 1.0
            clients = [await Client.connect(deployment.entry) for _ in range(30)]
            for number, client in enumerate(clients):
                client.send(encode_call("/read/1", f"crowd{number}", 1_400))
            answers = [await client.read() for client in clients]
            for client in clients:
                client.close()
            refused = [n for n, answer in enumerate(answers) if answer.status == 503]
            assert refused
            story = read_story(deployment, f"crowd{refused[0]}")
            assert "relay.run-refused no_room" in story
            assert story[-1] == "relay.call-failed refused: no_room"

        run(check)

    def test_a_timeout_behind_a_slow_server_is_found_from_its_id(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vaults:
                server.work_s = 5.0
            answer = await exchange(deployment.entry, encode_call("/read/1", "slow", 400))
            assert answer.status == 504
            await anyio.sleep(0.1)
            story = read_story(deployment, "slow")
            assert story == ["relay.call-failed deadline", "relay.run-cancelled cancelled"]

        run(check)

    def test_an_answer_lost_by_a_reset_is_found_from_its_id(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vaults:
                server.fault = "reset"
            call = encode_call("/order/1", "gone", 2_000, "POST", b"x")
            assert (await exchange(deployment.entry, call)).status == 502
            story = read_story(deployment, "gone")
            assert story == ["relay.run-failed reset", "relay.call-failed reset"]

        run(check)


class TestMetrics:
    def test_counters_and_latencies_are_served(self, run: Run) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[0]
            request = encode("GET", "/metrics", b"", {"Host": "x"})
            answer = await exchange(f"{machine.ip}:9464", request)  # type: ignore[arg-type]
            text = answer.body.decode()
            assert 'godwitpass_relay_calls_total{event="status-200"}' in text
            assert "godwitpass_relay_call_seconds_count" in text
            assert "godwitpass_relay_configuration_version 1\n" in text

        run(check)
