"""Bounds that follow from the daemon's memory and descriptors, at the edge."""

import anyio

from godwitpass.internal.calls.messages import CallerKey
from godwitpass_daemon.edge.buffer_budget import BufferBudget, Holder
from godwitpass_daemon.edge.limits import BODY_BUFFER_BYTES
from godwitpass_daemon.edge.stopped_clients import (
    LOG_INTERVAL_S,
    MAX_LOGGED_CALLERS,
    StoppedClients,
    StopReason,
)
from godwitpass_daemon.resources import MIN_DESCRIPTORS, Resources
from godwitpass_testkit.caller import CallerProtocol, connect, encode_request, request
from godwitpass_testkit.edge import Mesh, run_async, run_mesh

RESOURCES = Resources(descriptors=MIN_DESCRIPTORS)
SMALL_MEMORY = Resources(memory_mb=1)
LIMIT = RESOURCES.caller_connections


async def wait_for_connections(mesh: Mesh, count: int) -> None:
    while len(mesh.edge.core.connections) != count:
        await anyio.sleep(0.01)


async def open_connections(mesh: Mesh, count: int) -> list[CallerProtocol]:
    opened = len(mesh.edge.core.connections)
    connections = [await connect(mesh.inner_address) for _ in range(count)]
    await wait_for_connections(mesh, opened + count)
    return connections


class TestConnections:
    @run_async
    async def test_the_longest_idle_connection_makes_room_for_a_new_one(self) -> None:
        async with run_mesh(resources=RESOURCES) as mesh:
            connections = await open_connections(mesh, LIMIT)
            assert (await connections[0].send(encode_request("/books"))).status == 200
            assert (await request(mesh.outer_address, "/books")).status == 200
            await wait_for_connections(mesh, LIMIT - 1)
            assert [connection.is_closed for connection in connections[:3]] == [False, True, False]
            assert mesh.edge.core.stopped_clients.counts[StopReason.IDLE] == 1
            assert mesh.services.emitted_names.count("calls.client-stopped") == 1

    @run_async
    async def test_a_connection_is_refused_while_all_others_have_calls_in_progress(self) -> None:
        async with run_mesh(resources=RESOURCES) as mesh:
            connections = await open_connections(mesh, LIMIT)
            head = b"POST /scans HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nx"
            for connection in connections:
                connection.send(head)
            while mesh.edge.core.calls_in_progress < LIMIT:
                await anyio.sleep(0.01)
            refused = await connect(mesh.outer_address)
            assert (await refused.send(b"")).is_closed
            assert mesh.edge.core.stopped_clients.counts == {StopReason.CONNECTIONS: 1}
            assert not any(connection.is_closed for connection in connections)


class TestMemory:
    @run_async
    async def test_unfinished_bodies_beyond_the_memory_are_refused_as_not_run(self) -> None:
        async with run_mesh(resources=SMALL_MEMORY) as mesh:
            head = b"POST /books HTTP/1.1\r\nhost: h\r\ncontent-length: 60000\r\n\r\n"
            callers = [await connect(mesh.inner_address) for _ in range(24)]
            answers = []
            for caller in callers:
                answers.append(caller.send(head + bytes(59_999)))
                await anyio.sleep(0.01)
            core = mesh.edge.core
            assert 0 < core.buffers.taken_bytes <= SMALL_MEMORY.buffer_bytes
            refused = [answer.result() for answer in answers if answer.done()]
            assert {(answer.outcome, answer.reason) for answer in refused} == {
                ("not-run", "overloaded")
            }
            assert (await mesh.get("/books")).status == 200
            for caller in callers:
                caller.close()
            await wait_for_connections(mesh, 0)
            assert core.buffers.taken_bytes == 0

    def test_the_connections_that_are_slowest_give_way_first(self) -> None:
        reclaimed: list[float] = []
        holders: list[Holder] = []
        budget = BufferBudget(100, lambda: holders)
        for progress_at in (3.0, 1.0, 2.0):
            holders.append(RecordedHolder(budget, progress_at, reclaimed))
        budget.change(101)
        assert reclaimed == [1.0]


class RecordedHolder:
    is_reclaimable = True

    def __init__(self, budget: BufferBudget, progress_at: float, reclaimed: list[float]) -> None:
        self.progress_at = progress_at
        self.held_bytes = 30
        self._budget = budget
        self._reclaimed = reclaimed

    def reclaim(self) -> None:
        self._reclaimed.append(self.progress_at)
        self._budget.change(-self.held_bytes)


class TestUploads:
    @run_async
    async def test_a_body_that_pauses_when_its_buffer_is_exactly_full_is_served(self) -> None:
        async with run_mesh() as mesh:
            caller = await connect(mesh.outer_address)
            size = BODY_BUFFER_BYTES + 1
            head = b"POST /scans HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % size
            answer = caller.send(head + bytes(BODY_BUFFER_BYTES))
            await anyio.sleep(0.2)
            caller.write(b"x")
            assert (await answer).body == b" /scans %d" % size

    @run_async
    async def test_a_body_that_never_begins_ends_at_its_stall_timeout(self) -> None:
        async with run_mesh() as mesh:
            caller = await connect(mesh.outer_address)
            head = b"POST /scans HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n"
            response = await caller.send(head)
            assert (response.outcome, response.reason) == ("not-run", "stalled")


class TestStoppedClients:
    def test_stops_are_reported_once_per_caller_and_minute(self) -> None:
        reported: list[CallerKey] = []
        clients = StoppedClients(lambda caller, reason: reported.append(caller))
        for now in (0.0, 1.0, LOG_INTERVAL_S - 1, LOG_INTERVAL_S + 1):
            clients.record(CallerKey("a"), StopReason.MEMORY, now)
        assert reported == ["a", "a"]
        assert clients.counts[StopReason.MEMORY] == 4

    def test_stops_of_many_callers_take_bounded_memory(self) -> None:
        reported: list[CallerKey] = []
        clients = StoppedClients(lambda caller, reason: reported.append(caller))
        for number in range(2 * MAX_LOGGED_CALLERS):
            clients.record(CallerKey(f"c{number}"), StopReason.MEMORY, 0.0)
        assert len(reported) == MAX_LOGGED_CALLERS
        clients.record(CallerKey("last"), StopReason.MEMORY, LOG_INTERVAL_S)
        assert reported[-1] == "last"
