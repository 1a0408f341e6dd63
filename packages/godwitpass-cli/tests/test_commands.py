import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from godwitpass.administration import ProblemKind
from godwitpass.errors import AcceptanceUnknown, StoreUnavailable
from godwitpass.events import Level, TimelineEvent
from godwitpass.ids import ChangeId, InstanceId, RegionId, Version, ZoneId
from godwitpass_cli.exit_codes import PROBLEM_EXIT_CODES, EXIT_CODE_MEANINGS, ExitCode
from godwitpass_cli.main import run
from godwitpass_testkit.administration import ADMIN_TOKEN, FakeDaemon, run_admin
from godwitpass_testkit.ports import AddressAllocator

DOCUMENT: dict[str, Any] = {
    "format": 1,
    "services": [{"name": "maal"}],
    "routes": [{"name": "scan", "path_prefix": "/scan", "service": "maal"}],
}
ADDRESSES = AddressAllocator()


def build_event(instance: str, time: float) -> TimelineEvent:
    place = (InstanceId(instance), ZoneId("bergen"), RegionId("vest"), Version(1))
    return TimelineEvent(time, 1, 210, "version-activated", *place, {"ms": 3})


class Operator:
    """Runs the command against two daemons that share their versions, and reads its output."""

    def __init__(self, folder: Path, capture: pytest.CaptureFixture[str]) -> None:
        self.first, self.second = FakeDaemon(), FakeDaemon()
        self.second.versions = self.first.versions
        self.addresses = [ADDRESSES.allocate() for _ in range(3)]
        self._folder = folder
        self._capture = capture

    def write(self, document: dict[str, Any], name: str = "document.json") -> str:
        path = self._folder / name
        path.write_text(json.dumps(document, indent=1))
        return str(path)

    def run(self, *arguments: str, token: str = ADMIN_TOKEN) -> tuple[int, str, str]:
        given = [part for address in self.addresses for part in ("--address", address)]
        code = run([*given, "--token", token, *arguments])
        captured = self._capture.readouterr()
        return code, captured.out, captured.err


