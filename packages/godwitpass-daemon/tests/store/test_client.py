"""Tests of the store client against a store over HTTP, and of its circuit breaker."""

import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpcore
import msgspec
import pytest
from anyio.abc import SocketAttribute, SocketStream

from godwitpass.errors import StoreOutcomeUnknown, StoreUnavailable
from godwitpass.ids import Address, Revision
from godwitpass_daemon.services.store import StoreClient
from godwitpass_daemon.services.store_circuit_breaker import CircuitBreaker
from godwitpass_testkit.store import Faults, StoreState
from godwitpass_testkit.store.control import CONTROL_PATH, Control, Description
from godwitpass_testkit.store.server import build_server

TIMEOUT_S = 30


@asynccontextmanager
async def serve(state: StoreState) -> AsyncIterator[Address]:
    listener = socket.create_server(("127.0.0.1", 0))
    server = build_server(state, "127.0.0.1", 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [listener])
        try:
            with anyio.fail_after(TIMEOUT_S):
                while not server.started:
                    await anyio.sleep(0.01)
            yield Address(f"127.0.0.1:{listener.getsockname()[1]}")
        finally:
            server.should_exit = True


def find_closed_address() -> Address:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return Address(f"127.0.0.1:{listener.getsockname()[1]}")


async def call_control(address: Address, control: Control) -> Description:
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"http://{address}{CONTROL_PATH}"
        response = await pool.request("POST", url, content=msgspec.json.encode(control))
    assert response.status == 200, response.content
    return msgspec.json.decode(response.content, type=Description)


class TestCallsOverHttp:
    def test_every_operation_returns_what_the_store_holds(self) -> None:
        async def run() -> None:
            async with serve(StoreState()) as address:
                client = StoreClient((find_closed_address(), address))
                lease = await client.grant_lease(30)
                put = await client.put("a/1", b"x", Revision(0), lease)
                assert put.written
                assert await client.get("a/1") == put.entry
                assert (await client.list("a/")).entries == (put.entry,)
                assert not (await client.put("a/1", b"y", Revision(0))).written
                assert (await client.watch("a/", Revision(0), 5)).entries == (put.entry,)
                assert (await client.watch("b/", Revision(0), 0)).entries == ()
                assert await client.renew_lease(lease)
                await client.revoke_lease(lease)
                assert (await client.get("a/1")).value is None
                assert (await client.delete("a/1", None)).written
                await client.stop()

        anyio.run(run)

    def test_a_watch_returns_when_another_client_writes(self) -> None:
        async def run() -> None:
            async with serve(StoreState()) as address:
                client = StoreClient((address,))
                with anyio.fail_after(TIMEOUT_S):
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(client.put, "a/1", b"x", None)
                        result = await client.watch("a/", Revision(0), TIMEOUT_S)
                assert [entry.key for entry in result.entries] == ["a/1"]
                await client.stop()

        anyio.run(run)


class TestErrors:
    def test_a_write_whose_answer_is_lost_has_an_unknown_outcome_and_took_effect(self) -> None:
        async def run() -> None:
            async with serve(StoreState()) as address:
                client = StoreClient((address,))
                await call_control(address, Control(faults=Faults(lost_answers=1)))
                with pytest.raises(StoreOutcomeUnknown):
                    await client.put("k", b"x", None)
                assert (await client.get("k")).value == b"x"
                assert (client.counts.unknown, client.counts.unavailable) == (1, 0)
                await client.stop()

        anyio.run(run)

    def test_a_store_that_refuses_or_is_unreachable_is_unavailable(self) -> None:
        async def run() -> None:
            async with serve(StoreState()) as address:
                client = StoreClient((address,))
                await call_control(address, Control(faults=Faults(down=True)))
                with pytest.raises(StoreUnavailable):
                    await client.put("k", b"x", None)
                described = await call_control(address, Control(faults=Faults()))
                assert described.counts.refused == 1
                assert (await client.get("k")).value is None
                await client.stop()
            unreachable = StoreClient((find_closed_address(),))
            with pytest.raises(StoreUnavailable):
                await unreachable.put("k", b"x", None)
            await unreachable.stop()

        anyio.run(run)

    def test_an_undecodable_answer_counts_as_lost(self) -> None:
        async def answer(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n\xc1")

        async def run() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            client = StoreClient((Address(f"127.0.0.1:{port}"),))
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, answer)
                with pytest.raises(StoreOutcomeUnknown):
                    await client.put("k", b"x", None)
                with pytest.raises(StoreUnavailable):
                    await client.get("k")
                await client.stop()
                tasks.cancel_scope.cancel()

        anyio.run(run)


class TestCircuitBreaker:
    def test_clients_of_an_unavailable_store_send_few_calls_at_different_times(self) -> None:
        breakers = [CircuitBreaker(random.Random(seed)) for seed in range(100)]
        calls_per_second = [0] * 120
        for tick in range(1200):
            for breaker in breakers:
                if breaker.allow_call(tick / 10):
                    calls_per_second[tick // 10] += 1
                    breaker.record_failure(tick / 10)
        assert sum(calls_per_second[60:]) / 60 < len(breakers)
        assert max(calls_per_second[60:]) < len(breakers)

    def test_a_success_ends_the_back_off(self) -> None:
        breaker = CircuitBreaker(random.Random(1))
        for _ in range(10):
            breaker.record_failure(0)
        assert not breaker.allow_call(0)
        assert breaker.allow_call(10)
        assert not breaker.allow_call(10)
        breaker.record_success()
        assert breaker.allow_call(10)
