"""The soak: its plans, its checker and short runs with real daemons."""

import asyncio
import contextlib
from pathlib import Path
from typing import Any, cast

import anyio
import pytest

from godwitpass.ids import Address
from godwitpass_platform_soak import draw_plan, run_soak
from godwitpass_platform_soak.callers import SLOW_READER_PAUSE_S, read_response
from godwitpass_platform_soak.checker import (
    MAX_CUSTOMER_CALLS,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    Checker,
    Disturbances,
    Invariant,
    ObservedResponse,
    SentCall,
    hash_body,
)
from godwitpass_platform_soak.faults import FaultInjector
from godwitpass_platform_soak.keys import LASTING_KEY
from godwitpass_platform_soak.plan import (
    CRASHING_FAULTS,
    CROWD_FAULTS,
    LATE_POLL_FAULTS,
    MISBEHAVIOUR,
    POLL_FAULTS,
    RETURN_FAULTS,
    Fault,
    Plan,
    Step,
)
from godwitpass_platform_soak.proxy import Link, StreamProxy
from godwitpass_platform_stand_ins.client import Client
from godwitpass_platform_stand_ins.endless_responses import NO_RESPONSES

BODY = b"body"
REQUEST_LINE = "POST /order/1 HTTP/1.1"
SERVICES = {0: "desk", 1: "vault"}
SEEDS = [3, 5]
NEWER_SEEDS = [1, 2]
EXTRA_REQUESTS_SEED = 41
CRASHING_SEED = 37
LATE_POLLS_SEED = 52058
KILLS_OF_ALL_SEED = 53901
STOPS_SEED = 53601


def build_checker(disturbances: Disturbances | None = None) -> Checker:
    checker = Checker(disturbances or Disturbances(), SERVICES)
    checker.record_call(SentCall("r1", 0, REQUEST_LINE, hash_body(BODY), True, 1.5, 10.0))
    return checker


def record_run_of_call(
    checker: Checker,
    request_id: str = "r1",
    request_line: str = REQUEST_LINE,
    body: bytes = BODY,
    caller: str = "desk",
    started_at: float = 10.1,
) -> None:
    checker.record_run("i-1-0", 1, request_id, request_line, body, caller, started_at)


def list_violated_invariants(checker: Checker) -> list[Invariant]:
    return [violation.invariant for violation in checker.violations]


RESTARTS_SEED = 410001
MISBEHAVING_SEED = 8025


class TestStreamProxy:
    def test_a_silent_connection_stays_open_and_new_ones_work(self) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(100):
                    writer.write(data)
            writer.close()

        async def check() -> None:
            target, address = Address("127.0.0.1:21901"), Address("127.0.0.1:21902")
            server = await asyncio.start_server(echo, "127.0.0.1", 21901)
            proxy = StreamProxy(address, target, Link())
            await proxy.start()
            silent_reader, silent_writer = await asyncio.open_connection("127.0.0.1", 21902)
            silent_writer.write(b"before")
            assert await silent_reader.readexactly(6) == b"before"
            proxy.silence()
            silent_writer.write(b"after")
            reader, writer = await asyncio.open_connection("127.0.0.1", 21902)
            writer.write(b"other")
            assert await reader.readexactly(5) == b"other"
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await silent_reader.read(1)
            assert not silent_writer.is_closing()
            for each in (silent_writer, writer):
                each.transport.abort()
            proxy.stop()
            server.close()
            # Let the event loop close its side of the aborted connections.
            await anyio.sleep(0.05)

        anyio.run(check, backend_options={"use_uvloop": True})


