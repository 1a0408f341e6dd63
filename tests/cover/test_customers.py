"""Customers and their keys, tested with three daemons in one process."""

from itertools import count
from typing import Any

import anyio
import msgspec
import pytest
from msgspec.structs import replace

from godwitpass.administration import CustomersReport
from godwitpass.customers import digest_key
from godwitpass_cli.main import run as run_command
from godwitpass_daemon.boot_clock import read_boot_clock
from godwitpass_daemon.peers import Channel, PeerTransport
from godwitpass_daemon.relay.service import RelayService
from godwitpass_platform.settings import METRICS_PORT
from godwitpass_platform_stand_ins import (
    Client,
    Deployment,
    RunCheck,
    build_configuration,
    build_route,
    encode_request,
    exchange,
    wait_until,
)
from godwitpass_platform_stand_ins.client import HOST, Response
from godwitpass_platform_stand_ins.server import ReceivedRequest

KEY = "k3y-0f-north"
TENANTS: dict[str, Any] = {"north": {"apiKeys": [KEY], "priority": 0}, "south": {}}
ROUTES = {
    "read": build_route("/read/", "vault"),
    "order": build_route("/order/", "vault", "unsafe"),
    "open": build_route("/open/", "vault", allowAnonymous=True),
    "desk": build_route("/desk/", "desk"),
}
_versions = count(2)
MAX_CALLS_UNTIL_RETRY = 300


async def configure(
    deployment: Deployment, tenants: dict[str, Any], routes: dict[str, Any] = ROUTES
) -> None:
    """Store a configuration and wait until all daemons use it."""
    version = await configure_store_only(deployment, tenants, routes)

    async def is_applied() -> bool:
        tables = [find_relay(deployment, n).core.table for n in range(3)]
        return all(table is not None and table.version == version for table in tables)

    await wait_until(is_applied)


async def configure_store_only(
    deployment: Deployment, tenants: dict[str, Any], routes: dict[str, Any] = ROUTES
) -> int:
    """Store a configuration without waiting for the daemons, and return its version."""
    version = next(_versions)
    deployment.store.write_configuration(
        {**build_configuration(version, routes), "tenants": tenants}
    )
    return version


def find_relay(deployment: Deployment, number: int) -> RelayService:
    kernel = deployment.machines[number].kernel
    assert kernel is not None
    return kernel.find("relay", RelayService)


def encode(
    path: str, request_id: str, authorization: str | None = None, method: str = "GET", **more: str
) -> bytes:
    headers = {"Host": HOST, "X-Godwitpass-Attempt-Id": request_id}
    headers |= {"X-Godwitpass-Timeout-Ms": "2000", **more}
    if authorization is not None:
        headers["authoriZation"] = authorization
    return encode_request(method, path, b"", headers)


async def call(deployment: Deployment, *arguments: Any, **more: str) -> Response:
    return await exchange(deployment.outbound_address, encode(*arguments, **more))


def find_received(deployment: Deployment, request_id: str) -> list[ReceivedRequest]:
    return [
        request
        for machine in deployment.machines
        for request in machine.server.received_requests
        if request.request_id == request_id
    ]


