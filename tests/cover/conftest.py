import itertools
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest
from anyio.from_thread import start_blocking_portal

from godwitpass_platform_stand_ins import Check, Deployment, RunCheck

FIRST_BASE_PORT, PORTS_PER_DEPLOYMENT = 21_000, 100
CHECK_TIMEOUT_S = 30.0
_base_ports = itertools.count(FIRST_BASE_PORT, PORTS_PER_DEPLOYMENT)


@asynccontextmanager
async def run_deployment(folder: Path, bounds: str) -> AsyncIterator[Deployment]:
    deployment = Deployment(folder, next(_base_ports), bounds)
    async with anyio.create_task_group() as tasks:
        with anyio.fail_after(CHECK_TIMEOUT_S):
            await deployment.start(tasks)
        yield deployment
        with anyio.fail_after(CHECK_TIMEOUT_S):
            await deployment.stop()
        tasks.cancel_scope.cancel()


@pytest.fixture(scope="class")
def run_check(
    tmp_path_factory: pytest.TempPathFactory, request: pytest.FixtureRequest
) -> Iterator[RunCheck]:
    """Return a function that runs a check against the class's deployment, with faults cleared.

    The daemons' settings have the class's `bounds` in addition, if there are any.
    Checks run on uvloop, like the daemon.
    """
    folder = tmp_path_factory.mktemp("deployment")
    with (
        start_blocking_portal(backend_options={"use_uvloop": True}) as portal,
        portal.wrap_async_context_manager(
            run_deployment(folder, getattr(request.cls, "bounds", ""))
        ) as deployment,
    ):

        async def clear_faults_and_check(check: Check) -> None:
            for machine in deployment.machines:
                machine.server.clear_faults()
            with anyio.fail_after(CHECK_TIMEOUT_S):
                await check(deployment)

        yield lambda check: portal.call(clear_faults_and_check, check)
