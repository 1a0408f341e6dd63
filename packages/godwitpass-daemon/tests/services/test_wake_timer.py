import anyio
import anyio.lowlevel

from godwitpass_daemon.services.wake_timer import WakeTimer

TIMEOUT_S = 30


class TestWakeTimer:
    def test_it_fires_at_the_earliest_time_and_ignores_later_ones(self) -> None:
        async def run() -> list[float]:
            fired: list[float] = []
            done = anyio.Event()

            def record(due_at: float) -> None:
                fired.append(due_at)
                done.set()

            now = 0.0
            timer = WakeTimer(lambda: now, record)
            timer.set(1e9)
            with anyio.fail_after(TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(timer.run)
                    await anyio.lowlevel.checkpoint()
                    now = 7.0
                    timer.set(5.0)
                    timer.set(6.0)
                    await done.wait()
                    tasks.cancel_scope.cancel()
            return fired

        assert anyio.run(run) == [5.0]
