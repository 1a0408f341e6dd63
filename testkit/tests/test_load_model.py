from pathlib import Path

import msgspec
import pytest
from typer import Typer
from typer.testing import CliRunner

from godwitpass_testkit.load_model.__main__ import PATTERNS_FOLDER, list_patterns, main
from godwitpass_testkit.load_model.experiment import (
    ClassSpec,
    Experiment,
    FaultKind,
    FaultSpec,
    InvalidExperiment,
    NestedCalls,
    ServiceSpec,
    read_experiment,
    scale_experiment,
)
from godwitpass_testkit.load_model.report import compute_worth, draw_plot, render_report
from godwitpass_testkit.load_model.simulation import CallResult, Outcome, simulate
from godwitpass_testkit.load_model.virtual_loop import VirtualLoop

DESK = ServiceSpec("desk", instances=3, slots=4, speeds=(0.8, 1.2))
CORE = ServiceSpec("core", instances=3, slots=4)
READ = ClassSpec("read", "desk", 40.0, 0.1, objective_s=0.5, deadline_s=3.0)
CHECK = ClassSpec("check", "core", 0.0, 0.03, objective_s=0.2, deadline_s=1.0)
CALM = Experiment("a calm service", ("a", "b"), (DESK, CORE), (READ, CHECK), duration_s=3.0)


def with_read(**changes: object) -> Experiment:
    read = msgspec.structs.replace(READ, **changes)
    return msgspec.structs.replace(CALM, classes=(read, CHECK))


class TestVirtualLoop:
    def test_callbacks_run_in_the_order_of_their_times_and_of_scheduling(self) -> None:
        loop, order = VirtualLoop(), list[str]()
        loop.call_later(0.2, order.append, "late")
        loop.call_later(0.1, order.append, "first")
        loop.call_at(0.1, order.append, "second")
        cancelled = loop.call_soon(order.append, "never")
        cancelled.cancel()
        loop.run_until(0.15)
        assert (order, loop.time()) == (["first", "second"], 0.15)


class TestSimulation:
    def test_a_seed_repeats_its_result(self) -> None:
        assert simulate(CALM, 3).calls == simulate(CALM, 3).calls
        assert simulate(CALM, 3).calls != simulate(CALM, 4).calls

    def test_on_a_calm_day_nearly_all_calls_are_in_time(self) -> None:
        result = simulate(CALM)
        assert compute_worth(result, result.calls) > 0.97
        assert sum(result.runs_by_service["desk"]) == result.arrivals_by_service["desk"]

    @pytest.mark.parametrize("rate_per_s", [40.0, 300.0])
    def test_no_upstream_runs_more_calls_than_it_has_slots(self, rate_per_s: float) -> None:
        result = simulate(with_read(rate_per_s=rate_per_s, calls=(NestedCalls("check"),)))
        assert all(running <= 4 for running in result.most_running_by_service.values())

    def test_nested_calls_reach_their_service_and_aren_t_counted_as_calls_of_callers(self) -> None:
        result = simulate(with_read(calls=(NestedCalls("check", times=2),)))
        runs = sum(result.runs_by_service["desk"])
        assert sum(result.runs_by_service["core"]) == 2 * runs
        assert {call.class_name for call in result.calls} == {"read"}

    def test_above_its_capacity_a_service_serves_about_what_it_can(self) -> None:
        # Three upstreams with four slots and a mean speed of about 1 run about 115 calls a second.
        result = simulate(with_read(rate_per_s=180.0, retries=0))
        served = [call for call in result.calls if call.outcome is Outcome.IN_TIME]
        assert 0.75 * 115 * 3.0 < len(served) < 1.15 * 115 * 3.0

    def test_a_call_whose_nested_call_fails_is_failed_or_repeated(self) -> None:
        shedding = FaultSpec(FaultKind.SHED, 0.0, 9.0, 1.0, service="core")
        experiment = msgspec.structs.replace(
            with_read(calls=(NestedCalls("check"),)), faults=(shedding,)
        )
        result = simulate(experiment)
        assert {call.outcome for call in result.calls} == {Outcome.FAILED}
        assert all(call.attempts == 1 + READ.retries for call in result.calls)

    def test_a_burst_multiplies_the_arrivals_while_it_lasts(self) -> None:
        burst = FaultSpec(FaultKind.BURST, 1.0, 1.0, 4.0)
        result = simulate(msgspec.structs.replace(CALM, faults=(burst,)))
        counts = [
            sum(second <= call.started_at < second + 1 for call in result.calls)
            for second in range(3)
        ]
        assert counts[1] > 2.5 * max(counts[0], counts[2])


