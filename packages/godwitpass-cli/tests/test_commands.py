"""Tests of the `godwitctl` commands against fake daemons."""

import json
import socket
import struct
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from godwitpass.administration import ProblemKind
from godwitpass.errors import AcceptanceUnknown, StoreUnavailable
from godwitpass.events import Level, TimelineEvent
from godwitpass.ids import Address, ChangeId, InstanceId, RegionId, Version, ZoneId
from godwitpass_cli.exit_codes import EXIT_CODE_MEANINGS, PROBLEM_EXIT_CODES, ExitCode
from godwitpass_cli.main import run
from godwitpass_testkit.administration import ADMIN_TOKEN, FakeDaemon, run_admin
from godwitpass_testkit.ports import AddressAllocator

DOCUMENT: dict[str, Any] = {
    "format": 1,
    "services": [{"name": "maal"}],
    "routes": [{"name": "scan", "path_prefix": "/scan", "service": "maal"}],
}
READ_BYTES = 64 * 1024
SERVER_TIMEOUT_S = 5.0
MANY_ROUTES = 4_000
"""Routes of a document that doesn't fit the buffers of a connection."""

ADDRESS_ALLOCATOR = AddressAllocator()


def build_event(instance: str, time: float) -> TimelineEvent:
    origin = (InstanceId(instance), ZoneId("bergen"), RegionId("vest"), Version(1))
    return TimelineEvent(time, 1, 210, "version-activated", *origin, {"ms": 3})


class CommandRunner:
    """Runs `godwitctl` with one unreachable and two fake daemons, and captures its output.

    The fake daemons share their versions.
    """

    def __init__(self, directory: Path, capsys: pytest.CaptureFixture[str]) -> None:
        self.first, self.second = FakeDaemon(), FakeDaemon()
        self.second.versions = self.first.versions
        self.addresses = [ADDRESS_ALLOCATOR.allocate() for _ in range(3)]
        self._directory = directory
        self._capsys = capsys

    def write_json(self, document: dict[str, Any], name: str = "document.json") -> str:
        path = self._directory / name
        path.write_text(json.dumps(document, indent=1))
        return str(path)

    def run(self, *arguments: str, token: str = ADMIN_TOKEN) -> tuple[int, str, str]:
        options = [part for address in self.addresses for part in ("--address", address)]
        code = run([*options, "--token", token, *arguments])
        captured = self._capsys.readouterr()
        return code, captured.out, captured.err