class TestSlowReader:
    @pytest.mark.parametrize(("closes_after_s", "is_lost"), [(0.0, False), (0.3, True)])
    def test_a_close_is_timed_by_its_arrival_and_not_by_the_next_read(
        self, closes_after_s: float, is_lost: bool
    ) -> None:
        async def close(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await anyio.sleep(closes_after_s)
            writer.close()

        async def check() -> None:
            server = await asyncio.start_server(close, "127.0.0.1", 21903)
            client = await Client.connect(Address("127.0.0.1:21903"))
            checker, sent_at = Checker(Disturbances(), SERVICES), anyio.current_time()
            call = SentCall("r1", 0, "GET /pack/1 HTTP/1.1", hash_body(b""), False, 1.5, sent_at)
            checker.record_call(call)
            client.send(b"GET /pack/1 HTTP/1.1\r\n\r\n")
            await anyio.sleep(SLOW_READER_PAUSE_S)
            checker.record_response("r1", await read_response(client, call))
            client.close()
            server.close()
            assert list_violated_invariants(checker) == [Invariant.CONNECTION_KEPT] * is_lost

        anyio.run(check, backend_options={"use_uvloop": True})


class TestPlan:
    def test_a_seed_always_gives_the_same_faults(self) -> None:
        assert draw_plan(5, 6, 20) == draw_plan(5, 6, 20)
        assert draw_plan(5, 6, 20) != draw_plan(6, 6, 20)

    def test_every_fault_ends_with_the_run(self) -> None:
        for seed in range(50):
            plan = draw_plan(seed, 6, 20)
            assert all(step.at + step.for_s <= plan.length_s + 0.01 for step in plan.steps)

    def test_crashing_faults_are_drawn_alone(self) -> None:
        for seed in range(20):
            plan = draw_plan(seed, 6, 20, only_crashing_faults=True)
            assert {step.fault for step in plan.steps} <= set(CRASHING_FAULTS)
            others = draw_plan(seed, 6, 20, with_newer_faults=True)
            assert Fault.CRASHING_BURST not in {step.fault for step in others.steps}

    def test_misbehaviour_is_drawn_on_request_only(self) -> None:
        for seed in range(20):
            crowds = draw_plan(seed, 4, 20, only_crowds=True)
            assert crowds.has_crowds
            assert {step.fault for step in crowds.steps} <= set(CROWD_FAULTS)
            others = draw_plan(seed, 4, 20, with_newer_faults=True)
            assert not {step.fault for step in others.steps} & set(MISBEHAVIOUR)

    def test_polls_that_end_late_are_drawn_alone(self) -> None:
        for seed in range(100):
            plan = draw_plan(seed, 6, 20, only_late_polls=True)
            assert {step.fault for step in plan.steps} <= set(LATE_POLL_FAULTS)
            others = draw_plan(seed, 6, 20, with_newer_faults=True)
            assert not {step.fault for step in others.steps} & set(POLL_FAULTS)

    def test_the_end_of_all_daemons_is_drawn_alone_and_ends_all(self) -> None:
        plan = draw_plan(9, 5, 50, only_kills_of_all=True)
        assert {step.fault for step in plan.steps} == set(RETURN_FAULTS)
        ends = [step for step in plan.steps if step.fault is Fault.KILL_ALL]
        assert len(ends) >= 2 and all(step.machines == tuple(range(5)) for step in ends)
        others = draw_plan(9, 5, 300, with_newer_faults=True)
        assert not {step.fault for step in others.steps} & set(RETURN_FAULTS)

    def test_a_plan_with_a_single_machine_is_rejected(self) -> None:
        with pytest.raises(ValueError, match="two machines or more"):
            draw_plan(1, 1, 20)


class FakeMachine:
    """A machine without processes, which counts the ends of its server."""

    def __init__(self, number: int, service: str, is_crashed: bool = False) -> None:
        self.number, self.service, self.is_crashed = number, service, is_crashed
        self.is_leaving = False
        self.server = self
        self.ends = 0

    async def stop(self) -> None:
        self.ends += 1
        raise InterruptedError("the server has ended")


class TestReusedAddresses:
    @pytest.mark.parametrize("fault", [Fault.REUSE, Fault.REUSE_AND_KILL])
    @pytest.mark.parametrize(("is_other_crashed", "ends"), [(False, 1), (True, 0)])
    def test_the_last_running_server_of_a_service_keeps_its_address(
        self, fault: Fault, is_other_crashed: bool, ends: int
    ) -> None:
        # Guards against runs in which nothing can be served, as no server of the service is left.
        machines = [FakeMachine(0, "vault"), FakeMachine(1, "vault", is_other_crashed)]

        async def inject() -> None:
            injector = FaultInjector(machines, *[cast(Any, None)] * 4)  # type: ignore[arg-type]
            with contextlib.suppress(InterruptedError, ExceptionGroup):
                await injector.inject(Step(0.0, fault, (0,), 0.1, 0.1))

        anyio.run(inject)
        assert machines[0].ends == ends


class TestChecker:
    def test_a_call_with_one_run_and_a_genuine_response_violates_nothing(self) -> None:
        checker = build_checker()
        record_run_of_call(checker)
        checker.record_response("r1", ObservedResponse(200, 10.2, True, "r1", True))
        assert not checker.violations

    def test_a_second_run_of_an_at_most_once_call_is_found(self) -> None:
        checker = build_checker()
        record_run_of_call(checker)
        record_run_of_call(checker)
        assert list_violated_invariants(checker) == [Invariant.AT_MOST_ONCE]

    @pytest.mark.parametrize(
        ("request_line", "body", "caller"),
        [
            (REQUEST_LINE, b"other", "desk"),
            ("GET / HTTP/1.1", BODY, "desk"),
            (REQUEST_LINE, BODY, "vault"),
        ],
    )
    def test_a_changed_call_is_found(self, request_line: str, body: bytes, caller: str) -> None:
        checker = build_checker()
        record_run_of_call(checker, request_line=request_line, body=body, caller=caller)
        assert list_violated_invariants(checker) == [Invariant.UNCHANGED_CALL]

    @pytest.mark.parametrize(
        ("key", "sent_at", "customer", "expected"),
        [
            (LASTING_KEY, 99.0, "north", []),
            ("passing-4", 25.0, "north", []),
            ("passing-3", 25.0, "north", []),
            ("passing-3", 25.1, "north", [Invariant.KEY_WITHDRAWN]),
            ("passing-1", 25.1, "north", [Invariant.KEY_WITHDRAWN]),
            ("", 25.1, "north", [Invariant.CUSTOMER_NAMED]),
            (LASTING_KEY, 25.1, "", [Invariant.CUSTOMER_NAMED]),
        ],
    )
    def test_a_call_with_a_withdrawn_key_or_another_customer_is_found(
        self, key: str, sent_at: float, customer: str, expected: list[Invariant]
    ) -> None:
        checker = build_checker()
        checker.record_version(5, 20.0)
        checker.record_call(
            SentCall("k", 0, REQUEST_LINE, hash_body(BODY), True, 1.5, sent_at, key)
        )
        checker.record_headers("k", 1, customer, False, sent_at + 0.1)
        assert list_violated_invariants(checker) == expected

    def test_a_call_that_nobody_sent_is_found(self) -> None:
        checker = build_checker()
        record_run_of_call(checker, request_id="forged")
        assert list_violated_invariants(checker) == [Invariant.UNCHANGED_CALL]

    @pytest.mark.parametrize(
        "response",
        [
            ObservedResponse(200, 10.2, False, "r1", True),
            ObservedResponse(200, 10.2, True, "r2", True),
            ObservedResponse(200, 10.2, True, "r1", False),
        ],
    )
    def test_a_response_that_the_server_did_not_produce_for_the_call_is_found(
        self, response: ObservedResponse
    ) -> None:
        checker = build_checker()
        record_run_of_call(checker)
        checker.record_response("r1", response)
        assert list_violated_invariants(checker) == [Invariant.GENUINE_RESPONSE]

    def test_a_false_not_run_response_is_found_whether_it_precedes_or_follows_the_run(self) -> None:
        checker = build_checker()
        record_run_of_call(checker)
        checker.record_response("r1", ObservedResponse(503, 10.2))
        checker = build_checker()
        checker.record_response("r1", ObservedResponse(503, 10.2))
        record_run_of_call(checker, started_at=10.4)
        assert list_violated_invariants(checker) == [Invariant.NOT_RUN]

    def test_a_call_to_a_drained_server_is_found(self) -> None:
        checker = build_checker()
        checker.record_drain("i-1-0", 7.0)
        record_run_of_call(checker)
        assert list_violated_invariants(checker) == [Invariant.DRAINED]

    def test_a_closed_connection_is_a_violation_only_at_an_undisturbed_machine(self) -> None:
        disturbances = Disturbances()
        disturbances.add(0, 8.0, 9.0)
        checker = build_checker(disturbances)
        record_run_of_call(checker)
        checker.record_response("r1", ObservedResponse(0, 10.2))
        assert not checker.violations
        checker = build_checker()
        record_run_of_call(checker)
        checker.record_response("r1", ObservedResponse(0, 10.2))
        assert list_violated_invariants(checker) == [Invariant.CONNECTION_KEPT]

    def test_a_request_that_crosses_a_close_counts_as_lost_only_after_a_wait_or_a_later_run(
        self,
    ) -> None:
        checker = build_checker()
        checker.record_response("r1", ObservedResponse(0, 10.15))
        assert not checker.violations
        record_run_of_call(checker, started_at=10.2)
        assert list_violated_invariants(checker) == [Invariant.CONNECTION_KEPT]
        checker = build_checker()
        checker.record_response("r1", ObservedResponse(0, 10.25))
        assert list_violated_invariants(checker) == [Invariant.CONNECTION_KEPT]

    def test_an_upload_that_is_cut_counts_as_lost_once_it_was_sent_whole(self) -> None:
        for is_whole, closed_at, is_lost in (
            (False, 11.1, False),
            (True, 11.1, False),
            (True, 11.3, True),
        ):
            checker = Checker(Disturbances(), SERVICES)
            call = SentCall("r1", 0, REQUEST_LINE, hash_body(BODY), True, 1.5, 10.0)
            call.sending_s, call.is_whole = 1.0, is_whole
            checker.record_call(call)
            checker.record_response("r1", ObservedResponse(0, closed_at))
            expected = [Invariant.CONNECTION_KEPT] if is_lost else []
            assert list_violated_invariants(checker) == expected

    def test_a_response_that_is_cut_at_the_deadline_is_no_lost_connection(self) -> None:
        checker = build_checker()
        record_run_of_call(checker)
        checker.record_response("r1", ObservedResponse(0, 11.497))
        assert not checker.violations
        checker = build_checker()
        record_run_of_call(checker)
        checker.record_response("r1", ObservedResponse(0, 11.4))
        assert list_violated_invariants(checker) == [Invariant.CONNECTION_KEPT]

    def test_a_streamed_response_may_be_cut_by_a_fault_of_the_machine_that_sent_it(self) -> None:
        for line, fault_at, violations in (
            ("GET /pack/1 HTTP/1.1", 10.15, []),
            ("GET /pack/1 HTTP/1.1", 11.0, [Invariant.CONNECTION_KEPT]),
            ("GET /read/1 HTTP/1.1", 10.15, [Invariant.CONNECTION_KEPT]),
        ):
            disturbances = Disturbances()
            disturbances.add(1, fault_at, fault_at + 0.1)
            checker = Checker(disturbances, SERVICES)
            checker.record_call(SentCall("r1", 0, line, hash_body(b""), False, 1.5, 10.0))
            record_run_of_call(checker, request_line=line, body=b"")
            checker.record_response("r1", ObservedResponse(0, 10.3))
            assert list_violated_invariants(checker) == violations

    def test_more_calls_than_a_named_limit_allows_are_found_after_some_seconds(self) -> None:
        checker = build_checker()
        checker.record_limit("i-1-0", 1.0, 5.0)
        for number in range(12):
            record_run_of_call(checker, started_at=10.0 + number / 10)
        assert Invariant.LIMITED in list_violated_invariants(checker)
        checker = build_checker()
        checker.record_limit("i-1-0", 1.0, 9.0)
        for number in range(12):
            record_run_of_call(checker, started_at=10.0 + number / 10)
        assert Invariant.LIMITED not in list_violated_invariants(checker)

    def test_a_call_to_a_server_that_said_in_a_response_that_it_leaves_is_found(self) -> None:
        checker = build_checker()
        checker.record_leaving("i-1-0", 7.0)
        record_run_of_call(checker)
        assert list_violated_invariants(checker) == [Invariant.DRAINED]

    def test_crashes_are_counted_from_some_seconds_after_the_third(self) -> None:
        checker = build_checker()
        for at in (1.0, 2.0, 3.0, 4.0, 5.0, 6.5, 7.0, 8.0):
            checker.record_crash("/read/crash-1", 1, at)
        assert not checker.violations
        checker.record_crash("/read/crash-1", 1, 9.0)
        assert list_violated_invariants(checker) == [Invariant.CRASHES_BOUNDED]

    def test_runs_after_crashes_count_at_undisturbed_machines_only(self) -> None:
        disturbances = Disturbances()
        disturbances.add(1, 6.0, 7.0)
        checker = build_checker(disturbances)
        for at in (1.0, 2.0, 3.0, 7.0, 7.5, 8.0, 9.0, 9.5, 10.5, 11.0, 11.5):
            checker.record_crash("/read/crash-1", 1, at)
        assert not checker.violations
        checker.record_crash("/read/crash-1", 1, 12.0)
        assert list_violated_invariants(checker) == [Invariant.CRASHES_BOUNDED]

    def test_the_former_service_of_a_machine_may_be_named_for_some_seconds(self) -> None:
        checker = build_checker()
        checker.record_service(0, "vault", 9.0)
        # The call was sent at 10.0; a paused daemon may pass it on much later.
        record_run_of_call(checker, caller="desk", started_at=12.5)
        assert not checker.violations
        checker = build_checker()
        checker.record_service(0, "vault", 6.5)
        record_run_of_call(checker, caller="desk")
        assert list_violated_invariants(checker) == [Invariant.UNCHANGED_CALL]

    def test_a_denied_call_and_a_wrong_service_are_found(self) -> None:
        checker = build_checker()
        checker.record_response("r1", ObservedResponse(404, 10.2))
        checker.record_wrong_service("i-0-0", 0, "r1", 10.2)
        assert list_violated_invariants(checker) == [Invariant.NOT_DENIED, Invariant.ROUTED]

    def test_repeats_beyond_the_shared_budget_are_found(self) -> None:
        checker = Checker(Disturbances(), SERVICES, retry_slack=2.0)
        checker.record_call(SentCall("r1", 0, REQUEST_LINE, hash_body(BODY), False, 1.5, 10.0))
        for _ in range(4):
            record_run_of_call(checker)
        assert list_violated_invariants(checker) == [Invariant.RETRIES_BOUNDED]

    def test_a_late_answer_is_found(self) -> None:
        checker = build_checker()
        checker.record_response("r1", ObservedResponse(504, 12.1))
        assert list_violated_invariants(checker) == [Invariant.ANSWERED_IN_TIME]

    def test_a_late_version_and_a_reverted_version_are_found(self) -> None:
        checker = build_checker()
        checker.record_version(2, 5.0)
        checker.record_probe_result(0, 1, False, 2, 6.9, 7.0)
        checker.record_probe_result(0, 1, False, 2, 7.5, 7.6)
        assert list_violated_invariants(checker) == [Invariant.VERSION_APPLIED]
        checker.record_probe_result(0, 1, True, 2, 7.7, 7.8)
        checker.record_probe_result(0, 1, False, 2, 7.2, 7.9)
        assert list_violated_invariants(checker)[1:] == [Invariant.VERSION_NOT_REVERTED]
        checker.record_probe_result(0, 2, False, 2, 7.2, 8.0)
        assert len(checker.violations) == 2

    def test_an_unexpected_exit_and_a_missing_recovery_are_found(self) -> None:
        checker = build_checker()
        checker.record_exit(0, 1, 20.0)
        checker.record_unrecovered(1, 20.0)
        assert list_violated_invariants(checker) == [Invariant.PROCESS_RUNNING, Invariant.RECOVERED]

    def test_a_daemon_beyond_its_memory_or_descriptors_is_found_once_a_start(self) -> None:
        checker = Checker(Disturbances(), SERVICES)
        checker.record_use(0, 1, (MEMORY_MB, MAX_DESCRIPTORS), 20.0)
        assert not checker.violations
        for use in ((MEMORY_MB + 0.1, 10), (10.0, MAX_DESCRIPTORS + 1)):
            checker.record_use(0, 1, use, 20.0)
        checker.record_use(0, 2, (10.0, MAX_DESCRIPTORS + 1), 20.0)
        assert list_violated_invariants(checker) == [Invariant.RESOURCES_BOUNDED] * 2

    def test_calls_of_a_customer_beyond_its_limit_are_found(self) -> None:
        checker, path = Checker(Disturbances(), SERVICES), "/read/1"
        for number in range(80):
            sent_at = 10.0 + number * 0.05
            checker.record_probe_call(0, f"q{number}", path, sent_at)
            checker.record_run(
                "i-1-0", 1, f"q{number}", f"GET {path} HTTP/1.1", b"", "desk", sent_at, "limited"
            )
        assert set(list_violated_invariants(checker)) == {Invariant.RATE_LIMITED}
        assert len(checker.violations) == 80 - int(MAX_CUSTOMER_CALLS)


class TestShortRun:
    def test_a_customer_beyond_its_limit_is_bounded_under_faults(self, tmp_path: Path) -> None:
        outcome = run_soak(draw_plan(9001, 4, 12, with_limited_customer=True), tmp_path)
        assert not outcome.violations, outcome
        assert outcome.counts["status 429"] > 100
        assert outcome.counts["of the limited customer"] > 30

    @pytest.mark.parametrize("seed", SEEDS)
    def test_real_daemons_violate_no_invariant(self, seed: int, tmp_path: Path) -> None:
        outcome = run_soak(draw_plan(seed, 3, 8), tmp_path)
        assert not outcome.violations, outcome
        assert outcome.counts["status 200"] > 100

    @pytest.mark.parametrize("seed", NEWER_SEEDS)
    def test_real_daemons_violate_no_invariant_under_the_newer_faults(
        self, seed: int, tmp_path: Path
    ) -> None:
        plan = draw_plan(seed, 4, 14, with_newer_faults=True)
        outcome = run_soak(plan, tmp_path)
        assert not outcome.violations, outcome
        assert outcome.counts["status 200"] > 100
        assert outcome.counts["nested 200"] > 10

    def test_crashing_requests_are_bounded_while_reports_of_them_are_lost(
        self, tmp_path: Path
    ) -> None:
        plan = draw_plan(CRASHING_SEED, 4, 16, only_crashing_faults=True)
        outcome = run_soak(plan, tmp_path)
        assert not outcome.violations, outcome
        logs = b"".join(path.read_bytes() for path in tmp_path.glob("side-*.log"))
        assert b"crash-request-refused" in logs, "the plan sends crashing requests"

    def test_restarts_beside_late_heartbeats_and_odd_entries_violate_no_invariant(
        self, tmp_path: Path
    ) -> None:
        plan = draw_plan(RESTARTS_SEED, 4, 14, only_restart_faults=True)
        outcome = run_soak(plan, tmp_path)
        assert not outcome.violations, outcome.violations

    def test_misbehaving_clients_and_servers_violate_no_invariant(self, tmp_path: Path) -> None:
        plan = draw_plan(MISBEHAVING_SEED, 3, 8, only_crowds=True)
        assert {step.fault for step in plan.steps} >= set(MISBEHAVIOUR)
        outcome = run_soak(plan, tmp_path)
        assert not outcome.violations, outcome.violations

    def test_servers_that_all_respond_without_end_are_bounded(self, tmp_path: Path) -> None:
        steps = tuple(
            Step(3.0 + kind, Fault.ENDLESS_RESPONSES, (0,), 0.9, float(kind))
            for kind in range(len(NO_RESPONSES))
        )
        plan = Plan(1, 4, 3.0 + len(NO_RESPONSES), steps, has_crowds=True)
        outcome = run_soak(plan, tmp_path)
        assert not outcome.violations, outcome.violations
        assert outcome.counts["status 502"] > 100
        assert outcome.counts["status 200"] > 100

    def test_versions_are_in_time_while_all_polls_end_late_or_without_them(
        self, tmp_path: Path
    ) -> None:
        plan = draw_plan(LATE_POLLS_SEED, 4, 10, only_late_polls=True)
        outcome = run_soak(plan, tmp_path)
        assert not outcome.violations, outcome.violations
        logs = b"".join(path.read_bytes() for path in tmp_path.glob("side-*.log"))
        assert b"change-missed" in logs, "the plan writes versions that polls miss"

    def test_a_crashing_request_is_bounded_while_all_daemons_end_again_and_again(
        self, tmp_path: Path
    ) -> None:
        outcome = run_soak(draw_plan(KILLS_OF_ALL_SEED, 4, 40, only_kills_of_all=True), tmp_path)
        assert not outcome.violations, outcome
        assert outcome.counts["status 200"] > 100

    def test_slow_uploads_are_answered_during_planned_stops(self, tmp_path: Path) -> None:
        outcome = run_soak(draw_plan(STOPS_SEED, 3, 10, only_stops=True), tmp_path)
        assert not outcome.violations, outcome
        assert outcome.counts["status 200"] > 100

    def test_extra_requests_violate_no_invariant_under_faults(self, tmp_path: Path) -> None:
        plan = draw_plan(EXTRA_REQUESTS_SEED, 4, 14, True, extra_request_share=0.2)
        outcome = run_soak(plan, tmp_path)
        assert not outcome.violations, outcome
        logs = b"".join(path.read_bytes() for path in tmp_path.glob("side-*.log"))
        assert b"relay.extra-request" in logs, "the plan brings about a slow call"
