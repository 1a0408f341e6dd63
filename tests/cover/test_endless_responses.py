"""Servers that send bytes without end, with three daemons in one process."""

import asyncio
import contextlib

import anyio
import pytest

from godwitpass_platform_stand_ins import (
    Client,
    Deployment,
    RunCheck,
    encode_call,
    exchange,
    wait_until,
)
from godwitpass_platform_stand_ins.endless_responses import ENDLESS_BODIES, NO_RESPONSES

TIMEOUT_MS = 1_000
ANSWER_SLACK_S = 0.5
MAX_TAKEN_BYTES = 8 * 1024 * 1024
"""What a daemon may take of one response: its bounds, and the buffers of both kernels."""

MAX_LATE_BYTES = 64 * 1024
"""What may still be taken once all windows and kernel buffers are full."""


async def is_given_up(deployment: Deployment) -> bool:
    """Tell whether a daemon has closed the connection of an endless response."""
    return any(server.aborted_runs for server in deployment.vault_servers)


async def read_until_closed(deployment: Deployment, data: bytes) -> bytes:
    """Send a call, and return all that comes back until the connection ends."""
    ip, _, port = deployment.outbound_address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(data)
    received = bytearray()
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(65_536):
            received += chunk
    writer.transport.abort()
    return bytes(received)


def count_taken_bytes(deployment: Deployment) -> int:
    return sum(server.endless_bytes for server in deployment.vault_servers)


def start_endless_responses(deployment: Deployment, start: bytes, repeated: bytes) -> None:
    for server in deployment.vault_servers:
        server.run_counts.clear()
        server.endless_bytes = 0
        server.endless_response = (start, repeated)


class TestBytesThatAreNoResponse:
    @pytest.mark.parametrize("kind", NO_RESPONSES)
    def test_the_connection_is_given_up_long_before_the_deadline(
        self, run_check: RunCheck, kind: str
    ) -> None:
        async def check(deployment: Deployment) -> None:
            start_endless_responses(deployment, *NO_RESPONSES[kind])
            started_at = anyio.current_time()
            data = encode_call("/order/1", f"endless {kind}", TIMEOUT_MS, "POST", b"x")
            response = await exchange(deployment.outbound_address, data)
            assert response.status == 502
            assert anyio.current_time() - started_at < TIMEOUT_MS / 1000 - 0.2
            await wait_until(lambda: is_given_up(deployment))
            assert count_taken_bytes(deployment) < MAX_TAKEN_BYTES

        run_check(check)


class TestEndlessBodies:
    @pytest.mark.parametrize("kind", ENDLESS_BODIES)
    def test_a_caller_that_reads_on_is_cut_at_its_deadline(
        self, run_check: RunCheck, kind: str
    ) -> None:
        async def check(deployment: Deployment) -> None:
            start_endless_responses(deployment, *ENDLESS_BODIES[kind])
            started_at = anyio.current_time()
            body = await read_until_closed(
                deployment, encode_call("/pack/1", f"read on {kind}", TIMEOUT_MS)
            )
            assert len(body) > MAX_TAKEN_BYTES / 32
            assert not body.endswith(b"0\r\n\r\n"), "the response looks complete"
            assert anyio.current_time() - started_at < TIMEOUT_MS / 1000 + ANSWER_SLACK_S
            await wait_until(lambda: is_given_up(deployment))

        run_check(check)

    @pytest.mark.parametrize("kind", ENDLESS_BODIES)
    def test_for_a_caller_that_does_not_read_little_is_taken_and_others_are_served(
        self, run_check: RunCheck, kind: str
    ) -> None:
        async def check(deployment: Deployment) -> None:
            start_endless_responses(deployment, *ENDLESS_BODIES[kind])
            client = await Client.connect(deployment.outbound_address)
            client.send(encode_call("/pack/1", f"unread {kind}", TIMEOUT_MS))
            await anyio.sleep(0.4)
            taken_bytes = count_taken_bytes(deployment)
            for server in deployment.vault_servers:
                server.endless_response = None
            for number in range(10):
                data = encode_call("/read/1", f"neighbour {number} {kind}", 300)
                assert (await exchange(deployment.outbound_address, data)).status == 200
            assert 0 < count_taken_bytes(deployment) <= taken_bytes + MAX_LATE_BYTES
            await wait_until(lambda: is_given_up(deployment))
            client.close()

        run_check(check)