@pytest.fixture()
def cli(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> Iterator[CommandRunner]:
    runner = CommandRunner(tmp_path, capsys)
    _, first, second = runner.addresses
    with run_admin(runner.first, first), run_admin(runner.second, second):
        yield runner


class TestCheck:
    def test_the_exit_code_tells_scripts_whether_there_are_findings(
        self, cli: CommandRunner
    ) -> None:
        cli.run("apply", cli.write_json(DOCUMENT))
        assert cli.run("check", cli.write_json(DOCUMENT))[0] == 0
        changed = {**DOCUMENT, "policies": [{"name": "unused"}]}
        code, out, _ = cli.run("check", cli.write_json(changed), "--output", "json")
        result = json.loads(out)
        assert (code, result["version"], len(result["differences"])) == (1, 1, 1)
        assert "no route uses policy" in result["findings"][0]["message"]
        assert cli.run("check", "/nonexistent/document.json")[0] == 2
        assert cli.run("check", cli.write_json({**DOCUMENT, "format": 2}))[0] == 1


class TestApply:
    def test_an_unreachable_daemon_and_one_without_a_store_are_skipped(
        self, cli: CommandRunner
    ) -> None:
        cli.first.failure = StoreUnavailable("down")
        code, out, _ = cli.run("apply", cli.write_json(DOCUMENT))
        assert (code, len(cli.second.versions)) == (ExitCode.DONE, 1)
        assert "accepted as version 1" in out

    def test_a_retry_with_the_same_change_id_after_an_unknown_outcome_creates_no_second_version(
        self, cli: CommandRunner
    ) -> None:
        cli.run("apply", cli.write_json(DOCUMENT), "--change-id", "c1")
        cli.first.failure = AcceptanceUnknown(ChangeId("c1"))
        code, out, _ = cli.run("apply", cli.write_json(DOCUMENT), "--change-id", "c1")
        assert (code, len(cli.second.versions)) == (ExitCode.DONE, 1)
        assert "version 1" in out

    def test_a_wait_ends_when_all_daemons_hold_the_version(self, cli: CommandRunner) -> None:
        cli.first.holder_count = cli.second.holder_count = 3
        code, out, _ = cli.run("apply", cli.write_json(DOCUMENT), "--wait", "30")
        assert code == ExitCode.DONE
        assert "in force on all 3 daemons" in out

    def test_a_wait_that_times_out_reports_that_the_version_is_accepted(
        self, cli: CommandRunner
    ) -> None:
        cli.run("apply", cli.write_json(DOCUMENT))
        code, out, err = cli.run("rollback", "1", "--wait", "0")
        assert code == ExitCode.NOT_YET_IN_FORCE
        assert "accepted as version 2" in out
        assert "held by 1 of 3" in err

    def test_an_unknown_outcome_is_reported_despite_a_later_failure(
        self, cli: CommandRunner
    ) -> None:
        cli.first.failure = AcceptanceUnknown(ChangeId("c1"))
        cli.second.failure = StoreUnavailable("down")
        code, _, err = cli.run("apply", cli.write_json(DOCUMENT), "--change-id", "c1")
        assert code == ExitCode.OUTCOME_UNKNOWN and "c1" in err

    def test_an_invalid_document_is_not_sent_to_any_daemon(self, cli: CommandRunner) -> None:
        path = cli.write_json(DOCUMENT | {"format": 3, "routs": []})
        code, out, err = cli.run("apply", path)
        assert (code, out) == (ExitCode.INVALID_INPUT, "")
        assert f"{path}: line 2: /format" in err and "did you mean 'routes'" in err
        assert not cli.first.emitted_names and not cli.second.emitted_names

    def test_a_conflicting_write_is_told_the_winning_change_and_the_differences(
        self, cli: CommandRunner
    ) -> None:
        cli.run("apply", cli.write_json(DOCUMENT), "--change-id", "winner")
        changed_path = cli.write_json(DOCUMENT | {"services": [{"name": "maal", "slots": 3}]})
        code, _, err = cli.run("apply", changed_path, "--if-version", "0", "-o", "json")
        problem = json.loads(err)["problem"]
        assert code == ExitCode.CONFLICT
        assert (problem["winner"], problem["differences"][0]["fields"]) == ("winner", ["slots"])


class TestReadCommands:
    def test_versions_are_listed_compared_printed_and_rolled_back(self, cli: CommandRunner) -> None:
        cli.run("apply", cli.write_json(DOCUMENT))
        path = cli.write_json(DOCUMENT | {"services": [{"name": "maal", "slots": 3}]})
        code, out, _ = cli.run("diff", path)
        assert code == 0 and "slots" in out
        cli.run("apply", path)
        assert cli.run("rollback", "1")[1].startswith("accepted as version 3")
        assert len(json.loads(cli.run("history", "-o", "json")[1])["versions"]) == 3
        assert "slots" in cli.run("diff", "--from", "1", "--to", "2")[1]
        printed_document = cli.run("get")[1]
        assert cli.run("apply", cli.write_json({}, "x").replace("/x", "/absent"))[0] == 3
        (Path(path)).write_text(printed_document)
        assert cli.run("validate", path)[0] == ExitCode.DONE

    def test_status_shows_how_many_daemons_hold_the_version(self, cli: CommandRunner) -> None:
        cli.run("apply", cli.write_json(DOCUMENT))
        assert "version 1: held by 1 of 3 daemons" in cli.run("status")[1]

    def test_the_timeline_merges_events_of_running_daemons_and_names_the_unreachable_ones(
        self, cli: CommandRunner
    ) -> None:
        cli.first.events = [build_event("late", 20.0)]
        cli.second.events = [build_event("early", 10.0)]
        code, out, err = cli.run("timeline")
        assert code == 0 and out.index("early") < out.index("late")
        assert f"left out: daemon {cli.addresses[0]}" in err

    def test_debug_events_are_shown_by_level_or_kind_only(self, cli: CommandRunner) -> None:
        event = msgspec.structs.replace(build_event("minor", 5.0), level=Level.DEBUG)
        cli.first.events = [event]
        assert "minor" not in cli.run("timeline")[1]
        assert "minor" in cli.run("timeline", "--level", "debug")[1]
        assert "minor" in cli.run("timeline", "--kind", "210")[1]

    def test_the_timeline_merges_log_files(self, cli: CommandRunner, tmp_path: Path) -> None:
        paths = [str(tmp_path / name) for name in ("a.log", "b.log")]
        for path, time in zip(paths, (20.0, 10.0), strict=True):
            Path(path).write_bytes(msgspec.json.encode(build_event(path, time)) + b"\n")
        _, out, _ = cli.run("timeline", *paths, "--output", "json")
        assert [event["time"] for event in json.loads(out)["events"]] == [10.0, 20.0]
        Path(paths[0]).write_text("no event\n")
        code, _, err = cli.run("timeline", *paths)
        assert code == ExitCode.FAULT and "a.log:1" in err

    def test_explain_shows_a_request_and_its_nested_calls_from_all_logs(
        self, cli: CommandRunner, tmp_path: Path
    ) -> None:
        paths = [tmp_path / name for name in ("a.log", "b.log")]
        request_ids = ("other", 'id"1.2', 'id"1', 'id"12')
        for path, time in zip(paths, (20.0, 10.0), strict=True):
            event = build_event(path.stem, time)
            events = [
                msgspec.structs.replace(event, sequence=sequence, fields={"request": request_id})
                for sequence, request_id in enumerate(request_ids, 1)
            ]
            path.write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in events))
        _, out, _ = cli.run("explain", 'id"1', *map(str, paths), "-o", "json")
        found = [
            (event["instance"], event["fields"]["request"]) for event in json.loads(out)["events"]
        ]
        assert found == [(name, id_) for name in ("b", "a") for id_ in ('id"1.2', 'id"1')]
        paths[0].write_text("no event\n")
        code, _, err = cli.run("explain", "id1", *map(str, paths))
        assert code == ExitCode.FAULT and "a.log:1" in err

    def test_failures_are_counted_by_place_route_and_reason_within_a_period(
        self, cli: CommandRunner, tmp_path: Path
    ) -> None:
        path = tmp_path / "a.log"
        refused = msgspec.structs.replace(
            build_event("a", 10.0),
            name="relay.run-refused",
            fields={"route": "read", "reason": "no_room"},
        )
        events = [
            msgspec.structs.replace(refused, time=time, sequence=sequence)
            for sequence, time in enumerate((10.0, 11.5, 12.0, 30.0), 1)
        ]
        events.append(msgspec.structs.replace(build_event("a", 12.5), sequence=5))
        path.write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in events))
        period = ("--since", "1970-01-01T00:00:11Z", "--until", "1970-01-01T00:00:30")
        code, out, _ = cli.run("failures", str(path), *period, "--by", "zone", "-o", "json")
        (count,) = json.loads(out)["counts"]
        assert code == 0 and (count["count"], count["first_at"], count["last_at"]) == (2, 11.5, 12)
        assert (count["route"], count["reason"]) == ("read", "no_room")
        _, out, _ = cli.run("failures", str(path), "--by", "all")
        assert "no_room" in out and "1970-01-01T00:00:30.000Z" in out and "activated" not in out
        code, _, err = cli.run("failures", str(path), "--since", "noon")
        assert code == ExitCode.USAGE and "2026-01-31" in err

    def test_drain_contacts_only_the_daemon_at_the_given_address(self, cli: CommandRunner) -> None:
        code, out, _ = cli.run("drain", cli.addresses[2])
        assert code == 0 and "draining" in out
        assert not cli.first.announced_states and cli.second.announced_states


