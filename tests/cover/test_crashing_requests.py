"""Requests that end each server that runs them, sent to three daemons in one process."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import TaskGroup

from godwitpass_platform_stand_ins import Deployment, RunCheck, encode_call, exchange
from godwitpass_platform_stand_ins.deployment import Machine, wait_until

MAX_CRASHES = 3
MAX_LATER_RUNS = 3
"""Runs that may follow the third crash, while the daemons hear of it."""


async def restart_ended_servers(deployment: Deployment) -> None:
    for machine in deployment.machines[1:]:
        server = machine.server
        await server.stop()
        await server.start()
        server.started_ms += 1_000
        await server.send_heartbeat(machine.control_address)


@asynccontextmanager
async def restart_servers_at_once(
    deployment: Deployment, heartbeat_delay_s: float
) -> AsyncIterator[None]:
    """Start each server again 20 ms after its end, with a heartbeat `heartbeat_delay_s` later."""

    async def watch(machine: Machine) -> None:
        server = machine.server
        crashes_seen = server.crash_count
        while True:
            await anyio.sleep(0.005)
            if server.crash_count > crashes_seen:
                crashes_seen = server.crash_count
                await anyio.sleep(0.02)
                await server.stop()
                server.started_ms += 1_000
                await server.start()
                await anyio.sleep(heartbeat_delay_s)
                await server.send_heartbeat(machine.control_address)

    async with anyio.create_task_group() as tasks:
        for machine in deployment.machines[1:]:
            tasks.start_soon(watch, machine)
        yield
        tasks.cancel_scope.cancel()


async def send_in_turn(deployment: Deployment, paths: list[str], interval_s: float) -> int:
    """Send a call for each path, at all machines in turn; return the last status."""
    status = 0
    for number, path in enumerate(paths):
        machine = deployment.machines[number % len(deployment.machines)]
        call = encode_call(path, f"{path[1:]}-{number}", 1_000)
        status = (await exchange(machine.outbound_address, call)).status
        assert status in (502, 503)
        await anyio.sleep(interval_s)
    return status


async def restart_all_daemons(deployment: Deployment, tasks: TaskGroup) -> None:
    """End all daemons before one of them starts again, so that none can tell another anything."""
    async with anyio.create_task_group() as stops:
        for machine in deployment.machines:
            stops.start_soon(machine.stop)
    for machine in deployment.machines:
        await machine.start(tasks, wait_until_ready=False)
    await restart_ended_servers(deployment)
    await wait_until(lambda: is_served(deployment))


async def is_served(deployment: Deployment) -> bool:
    call = encode_call("/read/8", "other", 300)
    return (await exchange(deployment.outbound_address, call)).status == 200


class TestRestartsOfAllDaemons:
    def test_a_request_that_ended_three_servers_is_refused_after_two_restarts_of_all_daemons(
        self, run_check: RunCheck
    ) -> None:
        # Guards against crash counts that live only in the memory of the daemons.
        async def check(deployment: Deployment) -> None:
            path, crashes = "/read/crash/restarted", []
            async with anyio.create_task_group() as tasks:
                for round_number in range(3):
                    if round_number:
                        await restart_all_daemons(deployment, tasks)
                    statuses = []
                    for attempt in range(6):
                        machine = deployment.machines[attempt % len(deployment.machines)]
                        call = encode_call(path, f"{round_number}-{attempt}", 1_000)
                        statuses.append((await exchange(machine.outbound_address, call)).status)
                        await anyio.sleep(0.3)
                        await restart_ended_servers(deployment)
                    crashes.append(sum(server.crash_count for server in deployment.vault_servers))
                    assert set(statuses) <= {502, 503}, statuses
                    # A request with a single burst of crashes is tried once more, after 6 s.
                    admitted = 3 if round_number == 0 else 1
                    assert statuses.count(503) >= len(statuses) - admitted, (statuses, crashes)
                for machine in deployment.machines:
                    await machine.stop()
                tasks.cancel_scope.cancel()
            assert crashes[0] >= MAX_CRASHES
            assert crashes[-1] <= MAX_CRASHES + MAX_LATER_RUNS, crashes

        run_check(check)


class TestCrashingRequests:
    def test_a_request_that_ended_three_servers_is_refused_by_all_daemons(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            servers = deployment.vault_servers
            for attempt in range(12):
                machine = deployment.machines[attempt % len(deployment.machines)]
                data = encode_call("/read/crash/7", f"crash{attempt}", 1_000)
                response = await exchange(machine.outbound_address, data)
                assert response.status in (502, 503)
                for number in range(4):
                    # No server takes these, so they say nothing about the request.
                    refused = encode_call("/read/crash/7", f"down{attempt}-{number}", 300)
                    await exchange(machine.outbound_address, refused)
                await anyio.sleep(0.3)
                await restart_ended_servers(deployment)
            crashes = sum(server.crash_count for server in servers)
            assert MAX_CRASHES <= crashes <= MAX_CRASHES + MAX_LATER_RUNS
            assert response.status == 503
            other = await exchange(
                deployment.outbound_address, encode_call("/read/8", "other", 1_000)
            )
            assert other.status == 200

        run_check(check)

    def test_a_crashing_request_that_returns_with_other_queries_is_refused(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            crashes_before = sum(server.crash_count for server in deployment.vault_servers)
            for attempt in range(12):
                path = f"/read/crash/8?page={attempt}&sort=new"
                await send_in_turn(deployment, [path], 0.3)
                await restart_ended_servers(deployment)
            crashes = sum(server.crash_count for server in deployment.vault_servers)
            assert MAX_CRASHES <= crashes - crashes_before <= MAX_CRASHES + MAX_LATER_RUNS

        run_check(check)

    def test_ends_of_servers_that_are_back_at_once_count_as_crashes(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            servers = deployment.vault_servers
            for number, heartbeat_delay_s in enumerate((0.0, 0.5)):
                crashes_before = sum(server.crash_count for server in servers)
                async with restart_servers_at_once(deployment, heartbeat_delay_s):
                    paths = [f"/read/crash/at-once-{number}"] * 12
                    status = await send_in_turn(deployment, paths, 0.8)
                crashes = sum(server.crash_count for server in servers)
                assert MAX_CRASHES <= crashes - crashes_before <= MAX_CRASHES + MAX_LATER_RUNS
                assert status == 503

        run_check(check)

    def test_a_request_that_a_full_server_resets_is_not_refused(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vault_servers:
                server.fault = "reset"
            for attempt in range(8):
                data = encode_call("/order/1", f"reset{attempt}", 1_000, "POST", b"x")
                assert (await exchange(deployment.outbound_address, data)).status == 502
                await anyio.sleep(0.15)
            for server in deployment.vault_servers:
                server.clear_faults()
            data = encode_call("/order/1", "served", 1_000, "POST", b"x")
            assert (await exchange(deployment.outbound_address, data)).status == 200

        run_check(check)
