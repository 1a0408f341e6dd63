import anyio
import anyio.lowlevel

from godwitpass_daemon.services.wake_timer import WakeTimer

LIMIT_S = 30


class TestAlarm:
    def test_an_earlier_time_rings_first_and_a_later_one_changes_nothing(self) -> None:
        async def run() -> list[float]:
            rung: list[float] = []
            done = anyio.Event()

            def ring(due: float) -> None:
                rung.append(due)
                done.set()

            now = 0.0
            alarm = WakeTimer(lambda: now, ring)
            alarm.set(1e9)
            with anyio.fail_after(LIMIT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(alarm.run)
                    await anyio.lowlevel.checkpoint()
                    now = 7.0
                    alarm.set(5.0)
                    alarm.set(6.0)
                    await done.wait()
                    tasks.cancel_scope.cancel()
            return rung

        assert anyio.run(run) == [5.0]