def answer_early(listener: socket.socket, response: bytes, resets: bool) -> None:
    """Answer one request at its head, and end the connection while the rest is being sent."""
    connection, _ = listener.accept()
    with connection:
        connection.settimeout(SERVER_TIMEOUT_S)
        connection.recv(1_000)
        connection.sendall(response)
        if resets:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        else:
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(READ_BYTES):
                pass


class TestCutResponses:
    @pytest.mark.parametrize("resets", [False, True])
    @pytest.mark.parametrize("part", [b"", b'{"version"', b'{"version":1,"digest":""}'])
    def test_a_write_whose_response_has_no_length_may_have_had_an_effect(
        self, part: bytes, resets: bool, cli: CommandRunner
    ) -> None:
        # Guards against a part that is taken for the whole: after a failed write, the end of a
        # reset connection looks like that of a response without a length.
        routes = [
            {"name": f"scan-{number}", "path_prefix": f"/scan/{number}", "service": "maal"}
            for number in range(MANY_ROUTES)
        ]
        document = DOCUMENT | {"routes": routes}
        path = cli.write_json(document)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(SERVER_TIMEOUT_S)
            response = b"HTTP/1.1 200 OK\r\n\r\n" + part
            server = threading.Thread(target=answer_early, args=(listener, response, resets))
            server.start()
            cli.addresses = [Address(f"127.0.0.1:{listener.getsockname()[1]}")]
            code, _, err = cli.run("apply", path, "--change-id", "c1")
            server.join()
        assert (code, "no complete response" in err) == (ExitCode.OUTCOME_UNKNOWN, True), err


