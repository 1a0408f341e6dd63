"""Calls to a daemon that has just started and has no configuration yet."""

import itertools
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest

from godwitpass.ids import Address
from godwitpass_daemon.listeners import HttpListener
from godwitpass_platform_stand_ins import (
    Client,
    build_configuration,
    build_route,
    choose_network,
    encode_call,
)
from godwitpass_platform_stand_ins.deployment import Machine
from godwitpass_platform_stand_ins.store import StandInStore

CHECK_TIMEOUT_S = 30.0
_base_ports = itertools.count(28_000, 100)


class TestColdStart:
    """A daemon that can reach neither the store nor another daemon."""

    def run_single_machine(
        self, folder: Path, check: Callable[[Machine, StandInStore], Awaitable[None]]
    ) -> None:
        async def start_and_check() -> None:
            store, base_port = StandInStore(), next(_base_ports)
            address = Address(f"{choose_network(base_port // 100)}.8:{base_port}")
            listener = HttpListener(store.handle_request, address)
            store.is_unavailable = True
            store.write_configuration(
                build_configuration(1, {"read": build_route("/read/", "desk")})
            )
            machine = Machine(folder, 40, "desk", address, base_port)
            async with anyio.create_task_group() as tasks:
                await listener.start(tasks)
                await machine.server.start()
                await machine.start(tasks, wait_until_ready=False)
                await machine.server.send_heartbeat(machine.control_address)
                with anyio.fail_after(CHECK_TIMEOUT_S):
                    await check(machine, store)
                await machine.stop()
                await machine.server.stop()
                listener.request_stop()
                tasks.cancel_scope.cancel()

        anyio.run(start_and_check, backend_options={"use_uvloop": True})

    def test_a_call_waits_until_the_first_configuration_arrives(self, tmp_path: Path) -> None:
        async def check(machine: Machine, store: StandInStore) -> None:
            client = await Client.connect(machine.outbound_address)
            client.send(encode_call("/read/1", "early", 40_000))
            client.send(encode_call("/other/1", "nowhere", 40_000))
            store.is_unavailable = False
            assert (await client.read_response()).status == 200
            assert (await client.read_response()).status == 404
            client.close()

        self.run_single_machine(tmp_path, check)

    def test_a_call_is_refused_after_waiting_for_a_share_of_its_timeout(
        self, tmp_path: Path
    ) -> None:
        async def check(machine: Machine, store: StandInStore) -> None:
            client = await Client.connect(machine.outbound_address)
            sent_at = anyio.current_time()
            client.send(encode_call("/read/1", "late", 1_000))
            response = await client.read_response()
            assert response.status == 503
            assert response.headers["retry-after"]
            assert anyio.current_time() - sent_at == pytest.approx(0.15, abs=0.1)
            assert not machine.server.run_counts
            client.close()

        self.run_single_machine(tmp_path, check)

    def test_a_call_that_waits_is_refused_before_its_daemon_has_stopped(
        self, tmp_path: Path
    ) -> None:
        async def check(machine: Machine, store: StandInStore) -> None:
            client = await Client.connect(machine.outbound_address)
            client.send(encode_call("/read/1", "stopped", 400_000))
            await anyio.sleep(0.1)
            await machine.stop()
            response = await client.read_response()
            client.close()
            assert response.status == 503
            assert "retry-after" in response.headers

        self.run_single_machine(tmp_path, check)
