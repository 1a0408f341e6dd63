"""Rate limits of customers over all daemons, tested with three daemons in one process."""

from itertools import count
from typing import Any

import anyio
from msgspec.msgpack import encode as encode_msgpack

from godwitpass.ids import CustomerName
from godwitpass.internal.quotas.electorate import rank_coordinators
from godwitpass_daemon.peers import Channel, PeerTransport
from godwitpass_daemon.relay.service import RelayService
from godwitpass_daemon.services.quotas import QuotaService
from godwitpass_platform_stand_ins import (
    Deployment,
    RunCheck,
    build_configuration,
    build_route,
    encode_request,
    exchange,
    wait_until,
)
from godwitpass_platform_stand_ins.client import HOST, Response

RATE_PER_S = 8
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20
BOUND = RATE_PER_S * WINDOW_S * (1 + OVERAGE) + SLACK
TENANTS: dict[str, Any] = {
    "small": {"apiKeys": ["key-small"], "ratePerS": RATE_PER_S},
    "free": {"apiKeys": ["key-free"]},
}
_versions, _request_ids = count(2), count()


async def configure(deployment: Deployment, tenants: dict[str, Any]) -> None:
    """Store a configuration, and wait until all daemons use it and have voted."""
    version = next(_versions)
    routes = {"read": build_route("/read/", "vault")}
    content = {**build_configuration(version, routes), "tenants": tenants}
    deployment.store.write_configuration(content)

    async def is_applied() -> bool:
        tables = [find(deployment, number, RelayService).core.table for number in range(3)]
        return all(table is not None and table.version == version for table in tables)

    async def is_owned() -> bool:
        owners = [find(deployment, number, QuotaService).owner for number in range(3)]
        return len([owner for owner in owners if owner.vote_count == 3]) >= 2

    await wait_until(is_applied)
    if any("ratePerS" in tenant for tenant in tenants.values()):
        await wait_until(is_owned)


def find(deployment: Deployment, number: int, service: type[Any]) -> Any:
    kernel = deployment.machines[number].kernel
    assert kernel is not None
    name = {RelayService: "relay", QuotaService: "quotas", PeerTransport: "peers"}[service]
    return kernel.find(name, service)


async def call(deployment: Deployment, number: int, key: str) -> Response:
    headers = {
        "Host": HOST,
        "X-Godwitpass-Attempt-Id": f"q{next(_request_ids)}",
        "X-Godwitpass-Timeout-Ms": "2000",
        "Authorization": f"Token {key}",
    }
    address = deployment.machines[number].outbound_address
    return await exchange(address, encode_request("GET", "/read/1", b"", headers))


class TestQuotas:
    bounds = 'quotaWindow = "5s"\nquotaOverage = 0.1\nquotaSlack = 20\n'

    def test_all_daemons_together_admit_no_more_than_the_limit_and_nearly_as_much(
        self, run_check: RunCheck
    ) -> None:
        """Guards against daemons that each grant the whole limit, or refuse what fits it."""

        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            await anyio.sleep(2)
            responses: list[Response] = []
            started_at = anyio.current_time()
            while anyio.current_time() < started_at + WINDOW_S:
                for number in range(3):
                    responses.append(await call(deployment, number, "key-small"))
                assert (await call(deployment, 0, "key-free")).status == 200
            admitted = [item for item in responses if item.status == 200]
            refused = [item for item in responses if item.status == 429]
            assert len(admitted) + len(refused) == len(responses)
            assert len(refused) > 50
            assert RATE_PER_S * WINDOW_S <= len(admitted) <= BOUND
            metrics = find(deployment, 0, RelayService).render_metrics()
            assert 'godwitpass_quota_calls_total{customer="small",decision="granted"}' in metrics
            assert "key-small" not in metrics
            waits = {float(item.headers["retry-after"]) for item in refused}
            # Callers that are told the same time come back together.
            assert min(waits) > 0 and len(waits) > len(refused) / 2

        run_check(check)

    def test_calls_go_on_after_the_owner_has_stopped_answering(self, run_check: RunCheck) -> None:
        """Guards against calls that are refused until membership notices a dead owner."""

        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            services = [find(deployment, number, QuotaService) for number in range(3)]
            ranked = rank_coordinators(CustomerName("small"), services[0].coordinators)
            addresses = [find(deployment, n, PeerTransport).address for n in range(3)]
            owner = addresses.index(ranked[0])
            asker = next(number for number in range(3) if number != owner)
            await anyio.sleep(1)
            assert (await call(deployment, asker, "key-small")).status == 200
            peers = find(deployment, owner, PeerTransport)
            handlers, peers._handlers = peers._handlers, {}
            stopped_at, has_recovered = anyio.current_time(), False
            while not has_recovered and anyio.current_time() < stopped_at + 3:
                response = await call(deployment, asker, "key-small")
                assert response.status in (200, 429, 503)
                has_recovered = response.status == 200 and (anyio.current_time() > stopped_at + 0.3)
                await anyio.sleep(0.05)
            peers._handlers = handlers
            assert has_recovered

        run_check(check)

    def test_malformed_messages_end_no_process(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            await configure(deployment, TENANTS)
            sender, target = (find(deployment, number, PeerTransport) for number in (0, 1))
            for payload in (
                b"",
                b"\xc1",
                encode_msgpack([1]),
                encode_msgpack([1, 1, 1, 0, b"", 0, None, 0, [], []]),
                encode_msgpack([1, 1, 2, 3, b"123", 0, None, 0, [], []]),
                encode_msgpack([1, 1, 3, 3, b"1234", 0, [1, 2], 2**62, [["small", -1, 0]], []]),
                encode_msgpack(
                    [1, 1, 4, 3, b"1234", 0, [1, 2], 5, [["small", 1, 0]], [[1, "x", 9]]]
                ),
                encode_msgpack([2, 1, 1, [1, 1], 0, [["small", 9, 0]]]),
            ):
                sender.send(Channel.QUOTAS, target.address, payload)
            await anyio.sleep(0.2)
            assert (await call(deployment, 1, "key-free")).status == 200
            assert (await call(deployment, 1, "key-small")).status in (200, 429)

        run_check(check)

    def test_without_limits_no_message_is_sent(self, run_check: RunCheck) -> None:
        """Guards against costs for deployments that don't use rate limits."""

        async def check(deployment: Deployment) -> None:
            await configure(deployment, {"free": TENANTS["free"]})
            await anyio.sleep(0.1)
            peers = [find(deployment, number, PeerTransport) for number in range(3)]
            before = [item.sent[Channel.QUOTAS].messages for item in peers]
            assert (await call(deployment, 0, "key-free")).status == 200
            await anyio.sleep(1)
            assert [item.sent[Channel.QUOTAS].messages for item in peers] == before

        run_check(check)
