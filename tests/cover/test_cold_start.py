"""Calls at a daemon that has just started."""

import itertools
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest

from godwitpass.ids import Address
from godwitpass_daemon.listeners import HttpListener
from godwitpass_platform_stand_ins import Client, build_configuration, build_route, encode_call
from godwitpass_platform_stand_ins.deployment import Machine
from godwitpass_platform_stand_ins.store import StoreStandIn

CHECK_LIMIT_S = 30.0
_ports = itertools.count(28_000, 100)


class TestColdStart:
    """A daemon that finds neither the store nor another daemon."""

    def run_alone(
        self, folder: Path, check: Callable[[Machine, StoreStandIn], Awaitable[None]]
    ) -> None:
        async def perform() -> None:
            store, port = StoreStandIn(), next(_ports)
            address = Address(f"127.0.{port // 100 % 200 + 1}.8:{port}")
            listener = HttpListener(store.answer, address)
            store.away = True
            store.write_configuration(
                build_configuration(1, {"read": build_route("/read/", "desk")})
            )
            machine = Machine(folder, 40, "desk", address, port)
            async with anyio.create_task_group() as tasks:
                await listener.start(tasks)
                await machine.server.start()
                await machine.start(tasks, until_ready=False)
                await machine.server.beat(machine.control)
                with anyio.fail_after(CHECK_LIMIT_S):
                    await check(machine, store)
                await machine.stop()
                await machine.server.stop()
                listener.request_stop()
                tasks.cancel_scope.cancel()

        anyio.run(perform, backend_options={"use_uvloop": True})

    def test_a_call_waits_for_the_configuration_that_is_about_to_come(self, tmp_path: Path) -> None:
        async def check(machine: Machine, store: StoreStandIn) -> None:
            client = await Client.connect(machine.outbound)
            client.send(encode_call("/read/1", "early", 40_000))
            client.send(encode_call("/other/1", "nowhere", 40_000))
            store.away = False
            assert (await client.read()).status == 200
            assert (await client.read()).status == 404
            client.close()

        self.run_alone(tmp_path, check)

    def test_a_call_is_refused_once_it_waited_for_its_share_of_time(self, tmp_path: Path) -> None:
        async def check(machine: Machine, store: StoreStandIn) -> None:
            client = await Client.connect(machine.outbound)
            begun = anyio.current_time()
            client.send(encode_call("/read/1", "late", 1_000))
            answer = await client.read()
            assert answer.status == 503
            assert answer.headers["retry-after"]
            assert anyio.current_time() - begun == pytest.approx(0.15, abs=0.1)
            assert not machine.server.runs
            client.close()

        self.run_alone(tmp_path, check)
