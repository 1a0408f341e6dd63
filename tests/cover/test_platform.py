"""The platform adapter, tested with three daemons in one process."""

import json
import re
from pathlib import Path
from typing import Any

import anyio
import anyio.lowlevel
import msgspec
import pytest

from godwitpass.errors import InvalidSettings
from godwitpass.ids import Address
from godwitpass.internal.relay.retry_budget import SETTLING_S
from godwitpass.timeline import concerns_request, merge_timelines, parse_timeline
from godwitpass_daemon.relay.service import RelayService
from godwitpass_platform.process import build_platform_kernel
from godwitpass_platform.reload import SettingsWatcher, read_file_stamp
from godwitpass_platform.settings import EXTRA_REQUEST_SHARE_VARIABLE, read_platform_settings
from godwitpass_platform_stand_ins import (
    Client,
    Deployment,
    RunCheck,
    StandInServer,
    build_configuration,
    build_route,
    encode_call,
    encode_request,
    exchange,
    wait_until,
)
from godwitpass_platform_stand_ins.deployment import Machine, is_ready

SETTINGS = """
[self]
nodeName = "side-0"
ip = "10.0.0.1"
zone = "zone-0"
region = "r"
appAddr = "10.0.0.1:7304"
service = "desk"
[self.limits]
linkMbps = 1000.0
[network]
internalPorts = [7620, 7635]
seeds = ["[fd00::1]:7303", "side-1.example:7303"]
[network.listen]
inbound = "10.0.0.1:7300"
outbound = "10.0.0.1:7301"
readinessAddr = "10.0.0.1:7302"
control = "10.0.0.1:7303"
[platform.platform]
address = "10.0.0.9:7309"
[terms.bounds]
drain = "1.5s"
grace = "6s"
budgetSlack = 64
"""


