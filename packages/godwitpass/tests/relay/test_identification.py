"""Tests of the identification of the upstream after a start of the daemon."""

import itertools
import random

from godwitpass.ids import Address, InstanceId, ServiceName
from godwitpass.internal.relay.identification import HealthCheck, Identification
from godwitpass.internal.relay.registration import Heartbeat

FORMER, NEXT = InstanceId("i-1"), InstanceId("i-2")


def build_heartbeat(
    upstream: InstanceId = FORMER,
    sequence: int = 1,
    started_ms: int = 1_000,
    service: str = "desk",
    is_draining: bool = False,
) -> Heartbeat:
    return Heartbeat(
        upstream,
        ServiceName(service),
        Address("10.0.0.1:80"),
        12,
        is_draining,
        sequence,
        started_ms,
    )


def check(upstream: str = FORMER, is_healthy: bool = True, sent_at: float = 0.0) -> HealthCheck:
    return HealthCheck(InstanceId(upstream), is_healthy, sent_at)


class TestIdentification:
    def test_a_heartbeat_is_confirmed_by_an_earlier_or_a_later_health_check(self) -> None:
        earlier, later = Identification(), Identification()
        assert earlier.record_check(check()) is None
        assert earlier.receive(build_heartbeat(), has_health_check=True)
        assert not later.receive(build_heartbeat(), has_health_check=True)
        assert later.needs_check
        assert later.record_check(check()) == build_heartbeat()

    def test_heartbeats_don_t_confirm_an_upstream_that_reports_to_be_unhealthy(self) -> None:
        # Guards against late heartbeats of an upstream whose leaving an earlier process of this
        # daemon has acknowledged.
        identification = Identification()
        for sequence in range(1, 5):
            assert not identification.receive(build_heartbeat(sequence=sequence), True)
            assert identification.record_check(check(is_healthy=False)) is None
            assert identification.needs_check

    def test_heartbeats_don_t_confirm_an_upstream_whose_health_check_is_not_answered(self) -> None:
        # Guards against late heartbeats while the health check waits for a slot.
        identification = Identification()
        for sequence in range(1, 5):
            assert not identification.receive(build_heartbeat(sequence=sequence), True)
            assert identification.record_check(check("")) is None
            assert identification.needs_check

    def test_a_late_heartbeat_does_not_name_the_service_of_the_next_upstream(self) -> None:
        # Guards against requests that the upstream of another service at the address runs.
        identification = Identification()
        assert not identification.receive(build_heartbeat(FORMER, 40), True)
        assert identification.record_check(check(NEXT)) is None
        heartbeat = build_heartbeat(NEXT, 1, 9_000, "vault")
        assert identification.receive(heartbeat, True)

    def test_a_draining_heartbeat_is_confirmed_like_others(self) -> None:
        identification = Identification()
        assert not identification.receive(build_heartbeat(is_draining=True), True)
        assert not identification.receive(build_heartbeat(sequence=0), True)
        assert identification.record_check(check()) == build_heartbeat(is_draining=True)

    def test_a_check_that_was_sent_before_the_upstream_left_does_not_count(self) -> None:
        identification = Identification()
        identification.withdraw(FORMER, 1.0)
        assert not identification.receive(build_heartbeat(sequence=5), True)
        assert identification.record_check(check(sent_at=0.9)) is None
        assert identification.needs_check
        assert identification.record_check(check(is_healthy=False, sent_at=1.1)) is None

    def test_an_upstream_that_left_loses_its_confirmation(self) -> None:
        identification = Identification()
        identification.record_check(check())
        identification.withdraw(FORMER, 1.0)
        assert not identification.receive(build_heartbeat(), True)

    def test_without_a_health_check_the_second_heartbeat_counts(self) -> None:
        identification = Identification()
        assert not identification.receive(build_heartbeat(sequence=4), has_health_check=False)
        assert not identification.receive(build_heartbeat(sequence=4), has_health_check=False)
        assert identification.receive(build_heartbeat(sequence=5), has_health_check=False)

    def test_claims_of_many_other_writers_don_t_displace_the_upstream(self) -> None:
        identification = Identification()
        for number in range(100):
            identification.receive(build_heartbeat(InstanceId(f"other-{number}")), True)
        assert not identification.receive(build_heartbeat(), True)
        assert identification.record_check(check()) == build_heartbeat()


class TestOrders:
    """Plays all orders of a few events after a start of the daemon."""

    def test_no_order_uses_a_former_upstream_and_each_order_ends_with_the_next_one(self) -> None:
        # The former upstream has left before the start; the next one belongs to another service.
        late = [build_heartbeat(FORMER, sequence) for sequence in (7, 8)]
        next_heartbeats = [build_heartbeat(NEXT, n, 9_000, "vault") for n in (1, 2)]
        events: list[Heartbeat | HealthCheck] = [*late, *next_heartbeats, check(""), check(NEXT)]
        for order in itertools.permutations(events):
            identification = Identification()
            confirmed = [_apply(identification, event) for event in order]
            confirmed += [_apply(identification, build_heartbeat(NEXT, 3, 9_000, "vault"))]
            confirmed += [_apply(identification, check(NEXT))]
            services = [heartbeat.service for heartbeat in confirmed if heartbeat is not None]
            assert services and set(services) == {"vault"}

    def test_no_random_order_uses_an_upstream_that_is_leaving(self) -> None:
        rng = random.Random(41)
        for _ in range(2_000):
            identification = Identification()
            left_at: float | None = None
            for now in range(12):
                event = rng.choice(["heartbeat", "check", "slow check", "leave"])
                confirmed: Heartbeat | None = None
                if event == "leave":
                    left_at = now if left_at is None else left_at
                    identification.withdraw(FORMER, now)
                elif event == "heartbeat":
                    confirmed = _apply(identification, build_heartbeat(FORMER, rng.randrange(9)))
                elif event == "check":
                    confirmed = _apply(identification, check(FORMER, left_at is None, now))
                else:
                    sent_at = now - 0.5 if left_at is None else left_at - 0.5
                    confirmed = _apply(identification, check(FORMER, True, sent_at))
                assert left_at is None or confirmed is None


def _apply(identification: Identification, event: Heartbeat | HealthCheck) -> Heartbeat | None:
    """Apply an event; return the heartbeat that is confirmed by it."""
    if isinstance(event, HealthCheck):
        return identification.record_check(event)
    return event if identification.receive(event, has_health_check=True) else None