@pytest.fixture()
def operator(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> Iterator[Operator]:
    operating = Operator(tmp_path, capsys)
    _, first, second = operating.addresses
    with run_admin(operating.first, first), run_admin(operating.second, second):
        yield operating


class TestApplying:
    def test_a_dead_daemon_and_one_without_store_are_passed_over(self, operator: Operator) -> None:
        operator.first.failure = StoreUnavailable("down")
        code, out, _ = operator.run("apply", operator.write(DOCUMENT))
        assert (code, len(operator.second.versions)) == (ExitCode.DONE, 1)
        assert "accepted as version 1" in out

    def test_an_answer_lost_after_the_write_is_settled_by_the_change_id(
        self, operator: Operator
    ) -> None:
        operator.run("apply", operator.write(DOCUMENT), "--change-id", "c1")
        operator.first.failure = AcceptanceUnknown(ChangeId("c1"))
        code, out, _ = operator.run("apply", operator.write(DOCUMENT), "--change-id", "c1")
        assert (code, len(operator.second.versions)) == (ExitCode.DONE, 1)
        assert "version 1" in out

    def test_a_wait_ends_when_all_daemons_hold_the_version(self, operator: Operator) -> None:
        operator.first.holding = operator.second.holding = 3
        code, out, _ = operator.run("apply", operator.write(DOCUMENT), "--wait", "30")
        assert code == ExitCode.DONE
        assert "in force on all 3 daemons" in out

    def test_a_wait_that_runs_out_says_that_the_version_is_accepted(
        self, operator: Operator
    ) -> None:
        operator.run("apply", operator.write(DOCUMENT))
        code, out, err = operator.run("rollback", "1", "--wait", "0")
        assert code == ExitCode.NOT_YET_IN_FORCE
        assert "accepted as version 2" in out
        assert "held by 1 of 3" in err

    def test_an_unknown_outcome_is_not_hidden_by_a_later_failure(self, operator: Operator) -> None:
        operator.first.failure = AcceptanceUnknown(ChangeId("c1"))
        operator.second.failure = StoreUnavailable("down")
        code, _, err = operator.run("apply", operator.write(DOCUMENT), "--change-id", "c1")
        assert code == ExitCode.OUTCOME_UNKNOWN and "c1" in err

    def test_a_refused_document_never_reaches_a_daemon(self, operator: Operator) -> None:
        path = operator.write(DOCUMENT | {"format": 3, "routs": []})
        code, out, err = operator.run("apply", path)
        assert (code, out) == (ExitCode.INVALID_INPUT, "")
        assert f"{path}: line 2: /format" in err and "did you mean 'routes'" in err
        assert not operator.first.emitted and not operator.second.emitted

    def test_the_loser_of_a_race_is_told_the_winner_and_the_difference(
        self, operator: Operator
    ) -> None:
        operator.run("apply", operator.write(DOCUMENT), "--change-id", "winner")
        changed = operator.write(DOCUMENT | {"services": [{"name": "maal", "slots": 3}]})
        code, _, err = operator.run("apply", changed, "--if-version", "0", "-o", "json")
        problem = json.loads(err)["problem"]
        assert code == ExitCode.CONFLICT
        assert (problem["winner"], problem["differences"][0]["fields"]) == ("winner", ["slots"])


class TestLooking:
    def test_versions_are_listed_compared_printed_and_rolled_back(self, operator: Operator) -> None:
        operator.run("apply", operator.write(DOCUMENT))
        path = operator.write(DOCUMENT | {"services": [{"name": "maal", "slots": 3}]})
        code, out, _ = operator.run("diff", path)
        assert code == 0 and "slots" in out
        operator.run("apply", path)
        assert operator.run("rollback", "1")[1].startswith("accepted as version 3")
        assert len(json.loads(operator.run("history", "-o", "json")[1])["versions"]) == 3
        assert "slots" in operator.run("diff", "--from", "1", "--to", "2")[1]
        printed = operator.run("get")[1]
        assert operator.run("apply", operator.write({}, "x").replace("/x", "/absent"))[0] == 3
        (Path(path)).write_text(printed)
        assert operator.run("validate", path)[0] == ExitCode.DONE

    def test_status_tells_how_far_the_version_has_spread(self, operator: Operator) -> None:
        operator.run("apply", operator.write(DOCUMENT))
        assert "version 1: held by 1 of 3 daemons" in operator.run("status")[1]

    def test_the_time_line_merges_live_daemons_and_says_who_is_missing(
        self, operator: Operator
    ) -> None:
        operator.first.events = [build_event("late", 20.0)]
        operator.second.events = [build_event("early", 10.0)]
        code, out, err = operator.run("timeline")
        assert code == 0 and out.index("early") < out.index("late")
        assert f"left out: daemon {operator.addresses[0]}" in err

    def test_minor_events_are_shown_on_request(self, operator: Operator) -> None:
        event = msgspec.structs.replace(build_event("minor", 5.0), level=Level.DEBUG)
        operator.first.events = [event]
        assert "minor" not in operator.run("timeline")[1]
        assert "minor" in operator.run("timeline", "--level", "debug")[1]
        assert "minor" in operator.run("timeline", "--kind", "210")[1]

    def test_the_time_line_merges_files(self, operator: Operator, tmp_path: Path) -> None:
        paths = [str(tmp_path / name) for name in ("a.log", "b.log")]
        for path, time in zip(paths, (20.0, 10.0), strict=True):
            Path(path).write_bytes(msgspec.json.encode(build_event(path, time)) + b"\n")
        _, out, _ = operator.run("timeline", *paths, "--output", "json")
        assert [event["time"] for event in json.loads(out)["events"]] == [10.0, 20.0]
        Path(paths[0]).write_text("no event\n")
        code, _, err = operator.run("timeline", *paths)
        assert code == ExitCode.FAULT and "a.log:1" in err

    def test_drain_asks_exactly_the_daemon_named(self, operator: Operator) -> None:
        code, out, _ = operator.run("drain", operator.addresses[2])
        assert code == 0 and "draining" in out
        assert not operator.first.announced and operator.second.announced


class TestFailures:
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
    def test_a_failure_has_its_documented_code_and_no_traceback(
        self, operator: Operator, arguments: tuple[str, ...], code: ExitCode
    ) -> None:
        given, _, err = operator.run(*arguments, token="wrong-token")
        assert given == code and err and "Traceback" not in err

    def test_every_problem_and_code_has_a_meaning(self) -> None:
        assert set(PROBLEM_EXIT_CODES) == set(ProblemKind) and set(EXIT_CODE_MEANINGS) == set(ExitCode)

    def test_flags_replace_the_configuration_file(
        self, operator: Operator, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        (tmp_path / "token").write_text(ADMIN_TOKEN)
        content = {"addresses": ["127.0.0.1:1"], "token_file": str(tmp_path / "token")}
        path = operator.write(content, "ctl.json")
        assert run(["--config", path, "history"]) == ExitCode.UNAVAILABLE
        address = operator.addresses[1]
        assert run(["--config", path, "--address", address, "history"]) == ExitCode.DONE
        broken = operator.write({"address": 1}, "broken.json")
        assert run(["--config", broken, "history"]) == ExitCode.INVALID_INPUT
        assert "/address" in capsys.readouterr().err