class TestKeys:
    def test_without_customers_the_key_is_forwarded_as_before(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            forged = {"X-Godwitpass-Tenant": "me"}
            assert (
                await call(deployment, "/read/1", "w1", "Basic eHk6eg==", **forged)
            ).status == 200
            (request,) = find_received(deployment, "w1")
            assert request.headers["authorization"] == "Basic eHk6eg=="
            assert request.headers["x-godwitpass-tenant"] == "me"

        run_check(check)

    def test_a_request_needs_a_key_unless_its_route_is_anonymous(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            for number, value in enumerate(
                (
                    None,
                    "Token other",
                    f"Basic {KEY}",
                    f"Bearer {KEY}",
                    KEY,
                    "Token",
                    f"Token {KEY}x",
                )
            ):
                response = await call(deployment, "/read/1", f"u{number}", value)
                assert response.status == 401
                assert response.headers["www-authenticate"] == "Token"
                assert not find_received(deployment, f"u{number}")
                assert (await call(deployment, "/open/1", f"a{number}", value)).status == 200
                (request,) = find_received(deployment, f"a{number}")
                assert "x-godwitpass-tenant" not in request.headers
            assert (await call(deployment, "/none/1", "u-404")).status == 404

        run_check(check)

    @pytest.mark.parametrize("path", ["/read/1", "/open/1", "/desk/1"])
    def test_the_server_receives_the_name_of_the_customer_and_never_the_key(
        self, run_check: RunCheck, path: str
    ) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            forged = {
                "X-Godwitpass-Tenant": "south",
                "X_Godwitpass_Tenant": "south",
                "x-godwitpass_tenant": "south",
                "Connection": "X-Godwitpass-Tenant, authorization",
            }
            response = await call(deployment, path, "s" + path, f"tOkEn {KEY}", **forged)
            assert response.status == 200
            (request,) = find_received(deployment, "s" + path)
            names = [name for name in request.headers if "tenant" in name]
            assert names == ["x-godwitpass-tenant"]
            assert request.headers["x-godwitpass-tenant"] == "north"
            assert KEY not in repr(request)

        run_check(check)

    def test_a_retry_names_the_customer(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            # One of them alone may get no calls while the other is faster.
            for server in deployment.vault_servers:
                server.fault = "reset"
            requests: list[ReceivedRequest] = []
            # The retry budget of a daemon that has just started is empty for two seconds.
            for number in range(MAX_CALLS_UNTIL_RETRY):
                await call(deployment, "/read/1", f"r{number}", f"Token {KEY}")
                requests = find_received(deployment, f"r{number}")
                if len(requests) > 1:
                    break
                await anyio.sleep(0.02)
            assert len(requests) > 1
            assert {r.headers["x-godwitpass-tenant"] for r in requests} == {"north"}

        run_check(check)

    def test_a_nested_call_needs_no_key_and_names_no_customer(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            statuses: dict[str, int] = {}

            async def make_nested_call(outer: ReceivedRequest) -> bool:
                nested_id = f"{outer.request_id}.1"
                statuses["none"] = (await call(deployment, "/read/2", nested_id)).status
                withdrawn = await call(deployment, "/read/2", nested_id, "Token withdrawn")
                statuses["withdrawn"] = withdrawn.status
                return True

            deployment.machines[0].server.make_nested_call = make_nested_call
            try:
                response = await call(deployment, "/desk/1", "outer", f"Token {KEY}")
            finally:
                deployment.machines[0].server.make_nested_call = None
            assert response.status == 200
            assert statuses == {"none": 200, "withdrawn": 401}
            (request,) = find_received(deployment, "outer.1")
            assert "x-godwitpass-tenant" not in request.headers

        run_check(check)

    def test_requests_on_one_connection_are_identified_one_by_one(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            client = await Client.connect(deployment.outbound_address)
            client.send(
                encode("/read/1", "p0", f"Token {KEY}")
                + encode("/order/1", "p1", None, "POST")
                + encode("/order/1", "p2", f"Token {KEY}", "POST")
                + encode("/read/1", "p3", "Token x")
            )
            statuses = [(await client.read_response()).status for _ in range(4)]
            client.close()
            assert statuses == [200, 401, 200, 401]

        run_check(check)

    def test_an_operator_sees_requests_by_customer(
        self, run_check: RunCheck, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            for value in (f"Token {KEY}", "Token withdrawn", None):
                await call(deployment, "/read/1", "seen", value)
            address = f"{deployment.machines[0].ip}:{METRICS_PORT}"
            arguments = ["customers", address, "--output", "json"]
            assert await anyio.to_thread.run_sync(run_command, arguments) == 0
            (status,) = msgspec.json.decode(capsys.readouterr().out, type=CustomersReport).daemons
            north, south = status.customers
            assert (north.name, north.priority) == ("north", 0)
            assert north.key_fingerprints == (digest_key(KEY)[:8],)
            assert north.counts["admitted"] >= 1 and north.calls_per_s > 0
            assert south.counts == {}
            assert status.other_counts["unknown-key"] >= 1
            assert status.other_counts["missing-key"] >= 1
            assert await anyio.to_thread.run_sync(run_command, arguments[:2]) == 0
            assert "admitted=" in capsys.readouterr().out
            metrics = find_relay(deployment, 0).render_metrics()
            assert 'customer_requests_total{customer="north",event="admitted"}' in metrics

        run_check(check)

    def test_keys_are_in_no_log_and_no_metric(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            for value in (f"Token {KEY}", "Token withdrawn-key", "Basic withdrawn-key"):
                await call(deployment, "/read/1", "log", value)
            for number, machine in enumerate(deployment.machines):
                text = machine.log_path.read_text() if machine.log_path.exists() else ""
                text += find_relay(deployment, number).render_metrics()
                assert "relay.request-refused" in text or number > 0
                assert KEY not in text
                assert "withdrawn-key" not in text

        run_check(check)


class TestFreshness:
    """Calls with keys end 0.9 s after the last confirmation; 401 and 404 end after 1 s."""

    bounds = 'revokeStrict = true\nrevoke = "2000ms"\nconfigApply = "1000ms"\n'

    def test_without_customers_no_proofs_are_exchanged(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            await anyio.sleep(0.5)
            assert (await call(deployment, "/none/1", "f404")).status == 404
            assert not any(count_proof_messages(deployment))

        run_check(check)

    def test_a_withdrawn_key_is_refused_and_others_work(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            await wait_until_admitted(deployment)
            assert all(count_proof_messages(deployment))
            await configure(deployment, {"north": {"apiKeys": ["new"]}})
            assert (await call(deployment, "/read/1", "fw", f"Token {KEY}")).status == 401
            assert (await call(deployment, "/read/1", "fn", "Token new")).status == 200

        run_check(check)

    def test_without_the_store_keyed_calls_are_refused_until_it_is_back(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            await wait_until_admitted(deployment)
            deployment.store.is_unavailable = True
            try:
                assert (await call(deployment, "/read/1", "f1", f"Token {KEY}")).status == 200
                await anyio.sleep(1.2)
                for number, (path, value) in enumerate(
                    [("/read/1", "Token x"), ("/read/1", None), ("/none/1", f"Token {KEY}")]
                ):
                    response = await call(deployment, path, f"fd{number}", value)
                    assert response.status == 503
                    assert float(response.headers["retry-after"]) == 0.3
                for path in ("/read/1", "/open/1"):
                    refused = await call(deployment, path, "f2" + path, f"Token {KEY}")
                    assert refused.status == 503
                    assert not find_received(deployment, "f2" + path)
                assert (await call(deployment, "/open/1", "f3")).status == 200
            finally:
                deployment.store.is_unavailable = False
            await wait_until_admitted(deployment)
            assert (await call(deployment, "/read/1", "f4", "Token x")).status == 401

        run_check(check)

    def test_a_new_route_is_not_denied_under_an_old_proof(self, run_check: RunCheck) -> None:
        """Guards against a 404 for a route that was acknowledged before the request was sent."""

        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            await wait_until_admitted(deployment)
            core = find_relay(deployment, 0).core
            proofs, table = core.admission.proofs, core.table
            assert proofs is not None and table is not None
            await configure(deployment, TENANTS, {**ROUTES, "new": build_route("/new/", "vault")})
            # This daemon has not got the new version; its proof is of the version that it holds.
            held, core.table = core.table, table
            core.admission.proofs = replace(proofs, compute_age=lambda version: 1.01)
            try:
                response = await call(deployment, "/new/1", "fr", f"Token {KEY}")
            finally:
                core.table, core.admission.proofs = held, proofs
            assert response.status == 503

        run_check(check)

    def test_an_unsafe_request_that_waited_is_checked_again(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            await wait_until_admitted(deployment)
            for server in deployment.vault_servers:
                server.work_s = 0.5
            client = await Client.connect(deployment.outbound_address)
            client.send(
                encode("/read/1", "fq0", f"Token {KEY}")
                + encode("/order/1", "fq1", f"Token {KEY}", "POST")
            )
            await configure(deployment, {"north": {"apiKeys": ["new"]}})
            statuses = [(await client.read_response()).status for _ in range(2)]
            client.close()
            assert statuses == [200, 401]
            assert not find_received(deployment, "fq1")

        run_check(check)

    def test_a_call_that_waited_too_long_for_a_slot_is_not_started(
        self, run_check: RunCheck
    ) -> None:
        """Guards against calls that run long after the permission of their key has ended."""

        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            await wait_until_admitted(deployment)
            core = find_relay(deployment, 0).core
            proofs = core.admission.proofs
            assert proofs is not None
            life_s = proofs.settings.permission_life_s or 0.0
            for server in deployment.vault_servers:
                server.work_s = 0.4
            proven_at = read_boot_clock() + 0.05 - life_s
            core.admission.proofs = replace(
                proofs, compute_age=lambda version: read_boot_clock() - proven_at
            )
            statuses: list[int] = []
            try:
                async with anyio.create_task_group() as tasks:
                    for number in range(8):

                        async def send(number: int = number) -> None:
                            response = await call(
                                deployment, "/read/1", f"fs{number}", f"Token {KEY}"
                            )
                            statuses.append(response.status)

                        tasks.start_soon(send)
            finally:
                core.admission.proofs = proofs
            ran = sum(len(find_received(deployment, f"fs{number}")) for number in range(8))
            assert sorted(set(statuses)) == [200, 503]
            assert ran == statuses.count(200) <= 4

        run_check(check)

    def test_malformed_proof_messages_are_dropped(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            sender = deployment.machines[1].kernel
            receiver = deployment.machines[2].kernel
            assert sender is not None and receiver is not None
            peers = sender.find("peers", PeerTransport)
            to = receiver.find("peers", PeerTransport).address
            for message in (None, [], [1], [1, -1, 0, True], [2, 1, "x", 0], [2, 1, 1, 1e300]):
                peers.send(Channel.FRESHNESS, to, msgspec.msgpack.encode(message))
            peers.send(Channel.FRESHNESS, to, b"\xc1\xff")
            peers.send(Channel.FRESHNESS, to, b"")
            await wait_until_admitted(deployment, 2)

        run_check(check)

    def test_a_restarted_daemon_admits_only_with_a_new_proof(self, run_check: RunCheck) -> None:
        """Guards against keys that come back with a restart."""

        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            await wait_until_admitted(deployment)
            machine = deployment.machines[0]
            await machine.stop()
            await configure_store_only(deployment, {"north": {"apiKeys": ["new"]}})
            async with anyio.create_task_group() as tasks:
                await machine.start(tasks, wait_until_ready=False)
                statuses: set[int] = set()
                with anyio.move_on_after(1.5):
                    while True:
                        response = await call(deployment, "/read/1", "fx", f"Token {KEY}")
                        statuses.add(response.status)
                        await anyio.sleep(0.02)
                assert statuses <= {401, 503}
                assert 401 in statuses
                await machine.stop()
                tasks.cancel_scope.cancel()

        run_check(check)


def count_proof_messages(deployment: Deployment) -> list[int]:
    kernels = [machine.kernel for machine in deployment.machines]
    return [
        kernel.find("peers", PeerTransport).received[Channel.FRESHNESS].messages
        for kernel in kernels
        if kernel is not None
    ]


async def wait_until_admitted(deployment: Deployment, number: int = 0) -> None:
    """Wait until the daemon of a machine has a proof."""
    address = deployment.machines[number].outbound_address

    async def is_admitted() -> bool:
        response = await exchange(address, encode("/read/1", "proof", f"Token {KEY}"))
        return response.status == 200

    await wait_until(is_admitted)
