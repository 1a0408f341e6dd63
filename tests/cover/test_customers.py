"""Customers and their keys, tested with three daemons in one process."""

from itertools import count
from typing import Any

import pytest

from godwitpass_daemon.relay.service import RelayService
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


async def configure(
    deployment: Deployment, tenants: dict[str, Any], routes: dict[str, Any] = ROUTES
) -> None:
    """Store a configuration and wait until all daemons use it."""
    version = next(_versions)
    deployment.store.write_configuration(
        {**build_configuration(version, routes), "tenants": tenants}
    )

    async def is_applied() -> bool:
        tables = [find_relay(deployment, n).core.table for n in range(3)]
        return all(table is not None and table.version == version for table in tables)

    await wait_until(is_applied)


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
            deployment.vault_servers[0].fault = "reset"
            for number in range(8):
                await call(deployment, "/read/1", f"r{number}", f"Token {KEY}")
            requests = [r for n in range(8) for r in find_received(deployment, f"r{n}")]
            assert len(requests) > 8
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

    def test_keys_are_in_no_log_and_no_metric(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            for value in (f"Token {KEY}", "Token withdrawn-key", "Basic withdrawn-key"):
                await call(deployment, "/read/1", "log", value)
            for number, machine in enumerate(deployment.machines):
                text = machine.log_path.read_text() if machine.log_path.exists() else ""
                text += find_relay(deployment, number).render_metrics()
                assert KEY not in text
                assert "withdrawn-key" not in text

        run_check(check)