class TestCalls:
    def test_a_server_receives_the_request_unchanged_with_the_headers_that_the_daemon_adds(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            response = await exchange(
                deployment.outbound_address, encode_call("/read/7?a=b%20c", "id1", 900)
            )
            assert response.status == 200
            assert response.headers["x-godwitpass-response-seal"] == "3e1b.07"
            (request,) = [
                request
                for server in deployment.vault_servers
                for request in server.received_requests
                if request.request_id == "id1"
            ]
            assert request.request_line == "GET /read/7?a=b%20c HTTP/1.1"
            assert request.headers["x-godwitpass-caller-service"] == "desk"
            assert 0 < int(request.headers["x-godwitpass-timeout-ms"]) <= 900
            assert request.headers["x-godwitpass-target-instance"] in ("i-1", "i-2")

        run_check(check)

    def test_pipelined_requests_are_answered_in_order(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            client = await Client.connect(deployment.outbound_address)
            client.send(b"".join(encode_call(f"/read/{n}", f"p{n}") for n in range(6)))
            ids = [
                (await client.read_response()).headers["x-godwitpass-attempt-id"] for _ in range(6)
            ]
            client.close()
            assert ids == [f"p{n}" for n in range(6)]

        run_check(check)

    def test_an_upload_that_spans_many_frames_arrives_complete(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            body = bytes(range(256)) * 1_200
            response = await exchange(
                deployment.outbound_address, encode_call("/scan/1", "up", 2_000, "POST", body)
            )
            assert response.status == 200
            (request,) = [
                request
                for server in deployment.vault_servers
                for request in server.received_requests
                if request.request_id == "up"
            ]
            assert request.body == body

        run_check(check)

    def test_a_request_that_matches_no_route_gets_404(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            for path in ("/read", "/readx/1", "/other/"):
                assert (
                    await exchange(deployment.outbound_address, encode_call(path, "n"))
                ).status == 404

        run_check(check)

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"NOT HTTP AT ALL\r\n\r\n", 400),
            (encode_request("GET", "/read/1"), 400),
            (
                encode_request(
                    "GET", "/read/1", b"", {"Host": "shop.example", "X-Big": "x" * 20_000}
                ),
                431,
            ),
            (
                b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
        ],
    )
    def test_an_invalid_request_is_rejected_and_reaches_no_server(
        self, run_check: RunCheck, data: bytes, status: int
    ) -> None:
        async def check(deployment: Deployment) -> None:
            counts_before = [len(server.received_requests) for server in deployment.vault_servers]
            assert (await exchange(deployment.outbound_address, data)).status == status
            assert [
                len(server.received_requests) for server in deployment.vault_servers
            ] == counts_before

        run_check(check)


RETRY_BUDGET_GROWTH_S = 2.0


class TestFaultyServers:
    def test_an_unsafe_call_is_not_retried_after_a_reset(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vault_servers:
                server.fault = "reset"
            response = await exchange(
                deployment.outbound_address, encode_call("/order/1", "once", 2_000, "POST", b"x")
            )
            assert response.status == 502
            assert sum(server.run_counts["once"] for server in deployment.vault_servers) == 1

        run_check(check)

    def test_an_idempotent_call_is_retried_at_another_server_after_a_reset(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            # The retry budget of a daemon grows from nothing, beginning some time after its start.
            await anyio.sleep(SETTLING_S + RETRY_BUDGET_GROWTH_S)
            deployment.vault_servers[0].fault = "reset"
            for number in range(8):
                response = await exchange(
                    deployment.outbound_address, encode_call("/read/1", f"again{number}")
                )
                assert response.status == 200

        run_check(check)

    @pytest.mark.parametrize("fault", ["unsealed", "truncated"])
    def test_an_unsealed_or_truncated_response_is_not_forwarded(
        self, run_check: RunCheck, fault: str
    ) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vault_servers:
                server.fault = fault
            response = await exchange(
                deployment.outbound_address, encode_call("/order/1", "bad", 2_000, "POST", b"x")
            )
            assert response.status == 502
            assert "x-godwitpass-response-seal" not in response.headers

        run_check(check)

    def test_a_duplicate_response_is_never_forwarded(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vault_servers:
                server.fault = "doubled"
            for number in range(10):
                response = await exchange(
                    deployment.outbound_address, encode_call("/read/1", f"d{number}")
                )
                assert response.status == 200
                assert response.headers["x-godwitpass-attempt-id"] == f"d{number}"

        run_check(check)

    def test_a_call_that_all_servers_refuse_gets_503_and_has_not_run(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vault_servers:
                server.fault = "shed"
            response = await exchange(
                deployment.outbound_address, encode_call("/order/1", "shed", 2_000, "POST", b"x")
            )
            assert response.status == 503
            assert 0 < float(response.headers["retry-after"]) <= 0.7
            assert not any(server.run_counts["shed"] for server in deployment.vault_servers)

        run_check(check)

    def test_a_run_is_aborted_when_its_caller_disconnects(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vault_servers:
                server.work_s = 5.0
            client = await Client.connect(deployment.outbound_address)
            client.send(encode_call("/read/1", "left"))

            async def is_running() -> bool:
                return any(server.run_counts["left"] for server in deployment.vault_servers)

            async def is_stopped() -> bool:
                return any(server.aborted_runs for server in deployment.vault_servers)

            await wait_until(is_running)
            client.close()
            await wait_until(is_stopped, 0.5)

        run_check(check)


class TestSilentServers:
    """Servers that never respond to a request that they can't queue, nor on that connection."""

    def test_no_server_is_handed_more_than_it_takes(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vault_servers:
                server.work_s, server.is_silent_when_full = 0.1, True
            clients = [await Client.connect(deployment.outbound_address) for _ in range(40)]
            for number, client in enumerate(clients):
                client.send(encode_call("/read/1", f"many{number}", 1_500))
            statuses = [(await client.read_response()).status for client in clients]
            for client in clients:
                client.close()
            assert set(statuses) <= {200, 503}
            assert statuses.count(200) > 4
            assert all(server.ignored_requests == 0 for server in deployment.vault_servers)

        run_check(check)

    def test_a_silent_connection_is_given_up_and_its_server_is_not(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vault_servers:
                server.fault = "silent"
            data = encode_call("/order/1", "unheard", 300, "POST", b"x")
            response = await exchange(deployment.outbound_address, data)
            assert response.status == 504
            runs = sum(server.run_counts["unheard"] for server in deployment.vault_servers)
            assert runs == 1

            async def is_given_up() -> bool:
                return sum(server.aborted_runs for server in deployment.vault_servers) == 1

            await wait_until(is_given_up)
            for server in deployment.vault_servers:
                server.fault = ""
            for number in range(10):
                data = encode_call("/order/1", f"heard{number}", 1_000, "POST", b"x")
                assert (await exchange(deployment.outbound_address, data)).status == 200

        run_check(check)


class TestDrainingServers:
    def test_a_draining_server_gets_no_calls_after_the_drain_time(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[1]
            assert await machine.server.send_heartbeat(machine.control_address, "draining") == 200
            await anyio.sleep(0.5)
            count_before = len(machine.server.received_requests)
            for number in range(10):
                response = await exchange(
                    deployment.outbound_address, encode_call("/read/1", f"l{number}")
                )
                assert response.status == 200
            assert len(machine.server.received_requests) == count_before

        run_check(check)

    def test_an_invalid_heartbeat_is_rejected_and_changes_nothing(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[1]
            for body in (b"\xff\x00", b"{}", b'{"address": 7, "info": [], "status": {}}'):
                assert (
                    await machine.server.send_registration_request(
                        machine.control_address, "PUT", body
                    )
                    == 400
                )
            response = await exchange(deployment.outbound_address, encode_call("/read/1", "still"))
            assert response.status == 200

        run_check(check)


async def read_rejection(readiness_address: Address) -> str:
    """Return why a daemon can't use the newest configuration, though it is ready; else ""."""
    request = encode_request("GET", "/godwitpass/readyz", b"", {"Host": "x"})
    response = await exchange(readiness_address, request)
    assert response.status == 200
    readiness = msgspec.json.decode(response.body)
    return str(readiness["rejected"]["reason"]) if readiness["rejected"] else ""


class TestHeartbeatsOfOtherWriters:
    """A heartbeat names no usable server if its service or its machine is unknown here."""

    @pytest.mark.parametrize(
        ("service", "address"), [("nowhere", None), ("desk", "127.0.0.250:9"), ("", None)]
    )
    def test_it_changes_neither_the_caller_service_nor_the_server(
        self, run_check: RunCheck, service: str, address: str | None
    ) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[1]
            foreign = StandInServer(
                "i-foreign", Address(address or machine.server.address), service
            )
            foreign.started_ms = machine.server.started_ms + 60_000
            assert await foreign.send_heartbeat(machine.control_address) == 400
            await machine.server.send_heartbeat(machine.control_address)
            request_id = f"from-{service}"
            response = await exchange(
                machine.outbound_address, encode_call("/read/1", request_id, 900)
            )
            assert response.status == 200
            callers = [
                request.headers["x-godwitpass-caller-service"]
                for server in deployment.vault_servers
                for request in server.received_requests
                if request.request_id == request_id
            ]
            assert callers == ["vault"]

        run_check(check)


class TestOddHeartbeats:
    """A heartbeat with a value out of range hid the real server, whose own counted as older."""

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("address", "{host}:99999"),
            ("address", "{host}:-1"),
            ("address", "{host}:0"),
            ("address", "{host}:port"),
            ("address", "{host}:"),
            ("address", "{host}:" + "9" * 6_000),
            ("born", 10**40),
            ("born", 2**64),
            ("born", 32_503_680_000_000),
            ("sequence", 10**40),
            ("slots", 10**30),
            ("slots", 0),
            ("extra", "[" * 30_000),
        ],
        ids=lambda value: str(value)[:20],
    )
    def test_the_server_is_used_after_it(
        self, run_check: RunCheck, field: str, value: int | str
    ) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[1]
            server = machine.server
            wire = msgspec.json.decode(server.build_heartbeat())
            host = server.address.rpartition(":")[0]
            # Starts a moment after the real server, as the next one at its address does.
            wire["born"] += 500
            section = {"slots": wire["info"], "sequence": wire["status"]}.get(field, wire)
            section[field] = value.format(host=host) if isinstance(value, str) else value
            body = json.dumps(wire).encode()
            if field == "extra":
                body = body.replace(json.dumps(value).encode(), str(value).encode())
            control = machine.control_address
            assert await server.send_registration_request(control, "PUT", body) == 400
            await server.send_heartbeat(control)
            deployment.vault_servers[1].work_s = 0.2
            received = len(server.received_requests)
            async with anyio.create_task_group() as tasks:
                for number in range(8):
                    data = encode_call("/read/1", f"odd{number}", 2_000)
                    tasks.start_soon(exchange, deployment.outbound_address, data)
            assert len(server.received_requests) > received

        run_check(check)

    def test_an_id_that_would_end_a_header_line_is_rejected(self, run_check: RunCheck) -> None:
        # Guards against requests to the server with header lines of another writer.
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[1]
            foreign = StandInServer("i%0d%0aX-Odd:%201", machine.server.address, "vault")
            foreign.started_ms = machine.server.started_ms + 500
            assert await foreign.send_heartbeat(machine.control_address) == 400

        run_check(check)


def set_service(machine: Machine, service: str) -> None:
    """Change the service in the settings file of a machine, and let its daemon read it."""
    assert machine.kernel is not None
    path, relay = machine.settings_path, machine.kernel.find("relay", RelayService)
    watcher = SettingsWatcher(path, relay, read_file_stamp(path))
    path.write_text(
        re.sub('^service = ".*"$', f'service = "{service}"', path.read_text(), flags=re.M)
    )
    watcher.reload()


class TestServiceOfTheMachine:
    def test_changed_settings_change_the_caller_service_before_the_next_heartbeat(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[0]
            set_service(machine, "vault")
            response = await exchange(
                deployment.outbound_address, encode_call("/read/1", "moved", 900)
            )
            set_service(machine, "desk")
            assert response.status == 200
            callers = [
                request.headers["x-godwitpass-caller-service"]
                for server in deployment.vault_servers
                for request in server.received_requests
                if request.request_id == "moved"
            ]
            assert callers == ["vault"]

        run_check(check)

    def test_a_late_heartbeat_of_the_former_server_does_not_set_the_caller_service_back(
        self, run_check: RunCheck
    ) -> None:
        # Guards against calls that name a service which is not on their machine any more.
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[0]
            set_service(machine, "vault")
            assert await machine.server.send_heartbeat(machine.control_address) == 200
            await exchange(deployment.outbound_address, encode_call("/read/1", "late", 900))
            successor = StandInServer("i-next", machine.server.address, "vault")
            successor.started_ms = machine.server.started_ms + 60_000
            assert await successor.send_heartbeat(machine.control_address) == 200
            await exchange(deployment.outbound_address, encode_call("/read/1", "next", 900))
            set_service(machine, "desk")
            machine.server.started_ms = successor.started_ms + 60_000
            await machine.server.send_heartbeat(machine.control_address)
            await exchange(deployment.outbound_address, encode_call("/read/1", "back", 900))
            callers = {
                request.request_id: request.headers["x-godwitpass-caller-service"]
                for server in deployment.vault_servers
                for request in server.received_requests
                if request.request_id in ("late", "next", "back")
            }
            assert callers == {"late": "vault", "next": "vault", "back": "desk"}

        run_check(check)


class TestConfiguration:
    def test_a_new_version_is_in_force_on_every_machine(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            routes = {
                "read": build_route("/read/", "vault"),
                "added": build_route("/added/", "vault"),
            }
            deployment.store.write_configuration(build_configuration(9, routes))

            async def is_in_force() -> bool:
                responses = [
                    await exchange(machine.outbound_address, encode_call("/added/1", "new"))
                    for machine in deployment.machines
                ]
                return all(response.status == 200 for response in responses)

            await wait_until(is_in_force, 2.0)
            removed_call = encode_call("/order/1", "old", 2_000, "POST", b"x")
            assert (await exchange(deployment.outbound_address, removed_call)).status == 404

        run_check(check)

    @pytest.mark.parametrize(
        "content",
        [
            b"{",
            b'{"version": "00000009", "routes": {}, "services": 7}',
            b'{"version": "zz", "routes": {}, "services": {}}',
            b'{"version": "00000009", "routes": {"r": {"host": "h"}}, "services": {}}',
        ],
    )
    def test_an_invalid_version_changes_nothing(self, run_check: RunCheck, content: bytes) -> None:
        async def check(deployment: Deployment) -> None:
            deployment.store.write_configuration(content)
            await anyio.sleep(0.3)
            assert (
                await exchange(deployment.outbound_address, encode_call("/read/1", "k"))
            ).status == 200

        run_check(check)

    def test_a_version_with_an_unknown_route_type_is_reported_by_the_reader(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            routes = {"odd": build_route("/odd/", "vault", "stream")}
            deployment.store.write_configuration(build_configuration(9, routes))

            async def is_reported() -> bool:
                reasons = [
                    await read_rejection(machine.readiness_address)
                    for machine in deployment.machines
                ]
                return any("'odd'" in reason for reason in reasons)

            await wait_until(is_reported)
            response = await exchange(deployment.outbound_address, encode_call("/read/1", "still"))
            assert response.status == 200

        run_check(check)

    def test_a_daemon_without_the_store_gets_the_version_from_other_daemons(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[2]
            await machine.stop()
            deployment.store.is_unavailable = True
            async with anyio.create_task_group() as tasks:
                await machine.start(tasks)
                await machine.server.send_heartbeat(machine.control_address)
                response = await exchange(machine.outbound_address, encode_call("/read/1", "back"))
                assert response.status == 200
                deployment.store.is_unavailable = False
                await machine.stop()
                tasks.cancel_scope.cancel()

        run_check(check)

    def test_a_daemon_is_not_ready_before_it_accepts_calls(
        self, run_check: RunCheck, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        ready_before_listening = []
        listen = RelayService._listen

        async def wait_for_table(relay: RelayService, *arguments: Any) -> None:
            while relay.core.table is None:
                await anyio.sleep(0.01)
            ready_before_listening.append(relay.is_ready)
            await listen(relay, *arguments)

        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[2]
            await machine.stop()
            async with anyio.create_task_group() as tasks:
                await machine.start(tasks)
                await machine.stop()
                tasks.cancel_scope.cancel()

        monkeypatch.setattr(RelayService, "_listen", wait_for_table)
        run_check(check)
        assert ready_before_listening == [False]


class TestSettings:
    def test_a_changed_file_is_applied_and_an_invalid_one_changes_nothing(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[0]
            assert machine.kernel is not None
            relay = machine.kernel.find("relay", RelayService)
            watcher = SettingsWatcher(
                machine.settings_path, relay, read_file_stamp(machine.settings_path)
            )
            valid_settings = machine.settings_path.read_text()
            machine.settings_path.write_text(valid_settings.replace('"400ms"', '"700ms"'))
            watcher.reload()
            assert relay.core.runner.drain_s == 0.7
            machine.settings_path.write_text("[self\n")
            watcher.reload()
            machine.settings_path.write_text(valid_settings.replace("zone", "zoned"))
            watcher.reload()
            assert relay.core.runner.drain_s == 0.7
            response = await exchange(
                deployment.outbound_address, encode_call("/read/1", "reloaded")
            )
            assert response.status == 200

        run_check(check)

    def test_a_change_before_the_relay_has_started_is_applied_at_its_start(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[2]
            await machine.stop()
            settings_text = machine.settings_path.read_text()
            kernel = build_platform_kernel(read_platform_settings(machine.settings_path))
            relay = kernel.find("relay", RelayService)
            watcher = SettingsWatcher(
                machine.settings_path, relay, read_file_stamp(machine.settings_path)
            )
            machine.settings_path.write_text(settings_text.replace('"400ms"', '"700ms"'))
            watcher.reload()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(kernel.run)
                await wait_until(lambda: is_ready(machine.readiness_address))
                assert relay.core.runner.drain_s == 0.7
                kernel.request_stop()

        run_check(check)

    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("nodeName", '""'),
            ("appAddr", '"10.0.0.1"'),
            ("inbound", '"10.0.0.1:99999999"'),
            ("control", '":7303"'),
            ("address", '"a:b:1"'),
            ("seeds", '["10.0.0.1:0"]'),
            ("inbound", '"10.0.0.1:70000"'),
            ("internalPorts", "[7620, 70000]"),
            ("internalPorts", "[7620, 7621]"),
            ("linkMbps", "0"),
            ("linkMbps", "nan"),
            ("budgetSlack", "-1"),
            ("budgetSlack", "nan"),
            ("budgetSlack", "inf"),
            ("drain", '"-5s"'),
            ("grace", '"99999999999999s"'),
            ("seeds", "[" * 5_000),
        ],
    )
    def test_a_value_that_no_daemon_can_use_is_rejected(
        self, tmp_path: Path, key: str, value: str
    ) -> None:
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS)
        assert read_platform_settings(path).relay.drain_s == 1.5
        changed, count = re.subn(
            rf"^{key} = .*$", lambda _: f"{key} = {value}", SETTINGS, flags=re.M
        )
        assert count
        path.write_text(changed)
        with pytest.raises(InvalidSettings):
            read_platform_settings(path)

    def test_the_share_of_extra_requests_is_read_from_the_environment(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS)
        assert read_platform_settings(path, {}).relay.extra_request_share == 0
        environment = {EXTRA_REQUEST_SHARE_VARIABLE: "0.02"}
        assert read_platform_settings(path, environment).relay.extra_request_share == 0.02
        for text in ("2%", "1.5", "-0.1", "nan", ""):
            with pytest.raises(InvalidSettings, match="set it to a share"):
                read_platform_settings(path, {EXTRA_REQUEST_SHARE_VARIABLE: text})

    def test_an_error_in_the_settings_names_the_file(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.toml"
        path.write_text('[self]\nnodeName = "a"\n')
        with pytest.raises(InvalidSettings) as raised:
            read_platform_settings(path)
        assert str(path) in str(raised.value)


def list_request_events(deployment: Deployment, request_id: str) -> list[str]:
    """Return the logged events of one request in order, each with its reason or outcome."""
    logs = [parse_timeline(machine.log_path.read_bytes(), "") for machine in deployment.machines]
    return [
        f"{event.name} {event.fields.get('reason', event.fields.get('outcome', ''))}".strip()
        for event in merge_timelines(logs)
        if concerns_request(event, request_id)
    ]


class TestLoggedFailures:
    """The three examples of docs/OPERATIONS.md."""

    def test_the_events_of_a_call_refused_for_lack_of_room_are_found_by_its_id(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vault_servers:
                server.work_s = 1.0
            clients = [await Client.connect(deployment.outbound_address) for _ in range(30)]
            for number, client in enumerate(clients):
                client.send(encode_call("/read/1", f"crowd{number}", 1_400))
            responses = [await client.read_response() for client in clients]
            for client in clients:
                client.close()
            refused = [n for n, response in enumerate(responses) if response.status == 503]
            assert refused
            events = list_request_events(deployment, f"crowd{refused[0]}")
            assert "relay.run-refused no_room" in events
            assert events[-1] == "relay.call-failed refused: no_room"

        run_check(check)

    def test_the_events_of_a_timeout_at_a_slow_server_are_found_by_the_calls_id(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vault_servers:
                server.work_s = 5.0
            response = await exchange(
                deployment.outbound_address, encode_call("/read/1", "slow", 400)
            )
            assert response.status == 504
            await anyio.sleep(0.1)
            events = list_request_events(deployment, "slow")
            assert events == ["relay.call-failed deadline", "relay.run-cancelled cancelled"]

        run_check(check)

    def test_a_check_of_timeouts_at_the_deadline_leaves_the_end_to_the_callers_daemon(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vault_servers:
                server.work_s = 5.0
            relays = [
                machine.kernel.find("relay", RelayService)
                for machine in deployment.machines
                if machine.kernel is not None
            ]
            async with anyio.create_task_group() as tasks:

                async def check_timeouts() -> None:
                    while True:
                        for relay in relays:
                            relay.core.runner.check_timeouts()
                        await anyio.lowlevel.checkpoint()

                tasks.start_soon(check_timeouts)
                for number in range(5):
                    request_id = f"slow{number}"
                    response = await exchange(
                        deployment.outbound_address, encode_call("/read/1", request_id, 200)
                    )
                    assert response.status == 504
                    await anyio.sleep(0.05)
                    events = list_request_events(deployment, request_id)
                    assert events == ["relay.call-failed deadline", "relay.run-cancelled cancelled"]
                tasks.cancel_scope.cancel()

        run_check(check)

    def test_the_events_of_a_response_lost_by_a_reset_are_found_by_the_calls_id(
        self, run_check: RunCheck
    ) -> None:
        async def check(deployment: Deployment) -> None:
            for server in deployment.vault_servers:
                server.fault = "reset"
            call = encode_call("/order/1", "gone", 2_000, "POST", b"x")
            assert (await exchange(deployment.outbound_address, call)).status == 502
            events = list_request_events(deployment, "gone")
            assert events == ["relay.run-failed reset", "relay.call-failed reset"]

        run_check(check)


class TestMetrics:
    def test_counters_and_latencies_are_served(self, run_check: RunCheck) -> None:
        async def check(deployment: Deployment) -> None:
            machine = deployment.machines[0]
            request = encode_request("GET", "/metrics", b"", {"Host": "x"})
            response = await exchange(f"{machine.ip}:9464", request)  # type: ignore[arg-type]
            text = response.body.decode()
            assert 'godwitpass_relay_calls_total{event="status-200"}' in text
            assert "godwitpass_relay_call_seconds_count" in text
            assert "godwitpass_relay_configuration_version 1\n" in text

        run_check(check)
