"""Seeds, numbers of machines and durations in seconds of soaks that failed, with the causes."""

from pathlib import Path

import pytest

from godwitpass_platform_soak import draw_plan, run_soak

pytestmark = pytest.mark.nightly

PAST_FAILURES = [
    # SIGHUP during the imports ended the process.
    (2, 6, 20),
    # The soak mistook a connection to a port without a listener for one that a daemon closed.
    (13, 6, 20),
    (19, 6, 20),
    (21, 6, 20),
    # A request crossed the close of an idle connection at the end of a stop and ran nowhere.
    (313, 5, 12),
    # SIGHUP about 50 ms after the start of a process ended it before its first line of Python.
    (623, 5, 12),
    # SIGHUP before the start of the relay ended the process.
    (1220004, 6, 20),
    # A caller that read late timed the loss of a call, which crossed the exit of a stopped daemon,
    # by its reading.
    (7106, 14, 40),
]

PAST_FAILURES_WITH_NEWER_FAULTS = [
    # The soak took a response that was cut at its deadline for a lost connection.
    (11, 6, 20),
    # The soak checked the caller's service by the time of the run, not of the call; its leaving
    # servers answered the health check of a restarted daemon with 200.
    (104, 6, 20),
    (201, 6, 20),
    # Attempts that no server got kept a crashing request from being refused.
    (202, 6, 20),
    # A probe that broke beside a crashing request was refused for ten minutes.
    (1003, 6, 20),
    # The soak took a download that ended with the machine of its upstream for a lost connection.
    (2011, 6, 20),
]

PAST_FAILURES_WITH_CRASHING_FAULTS = [
    # The soak counted runs at daemons that had just started, when no other one knew of the crashes.
    (340305, 8, 20),
    (340308, 8, 20),
]

PAST_FAILURES_WITH_RESTARTS = [
    # The soak gave the addresses of both servers of a service to another one.
    (54306, 4, 14),
]

PAST_FAILURES_WITH_SILENT_VERSIONS = [
    # Connections between daemons went silent, and large versions waited for them.
    (56001, 8, 20),
    (56002, 8, 20),
    # Answers were late after the last fault; not traced.
    (56101, 8, 20),
]


class TestRegressions:
    @pytest.mark.parametrize(("seed", "machines", "seconds"), PAST_FAILURES)
    def test_a_seed_that_failed_before_violates_no_invariant(
        self, seed: int, machines: int, seconds: int, tmp_path: Path
    ) -> None:
        outcome = run_soak(draw_plan(seed, machines, seconds), tmp_path)
        assert not outcome.violations, outcome

    @pytest.mark.parametrize(("seed", "machines", "seconds"), PAST_FAILURES_WITH_NEWER_FAULTS)
    def test_a_seed_with_newer_faults_that_failed_before_violates_no_invariant(
        self, seed: int, machines: int, seconds: int, tmp_path: Path
    ) -> None:
        plan = draw_plan(seed, machines, seconds, with_newer_faults=True)
        outcome = run_soak(plan, tmp_path)
        assert not outcome.violations, outcome

    @pytest.mark.parametrize(("seed", "machines", "seconds"), PAST_FAILURES_WITH_CRASHING_FAULTS)
    def test_a_seed_with_crashing_faults_that_failed_before_violates_no_invariant(
        self, seed: int, machines: int, seconds: int, tmp_path: Path
    ) -> None:
        plan = draw_plan(seed, machines, seconds, only_crashing_faults=True)
        outcome = run_soak(plan, tmp_path)
        assert not outcome.violations, outcome

    @pytest.mark.parametrize(("seed", "machines", "seconds"), PAST_FAILURES_WITH_RESTARTS)
    def test_a_seed_with_restarts_that_failed_before_violates_no_invariant(
        self, seed: int, machines: int, seconds: int, tmp_path: Path
    ) -> None:
        plan = draw_plan(seed, machines, seconds, only_restart_faults=True)
        outcome = run_soak(plan, tmp_path)
        assert not outcome.violations, outcome

    @pytest.mark.parametrize(("seed", "machines", "seconds"), PAST_FAILURES_WITH_SILENT_VERSIONS)
    def test_a_seed_with_silent_versions_that_failed_before_violates_no_invariant(
        self, seed: int, machines: int, seconds: int, tmp_path: Path
    ) -> None:
        plan = draw_plan(seed, machines, seconds, only_silent_versions=True)
        outcome = run_soak(plan, tmp_path)
        assert not outcome.violations, outcome
