"""Planned stops while callers read slowly, with daemons in one process."""

import anyio

from godwitpass_daemon.relay.service import READINESS_PROPAGATION_S, RelayService
from godwitpass_platform_stand_ins import Deployment, RunCheck

MARGIN_S = 0.8
"""Time that a stop without work takes beyond the propagation of the readiness."""


class SlowCaller:
    """A connection whose caller has not taken all of its last response."""

    has_unsent_output = True

    def close_if_idle(self) -> None:
        """Stay open, as the response is still being read."""

    def check_timeouts(self, now: float) -> None:
        """Stay open."""


class TestSlowCallers:
    def test_a_daemon_does_not_end_before_its_responses_were_taken(
        self, run_check: RunCheck
    ) -> None:
        # Guards against responses whose end is lost in a planned stop.
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[0]
            assert machine.kernel is not None
            core = machine.kernel.find("relay", RelayService).core
            caller = SlowCaller()
            core.caller_connections.add(caller)  # type: ignore[arg-type]
            has_stopped = anyio.Event()

            async def stop() -> None:
                await machine.stop()
                has_stopped.set()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stop)
                await anyio.sleep(READINESS_PROPAGATION_S + MARGIN_S)
                assert not has_stopped.is_set()
                caller.has_unsent_output = False
                with anyio.fail_after(READINESS_PROPAGATION_S):
                    await has_stopped.wait()

        run_check(check)
