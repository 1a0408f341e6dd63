"""Links between daemons that go silent while calls are outstanding on them."""

from typing import Any

import anyio

from godwitpass_daemon.relay.inbound_peers import InboundPeerConnection
from godwitpass_daemon.relay.service import RelayService
from godwitpass_platform_stand_ins import Deployment, RunCheck, encode_request, exchange
from godwitpass_platform_stand_ins.client import HOST

CALLS = 12
TIMEOUT_MS = 4_500


async def send_calls(deployment: Deployment, name: str, path: str = "/order/1") -> dict[str, int]:
    """Send calls at once; return the status of each by its id."""
    statuses: dict[str, int] = {}

    async def send(call_id: str) -> None:
        headers = {
            "Host": HOST,
            "X-Godwitpass-Attempt-Id": call_id,
            "X-Godwitpass-Timeout-Ms": str(TIMEOUT_MS),
        }
        request = encode_request("POST", path, b"", headers)
        statuses[call_id] = (await exchange(deployment.outbound_address, request)).status

    async with anyio.create_task_group() as tasks:
        for number in range(CALLS):
            tasks.start_soon(send, f"{name}-{number}")
    return statuses


def find_connections(deployment: Deployment) -> list[InboundPeerConnection]:
    """Return the links on which the daemon of the first upstream receives calls."""
    kernel = deployment.machines[1].kernel
    assert kernel is not None
    return list(kernel.find("relay", RelayService).core.inbound_links.connections)


def count_runs(deployment: Deployment, machine: int, name: str) -> dict[str, int]:
    requests = deployment.machines[machine].server.received_requests
    ids = [request.request_id for request in requests if request.request_id.startswith(name)]
    return {call_id: ids.count(call_id) for call_id in ids}


async def warm_up(deployment: Deployment, name: str) -> None:
    """Use the links to both upstreams."""
    for server in deployment.vault_servers:
        server.work_s = 0.03
    await send_calls(deployment, name)
    assert all(count_runs(deployment, machine, name) for machine in (1, 2))
    assert find_connections(deployment)


def get_counts(deployment: Deployment) -> Any:
    kernel = deployment.machines[0].kernel
    assert kernel is not None
    return kernel.find("relay", RelayService).core.counts


class TestSilentLink:
    def test_calls_that_never_arrived_run_at_another_upstream_and_only_there(
        self, run_check: RunCheck
    ) -> None:
        """Guards against 502 for calls that have not run, and against late data of a lost link."""

        async def check(deployment: Deployment) -> None:
            await warm_up(deployment, "warm1")
            connections = find_connections(deployment)
            for connection in connections:
                assert connection._transport is not None
                connection._transport.pause_reading()
            statuses = await send_calls(deployment, "lost")
            assert get_counts(deployment)["link-settled"] == 1
            # The other upstream may have no room for all of them.
            assert set(statuses.values()) <= {200, 503}
            served = [call_id for call_id, status in statuses.items() if status == 200]
            assert len(served) > CALLS / 2
            assert count_runs(deployment, 2, "lost") == dict.fromkeys(served, 1)
            for connection in connections:
                if not connection._transport.is_closing():  # type: ignore[union-attr]
                    connection._transport.resume_reading()  # type: ignore[union-attr]
            await anyio.sleep(0.3)
            assert not count_runs(deployment, 1, "lost")

        run_check(check)

    def test_calls_whose_responses_are_lost_are_not_run_again(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            await warm_up(deployment, "warm2")
            for connection in find_connections(deployment):
                connection.send = lambda frame: None  # type: ignore[method-assign]
            statuses = await send_calls(deployment, "ran")
            lost = count_runs(deployment, 1, "ran")
            served = count_runs(deployment, 2, "ran")
            assert lost and set(lost.values()) == {1}
            assert not lost.keys() & served.keys()
            assert {statuses[call_id] for call_id in lost} == {502}
            assert {statuses[call_id] for call_id in served} == {200}

        run_check(check)
