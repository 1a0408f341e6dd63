"""The operator's configuration and the store as the platform adapter reads them."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum
from typing import Any

import anyio
import msgspec
import pytest

from godwitpass.document import Execution
from godwitpass.errors import (
    HistoryEnded,
    InvalidDocument,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from godwitpass.ids import Address, Revision
from godwitpass.internal.requests import RequestFailed, Watch
from godwitpass.snapshot import Snapshot
from godwitpass.store import Entry
from godwitpass_daemon.services.store_connections import MAX_IDLE_CONNECTIONS
from godwitpass_daemon.services.store_requests import perform_request
from godwitpass_platform.configuration import CONFIGURATION_KEY, decode_configuration
from godwitpass_platform.store import CALL_TIMEOUT_S, PlatformStore, StoreResponse
from godwitpass_platform_stand_ins import (
    Deployment,
    RunCheck,
    build_configuration,
    build_route,
    encode_call,
    exchange,
    wait_until,
)


def decode(routes: dict[str, Any]) -> Snapshot:
    value = msgspec.json.encode(build_configuration(1, routes))
    return decode_configuration(Entry(CONFIGURATION_KEY, value, Revision(1)))


class TestRouteTypes:
    @pytest.mark.parametrize(
        ("route_type", "execution"),
        [
            ("safe", Execution.IDEMPOTENT),
            ("download", Execution.IDEMPOTENT),
            ("unsafe", Execution.UNSAFE),
            ("upload", Execution.UNSAFE),
        ],
    )
    def test_the_type_decides_whether_requests_may_run_more_than_once(
        self, route_type: str, execution: Execution
    ) -> None:
        document = decode({"one": build_route("/one/", "vault", route_type)}).document
        assert [policy.execution for policy in document.policies] == [execution]

    def test_an_unknown_type_is_rejected_with_its_route_and_the_known_types(self) -> None:
        routes = {
            "known": build_route("/known/", "vault"),
            "odd": build_route("/odd/", "vault", "stream"),
        }
        with pytest.raises(InvalidDocument) as caught:
            decode(routes)
        message = str(caught.value)
        assert "'odd'" in message and "'stream'" in message
        assert "safe, download, unsafe, upload" in message


class TestStorePages:
    def test_a_list_that_never_ends_is_an_error_and_not_a_partial_list(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def send_request(method: str, path: str) -> StoreResponse:
            item = {"key": "seeds/a", "value": "", "revision": 1}
            page = {"items": [item], "morePages": True, "asOf": 1}
            return StoreResponse(200, msgspec.json.encode(page))

        store = PlatformStore(Address("127.0.0.1:9"))
        monkeypatch.setattr(store, "_send_request", send_request)
        with pytest.raises(StoreUnavailable, match="seeds/"):
            anyio.run(store.list, "seeds/")


VERSION_WAIT_S = 10.0
"""Far above the bound, which tests of the reader check without a clock."""


async def wait_for_route(deployment: Deployment, path: str) -> None:
    """Wait until all daemons of `deployment` have the route of `path`."""
    for machine in deployment.machines:

        async def has_route(address: Address = machine.outbound_address) -> bool:
            return (await exchange(address, encode_call(path, "probe"))).status != 404

        await wait_until(has_route, VERSION_WAIT_S)


class TestRestoredStore:
    def test_a_version_arrives_though_its_revision_was_passed_before_the_store_went_back(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            store = deployment.store
            backup = store.state.save()
            for number in range(20):
                store.write_other_key(number)
            await wait_until(store.has_current_watches)
            store.restore(backup)
            routes = {name: build_route(f"/{name}/", "vault") for name in ("read", "again")}
            store.write_configuration(build_configuration(3, routes))
            # The revision that the readers watch from is passed again before their polls end.
            for number in range(40):
                store.write_other_key(number)
            await wait_for_route(deployment, "/again/1")

        run_check(check)

    def test_a_watch_from_a_revision_of_an_earlier_era_fails(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            client = PlatformStore(deployment.store_address)
            await client.get("op/config")
            deployment.store.restore(deployment.store.state.save())
            await client.list("seeds/")
            with pytest.raises(StoreUnavailable, match="earlier copy"):
                await client.watch("op/config", Revision(10_000), 0.1)
            await client.stop()

        run_check(check)

    def test_a_watch_from_a_discarded_revision_is_told_from_other_failures(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            client = PlatformStore(deployment.store_address)
            await client.get("op/config")
            deployment.store.history_start = Revision(10_000)
            with pytest.raises(HistoryEnded):
                await client.watch("op/config", Revision(9_999), 0.1)
            answer = await perform_request(client, Watch(7, "op/config", Revision(9_999), 0.1))
            assert isinstance(answer, RequestFailed) and answer.is_history_ended
            await client.stop()

        run_check(check)

    def test_a_condition_on_a_revision_of_an_earlier_era_is_not_sent(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            client = PlatformStore(deployment.store_address)
            await client.put("seeds/z", b"first", None)
            (entry,) = (await client.list("seeds/z")).entries
            deployment.store.restore(deployment.store.state.save())
            await client.get("op/config")
            with pytest.raises(StoreUnavailable, match="earlier copy"):
                await client.put("seeds/z", b"second", entry.revision)
            assert (await client.get("seeds/z")).value == b"first"
            await client.stop()

        run_check(check)


class TestSilentStoreConnections:
    def test_a_version_arrives_although_all_watches_wait_on_silent_connections(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            deployment.store.silence_open_connections()
            routes = {name: build_route(f"/{name}/", "vault") for name in ("read", "late")}
            deployment.store.write_configuration(build_configuration(2, routes))
            await wait_for_route(deployment, "/late/1")

        run_check(check)

    def test_after_a_poll_without_an_answer_the_store_is_read_on_a_new_connection(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            client = PlatformStore(deployment.store_address)
            async with anyio.create_task_group() as tasks:
                for _ in range(MAX_IDLE_CONNECTIONS):
                    tasks.start_soon(client.get, CONFIGURATION_KEY)
            deployment.store.silence_open_connections()
            with pytest.raises(StoreUnavailable):
                await client.watch(CONFIGURATION_KEY, Revision(10_000), 0.1)
            assert (await client.get(CONFIGURATION_KEY)).value is not None
            await client.stop()

        run_check(check)


LARGE_VALUE = bytes(700_000)


class End(Enum):
    """What a store does to the connection after its response."""

    RESET = "reset"
    CLOSED = "closed"
    OPEN = "open"


@asynccontextmanager
async def answering(response: bytes, end: End) -> AsyncIterator[PlatformStore]:
    """Serve a store that answers each request at its head, without reading the rest."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()
        if end is End.RESET:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            return
        if end is End.CLOSED:
            writer.write_eof()
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    store = PlatformStore(Address(f"{host}:{port}"))
    try:
        yield store
    finally:
        await store.stop()
        server.close()


