"""The soak's checks of routes, and versions on connections that go silent."""

from pathlib import Path

import pytest

from godwitpass_platform_soak import draw_plan, run_soak
from godwitpass_platform_soak.checker import Disturbances, Invariant
from godwitpass_platform_soak.plan import Fault
from godwitpass_platform_soak.route_checks import (
    MAX_LATE_ANSWERS,
    MIN_LATER_CALLS,
    MIN_SPLIT_RUNS,
    RouteChecker,
    RouteKind,
)

SILENT_VERSIONS_SEED = 56001


def build_checker(disturbances: Disturbances | None = None) -> RouteChecker:
    return RouteChecker(disturbances or Disturbances(), 2)


class TestRouteChecker:
    @pytest.mark.parametrize(("later_served", "is_violated"), [(4, True), (5, False)])
    def test_later_routes_that_are_served_less_than_a_quarter_as_often_are_found(
        self, later_served: int, is_violated: bool
    ) -> None:
        checker = build_checker()
        for number in range(MIN_LATER_CALLS):
            checker.record_answer(RouteKind.FIRST, 0, 10.0, 10.1, 200)
            status = 200 if number < later_served else 404
            checker.record_answer(RouteKind.LATER, 0, 10.0, 10.1, status)
        expected = {Invariant.LATER_ROUTES_SERVED} if is_violated else set()
        assert checker.find_violations().keys() == expected

    @pytest.mark.parametrize(
        ("late", "others", "is_violated"),
        [(MAX_LATE_ANSWERS + 1, 20, True), (MAX_LATE_ANSWERS, 0, False), (10, 30, False)],
    )
    def test_answers_long_after_the_timeout_of_their_route_are_found(
        self, late: int, others: int, is_violated: bool
    ) -> None:
        checker = build_checker()
        for _ in range(late):
            checker.record_answer(RouteKind.BRIEF, 0, 10.0, 10.9, 504)
        for _ in range(others):
            checker.record_answer(RouteKind.BRIEF, 0, 10.0, 10.31, 504)
        expected = {Invariant.ROUTE_TIMEOUT_KEPT} if is_violated else set()
        assert checker.find_violations().keys() == expected

    @pytest.mark.parametrize(("vault_share", "is_violated"), [(0.85, True), (0.75, False)])
    def test_a_share_far_off_its_weight_is_found(
        self, vault_share: float, is_violated: bool
    ) -> None:
        checker = build_checker()
        for number in range(MIN_SPLIT_RUNS):
            service = "vault" if number < vault_share * MIN_SPLIT_RUNS else "desk"
            checker.record_split_run(service, 10.0)
        expected = {Invariant.SHARES_KEPT} if is_violated else set()
        assert checker.find_violations().keys() == expected

    def test_calls_of_disturbed_machines_do_not_count(self) -> None:
        disturbances = Disturbances()
        disturbances.add(0, 9.0, 9.5)
        checker = build_checker(disturbances)
        for kind in RouteKind:
            checker.record_answer(kind, 0, 10.0, 12.0, 404)
        checker.record_split_run("vault", 10.0)
        assert not any(checker.counts.values())


class TestSilentVersions:
    def test_large_versions_are_in_time_though_connections_between_daemons_went_silent(
        self, tmp_path: Path
    ) -> None:
        plan = draw_plan(SILENT_VERSIONS_SEED, 8, 12, only_silent_versions=True)
        assert {Fault.LARGE_VERSION, Fault.SILENT_PEERS} < {step.fault for step in plan.steps}
        outcome = run_soak(plan, tmp_path)
        assert not outcome.violations, outcome.violations
        for count in ("later route", "brief route", "split runs"):
            assert outcome.counts[count] > 20, outcome.counts