class TestStandingQueue:
    """Guards against stale load knowledge, which sent calls to busy upstreams beside free ones."""

    def replay(self, name: str, daemons: int, **changes: object) -> list[CallResult]:
        experiment = scale_experiment(read_experiment(PATTERNS_FOLDER / f"{name}.toml"), daemons)
        return list(simulate(msgspec.structs.replace(experiment, **changes)).calls)

    def test_at_nine_tenths_of_the_capacity_half_of_the_objective_suffices_for_most(self) -> None:
        # 13 slots a server, speeds 0.6 to 1.4: calls waited twice as long as they ran.
        calls = self.replay("standing-queue", 10, duration_s=7.0, faults=())
        late = [call for call in calls if call.took_s > 1.0]
        assert len(late) < len(calls) / 100, "at most one in a hundred misses its objective"
        assert sorted(call.took_s for call in calls)[len(calls) // 2] < 0.5

    def test_servers_with_few_slots_refuse_no_more_soon_after_a_burst(self) -> None:
        # 3 slots a server: an eighth of the calls stayed refused long after the burst.
        burst = FaultSpec(FaultKind.BURST, 1.5, 1.5, 2.0)
        calls = self.replay("small-servers", 45, duration_s=7.0, faults=(burst,))
        later = [call for call in calls if call.started_at >= 5.0]
        refused = [call for call in later if call.outcome is Outcome.REFUSED]
        assert len(refused) < len(later) / 100


class TestNestedOutage:
    def test_fewer_outer_calls_are_lost_by_nested_calls_that_nobody_serves(self) -> None:
        # All servers of the inner service turn away everything. Guards against outer calls that are
        # started although they can only fail; nearly all of them failed after their work.
        pattern = read_experiment(PATTERNS_FOLDER / "nested-outage.toml")
        outage = FaultSpec(FaultKind.SHED, 2.0, 2.5, 1.0, service="payments")
        experiment = msgspec.structs.replace(
            scale_experiment(pattern, 18), duration_s=6.0, faults=(outage,)
        )
        calls = simulate(experiment).calls
        during = [call for call in calls if 2.5 <= call.started_at < 4.0]
        failed = [call for call in during if call.outcome is Outcome.FAILED]
        assert len(failed) < 0.75 * len(during)
        # A second after the outage the route is served again.
        later = [call for call in calls if call.started_at >= 5.5]
        assert later and not [call for call in later if call.outcome is Outcome.REFUSED]


class TestReport:
    def test_it_shows_classes_zones_and_services(self) -> None:
        report = render_report(simulate(CALM))
        assert "| read |" in report and "| a |" in report and "| desk |" in report
        assert "| check |" not in report, "callers make no such calls"

    def test_a_plot_is_written(self, tmp_path: Path) -> None:
        draw_plot(simulate(CALM), tmp_path / "plot.png")
        assert (tmp_path / "plot.png").read_bytes().startswith(b"\x89PNG")


class TestExperiment:
    @pytest.mark.parametrize("name", list_patterns())
    def test_each_pattern_can_be_read_and_scaled(self, name: str) -> None:
        experiment = read_experiment(PATTERNS_FOLDER / f"{name}.toml")
        assert abs(scale_experiment(experiment, 40).instance_count - 40) <= len(experiment.services)

    @pytest.mark.parametrize(
        ("before", "after", "problem"),
        [
            ('service = "desk"', 'service = "disk"', "unknown service 'disk'"),
            ("objective_s = 0.3", "objective_s = 9.0", "objective after its deadline"),
            ("slots = 16", "slots = 0", "slots"),
            ("slots = 16", "slot = 16", "slot"),
            ("retry_slack = 62.0", "retry_slack = ", "overload.toml"),
        ],
    )
    def test_an_invalid_file_is_rejected_with_its_problem(
        self, tmp_path: Path, before: str, after: str, problem: str
    ) -> None:
        text = (PATTERNS_FOLDER / "overload.toml").read_text()
        assert before in text
        path = tmp_path / "overload.toml"
        path.write_text(text.replace(before, after))
        with pytest.raises(InvalidExperiment, match=problem):
            read_experiment(path)


class TestCommand:
    def run_command(self, *arguments: str) -> tuple[int, str]:
        application = Typer()
        application.command()(main)
        result = CliRunner().invoke(application, list(arguments))
        return result.exit_code, result.output

    def test_a_pattern_is_played_at_another_size(self) -> None:
        exit_code, output = self.run_command("calm-uneven", "--daemons", "3")
        assert exit_code == 0
        assert "| lookup |" in output

    def test_an_unknown_pattern_is_answered_with_the_known_ones(self) -> None:
        exit_code, output = self.run_command("nothing")
        assert exit_code == 2
        assert "overload" in output
