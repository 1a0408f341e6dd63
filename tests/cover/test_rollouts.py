"""Roll-outs with real daemons, servers and a store, in one process."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path

import anyio
import msgspec
import pytest
from anyio.from_thread import start_blocking_portal

from godwitpass_platform_stand_ins import Deployment, RunCheck, encode_call, exchange, wait_until

FIRST_BASE_PORT = 29_000
BOUNDS = """exposeShare = 0.1
exposeSlack = 50
rollback = "5000ms"
"""
CALLS_PER_S = 60.0
DURATION_S = 8.0


class Traffic:
    """Calls at a steady rate through the first machine."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.statuses: list[int] = []

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(self._call, len(self.statuses))
                await anyio.sleep(1 / CALLS_PER_S)

    async def _call(self, number: int) -> None:
        address = self._deployment.outbound_address
        response = await exchange(address, encode_call(f"/read/{number}", f"c-{number}"))
        self.statuses.append(response.status)


@asynccontextmanager
async def run_deployment(folder: Path, base_port: int) -> AsyncIterator[Deployment]:
    deployment = Deployment(folder, base_port, BOUNDS, ("v2", "v2"))
    async with anyio.create_task_group() as tasks:
        with anyio.fail_after(30):
            await deployment.start(tasks)
        try:
            yield deployment
        finally:
            with anyio.fail_after(30, shield=True):
                await deployment.stop()
            tasks.cancel_scope.cancel()


@contextmanager
def run_checks(folder: Path, base_port: int) -> Iterator[RunCheck]:
    with (
        start_blocking_portal(backend_options={"use_uvloop": True}) as portal,
        portal.wrap_async_context_manager(run_deployment(folder, base_port)) as deployment,
    ):
        yield lambda check: portal.call(check, deployment)


async def read_phase(deployment: Deployment) -> str:
    entry = deployment.store.state.get("status/rollout/vault", anyio.current_time())
    try:
        return str(msgspec.json.decode(entry.value or b"{}")["phase"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return ""


def write_order(deployment: Deployment, duration: str = f"{DURATION_S:.0f}s") -> None:
    order = {"service": "vault", "targetVersion": "v2", "duration": duration}
    now = anyio.current_time()
    value = msgspec.json.encode(order)
    deployment.store.state.put("op/rollout/vault", value, None, None, now)


async def wait_for_phase(deployment: Deployment, phase: str) -> None:
    async def has_phase() -> bool:
        return await read_phase(deployment) == phase

    await wait_until(has_phase, DURATION_S)


def count_target_runs(deployment: Deployment) -> int:
    return sum(len(machine.server.received_requests) for machine in deployment.machines[3:])


class TestRollouts:
    @pytest.mark.parametrize("is_good", [True, False])
    def test_an_order_moves_the_service_or_is_rolled_back(
        self, tmp_path: Path, is_good: bool
    ) -> None:
        """Guards the way from the order in the store to the calls at servers and the record."""

        async def check(deployment: Deployment) -> None:
            traffic = Traffic(deployment)
            targets = [machine.server for machine in deployment.machines[3:]]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(traffic.run)
                await anyio.sleep(1.0)
                assert count_target_runs(deployment) == 0
                for server in targets:
                    server.status = 200 if is_good else 500
                before = len(traffic.statuses)
                write_order(deployment)
                await wait_for_phase(deployment, "completed" if is_good else "rolled_back")
                calls, runs = len(traffic.statuses) - before, count_target_runs(deployment)
                if is_good:
                    old_runs = sum(
                        len(server.received_requests) for server in deployment.vault_servers
                    )
                    await anyio.sleep(1.0)
                    assert old_runs == sum(
                        len(server.received_requests) for server in deployment.vault_servers
                    )
                    assert count_target_runs(deployment) > runs
                else:
                    assert runs <= 0.1 * calls + 50
                    runs = count_target_runs(deployment)
                    await anyio.sleep(1.0)
                    assert count_target_runs(deployment) == runs
                tasks.cancel_scope.cancel()
            if is_good:
                assert set(traffic.statuses) == {200}

        with run_checks(tmp_path, FIRST_BASE_PORT + 100 * is_good) as run:
            run(check)

    def test_unusable_orders_and_records_leave_the_daemons_running(self, tmp_path: Path) -> None:
        """Guards against values in the store that end a process or stop the watch."""

        async def check(deployment: Deployment) -> None:
            now = anyio.current_time()
            for number, value in enumerate((b"\xff", b"[]", b"[" * 5_000, b'{"service":"x"}')):
                key = f"op/rollout/{'vault' if number % 2 else 'desk'}"
                deployment.store.state.put(key, value, None, None, now)
                deployment.store.state.put("status/rollout/vault", value, None, None, now)
                await anyio.sleep(0.1)
            write_order(deployment)
            await wait_for_phase(deployment, "running")
            response = await exchange(deployment.outbound_address, encode_call("/read/x", "x"))
            assert response.status == 200

        with run_checks(tmp_path, FIRST_BASE_PORT + 200) as run:
            run(check)
