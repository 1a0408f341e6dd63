"""The soak: its plans, its checks and one short run."""

from pathlib import Path

import anyio
import pytest

from godwitpass_platform_soak import draw_plan, run_soak
from godwitpass_platform_soak.checker import (
    Answer,
    Checker,
    Disturbances,
    Promise,
    Sent,
    digest,
)

BODY = b"body"
LINE = "POST /order/1 HTTP/1.1"
SERVICES = {0: "desk", 1: "vault"}
SEEDS_IN_CI = [3, 5]


def build_checker(disturbances: Disturbances | None = None) -> Checker:
    checker = Checker(disturbances or Disturbances(), SERVICES)
    checker.note_sent(Sent("r1", 0, LINE, digest(BODY), True, 1.5, 10.0))
    return checker


def run(
    checker: Checker,
    request: str = "r1",
    line: str = LINE,
    body: bytes = BODY,
    caller: str = "desk",
    at: float = 10.1,
) -> None:
    checker.note_run("i-1-0", 1, request, line, body, caller, at)


def list_promises(checker: Checker) -> list[Promise]:
    return [breach.promise for breach in checker.breaches]


class TestPlan:
    def test_a_seed_gives_the_same_faults_each_time(self) -> None:
        assert draw_plan(5, 6, 20) == draw_plan(5, 6, 20)
        assert draw_plan(5, 6, 20) != draw_plan(6, 6, 20)

    def test_every_fault_ends_with_the_run(self) -> None:
        for seed in range(50):
            plan = draw_plan(seed, 6, 20)
            assert all(step.at + step.for_s <= plan.length_s + 0.01 for step in plan.steps)

    def test_a_plan_needs_room_for_faults(self) -> None:
        with pytest.raises(ValueError, match="two machines or more"):
            draw_plan(1, 1, 20)


class TestChecker:
    def test_a_call_that_ran_once_and_was_answered_whole_breaks_nothing(self) -> None:
        checker = build_checker()
        run(checker)
        checker.note_answer("r1", Answer(200, 10.2, True, "r1", True))
        assert not checker.breaches

    def test_a_second_run_of_a_call_that_may_run_once_is_found(self) -> None:
        checker = build_checker()
        run(checker)
        run(checker)
        assert list_promises(checker) == [Promise.ONCE]

    @pytest.mark.parametrize(
        ("line", "body", "caller"),
        [(LINE, b"other", "desk"), ("GET / HTTP/1.1", BODY, "desk"), (LINE, BODY, "vault")],
    )
    def test_a_changed_call_is_found(self, line: str, body: bytes, caller: str) -> None:
        checker = build_checker()
        run(checker, line=line, body=body, caller=caller)
        assert list_promises(checker) == [Promise.ASKED]

    def test_a_call_that_nobody_sent_is_found(self) -> None:
        checker = build_checker()
        run(checker, request="forged")
        assert list_promises(checker) == [Promise.ASKED]

    @pytest.mark.parametrize(
        "answer",
        [
            Answer(200, 10.2, False, "r1", True),
            Answer(200, 10.2, True, "r2", True),
            Answer(200, 10.2, True, "r1", False),
        ],
    )
    def test_an_answer_that_is_not_the_servers_own_is_found(self, answer: Answer) -> None:
        checker = build_checker()
        run(checker)
        checker.note_answer("r1", answer)
        assert list_promises(checker) == [Promise.WHOLE]

    def test_an_untrue_not_run_is_found_before_and_after_the_run(self) -> None:
        checker = build_checker()
        run(checker)
        checker.note_answer("r1", Answer(503, 10.2))
        checker = build_checker()
        checker.note_answer("r1", Answer(503, 10.2))
        run(checker, at=10.4)
        assert list_promises(checker) == [Promise.NOT_RUN]

    def test_a_call_after_a_drain_was_in_force_is_found(self) -> None:
        checker = build_checker()
        checker.note_drained("i-1-0", 7.0)
        run(checker)
        assert list_promises(checker) == [Promise.DRAINED]

    def test_a_closed_connection_is_a_breach_only_at_a_calm_machine(self) -> None:
        disturbances = Disturbances()
        disturbances.add(0, 8.0, 9.0)
        checker = build_checker(disturbances)
        run(checker)
        checker.note_answer("r1", Answer(0, 10.2))
        assert not checker.breaches
        checker = build_checker()
        run(checker)
        checker.note_answer("r1", Answer(0, 10.2))
        assert list_promises(checker) == [Promise.KEPT]

    def test_a_request_that_crosses_a_close_is_lost_if_it_waited_or_runs_later(self) -> None:
        checker = build_checker()
        checker.note_answer("r1", Answer(0, 10.15))
        assert not checker.breaches
        run(checker, at=10.2)
        assert list_promises(checker) == [Promise.KEPT]
        checker = build_checker()
        checker.note_answer("r1", Answer(0, 10.25))
        assert list_promises(checker) == [Promise.KEPT]

    def test_a_late_answer_is_found(self) -> None:
        checker = build_checker()
        checker.note_answer("r1", Answer(504, 12.1))
        assert list_promises(checker) == [Promise.ANSWERED]

    def test_a_late_version_and_a_step_back_are_found(self) -> None:
        checker = build_checker()
        checker.note_version(2, 5.0)
        checker.note_probe(0, 1, False, 2, 6.9, 7.0)
        checker.note_probe(0, 1, False, 2, 7.5, 7.6)
        assert list_promises(checker) == [Promise.APPLIED]
        checker.note_probe(0, 1, True, 2, 7.7, 7.8)
        checker.note_probe(0, 1, False, 2, 7.2, 7.9)
        assert list_promises(checker)[1:] == [Promise.FORWARD]
        checker.note_probe(0, 2, False, 2, 7.2, 8.0)
        assert len(checker.breaches) == 2

    def test_an_own_end_and_a_missing_recovery_are_found(self) -> None:
        checker = build_checker()
        checker.note_end(0, 1, 20.0)
        checker.note_unrecovered(1, 20.0)
        assert list_promises(checker) == [Promise.RUNNING, Promise.RECOVERED]


class TestShortRun:
    @pytest.mark.parametrize("seed", SEEDS_IN_CI)
    def test_real_daemons_keep_their_promises(self, seed: int, tmp_path: Path) -> None:
        outcome = anyio.run(run_soak, draw_plan(seed, 3, 8), tmp_path)
        assert not outcome.breaches, outcome
        assert outcome.counts["status 200"] > 100