class TestFailureReports:
    @pytest.mark.parametrize(
        ("arguments", "code"),
        [
            (("get",), ExitCode.UNAUTHORIZED),
            (("validate", "absent.json"), ExitCode.INVALID_INPUT),
            (("no-such-command",), ExitCode.USAGE),
            (("get", "--version", "x"), ExitCode.USAGE),
            (("drain", "127.0.0.1:1"), ExitCode.UNAVAILABLE),
        ],
    )
    def test_a_failure_ends_with_its_documented_exit_code_and_no_traceback(
        self, cli: CommandRunner, arguments: tuple[str, ...], code: ExitCode
    ) -> None:
        actual_code, _, err = cli.run(*arguments, token="wrong-token")
        assert actual_code == code and err and "Traceback" not in err

    def test_every_problem_has_an_exit_code_and_every_exit_code_a_meaning(self) -> None:
        assert set(PROBLEM_EXIT_CODES) == set(ProblemKind) and set(EXIT_CODE_MEANINGS) == set(
            ExitCode
        )

    def test_options_override_the_configuration_file(
        self, cli: CommandRunner, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        (tmp_path / "token").write_text(ADMIN_TOKEN)
        content = {"addresses": ["127.0.0.1:1"], "token_file": str(tmp_path / "token")}
        path = cli.write_json(content, "ctl.json")
        assert run(["--config", path, "history"]) == ExitCode.UNAVAILABLE
        address = cli.addresses[1]
        assert run(["--config", path, "--address", address, "history"]) == ExitCode.DONE
        invalid_path = cli.write_json({"address": 1}, "broken.json")
        assert run(["--config", invalid_path, "history"]) == ExitCode.INVALID_INPUT
        assert "/address" in capsys.readouterr().err
