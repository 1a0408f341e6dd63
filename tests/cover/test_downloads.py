"""Large responses through the platform adapter, with three daemons in one process."""

import asyncio

import pytest

from godwitpass.events import FieldValue
from godwitpass.internal.relay.frames import MAX_FRAME_BYTES
from godwitpass.timeline import concerns_request, merge_timelines, parse_timeline
from godwitpass_daemon.relay.limits import MAX_BUFFERED_RESPONSE_BYTES, RESPONSE_WINDOW_BYTES
from godwitpass_daemon.relay.upstream_connections import MAX_RESPONSE_HEAD_BYTES
from godwitpass_platform_stand_ins import Client, Deployment, RunCheck, encode_call, exchange

BODY_SIZES = [
    0,
    MAX_RESPONSE_HEAD_BYTES,
    90_000,
    MAX_BUFFERED_RESPONSE_BYTES,
    MAX_FRAME_BYTES,
    540_000,
    MAX_BUFFERED_RESPONSE_BYTES + 3 * RESPONSE_WINDOW_BYTES,
]
STREAMED_BYTES = 4 * 1024 * 1024


def set_body_bytes(deployment: Deployment, body_bytes: int) -> None:
    for server in deployment.vault_servers:
        server.body_bytes = body_bytes


def read_call_end(deployment: Deployment, request_id: str) -> dict[str, FieldValue]:
    """Return the fields of the event with which the caller's daemon logged the end of a call."""
    logs = [parse_timeline(machine.log_path.read_bytes(), "") for machine in deployment.machines]
    events = [event for event in merge_timelines(logs) if concerns_request(event, request_id)]
    assert events[-1].name in ("relay.call-ended", "relay.call-failed")
    return dict(events[-1].fields)


class TestDownloads:
    @pytest.mark.parametrize("machine", [0, 1])
    @pytest.mark.parametrize("body_bytes", BODY_SIZES)
    def test_a_response_of_any_size_arrives_whole_and_runs_once(
        self, run_check: RunCheck, body_bytes: int, machine: int
    ) -> None:
        async def check(deployment: Deployment) -> None:
            set_body_bytes(deployment, body_bytes)
            outbound_address = deployment.machines[machine].outbound_address
            for number in range(4):
                request_id = f"pack{machine}-{body_bytes}-{number}"
                response = await exchange(outbound_address, encode_call("/pack/1", request_id))
                assert response.status == 200
                assert response.body.endswith(b"x" * body_bytes)
                runs = sum(server.run_counts[request_id] for server in deployment.vault_servers)
                assert runs == 1

        run_check(check)

    def test_a_large_response_that_is_cut_short_is_not_passed_on_as_complete(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            set_body_bytes(deployment, STREAMED_BYTES)
            for server in deployment.vault_servers:
                server.fault = "truncated"
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await exchange(deployment.outbound_address, encode_call("/pack/1", "cut"))
            assert read_call_end(deployment, "cut")["outcome"] == "answer cut"

        run_check(check)

    def test_a_large_error_response_is_logged_with_its_status(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            set_body_bytes(deployment, STREAMED_BYTES)
            for server in deployment.vault_servers:
                server.status = 500
            response = await exchange(deployment.outbound_address, encode_call("/pack/1", "e500"))
            assert response.status == 500
            assert read_call_end(deployment, "e500")["status"] == 500

        run_check(check)

    def test_a_caller_that_pauses_gets_the_whole_response_later(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            set_body_bytes(deployment, 4 * STREAMED_BYTES)
            client = await Client.connect(deployment.outbound_address)
            client.send(encode_call("/pack/1", "slow", 10_000))
            await asyncio.sleep(0.3)
            response = await client.read_response()
            client.close()
            assert response.body.endswith(b"x" * 4 * STREAMED_BYTES)

        run_check(check)