class TestCutResponses:
    @pytest.mark.parametrize("end", [End.RESET, End.CLOSED])
    @pytest.mark.parametrize("part", [b"", b"{", b'{"revision":4'])
    def test_a_write_whose_response_is_cut_off_may_have_had_an_effect(
        self, part: bytes, end: End
    ) -> None:
        # Guards against a write that is reported as having had no effect because its response,
        # without a length, ends early while the request is being written.
        async def run() -> None:
            async with answering(b"HTTP/1.1 200 OK\r\n\r\n" + part, end) as store:
                with pytest.raises(StoreOutcomeUnknown):
                    await store.put("a/1", LARGE_VALUE, None)
                with pytest.raises(StoreUnavailable):
                    await store.get("a/1")

        for _ in range(5):
            anyio.run(run, backend_options={"use_uvloop": True})

    @pytest.mark.parametrize("status", ["000", "099", "0", "2000", "abc"])
    def test_a_response_without_a_valid_status_is_none(self, status: str) -> None:
        # Guards against an odd status that is taken for an answer, or waited on.
        async def run() -> None:
            response = f"HTTP/1.1 {status} X\r\n\r\n".encode()
            async with answering(response, End.OPEN) as store:
                with anyio.fail_after(CALL_TIMEOUT_S / 2):
                    with pytest.raises(StoreOutcomeUnknown):
                        await store.put("a/1", b"x", None)
                    with pytest.raises(StoreUnavailable):
                        await store.get("a/1")

        anyio.run(run, backend_options={"use_uvloop": True})
