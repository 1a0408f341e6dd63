import random

import pytest

from godwitpass.ids import Address, RegionId
from godwitpass.internal.claims import events, table
from godwitpass.internal.claims.keys import ClaimKey
from godwitpass.internal.claims.node import ClockChanged
from godwitpass_testkit.experiments.claims_conditions import Conditions
from godwitpass_testkit.experiments.claims_simulation import WALL_OFFSET_S, ClaimsSimulation
from godwitpass_testkit.store import Faults

ADDRESSES = tuple(Address(f"10.0.{zone}.{host}:7000") for zone in range(3) for host in range(2))
EVENTS_PER_SIMULATION = 60


def choose_conditions(rng: random.Random) -> Conditions:
    return Conditions(
        peer_jitter_s=rng.choice((0.001, 0.05, 1.0)),
        message_loss_rate=rng.choice((0.0, 0.2)),
        message_duplication_rate=rng.choice((0.0, 0.3)),
        store_delay_s=rng.choice((0.003, 0.1, 0.8)),
        lost_request_rate=rng.choice((0.0, 0.2)),
        late_request_rate=rng.choice((0.0, 0.3)),
        lost_answer_rate=rng.choice((0.0, 0.4)),
    )


def simulate_failures(seed: int) -> ClaimsSimulation:
    """Simulate callers that send keys repeatedly to any daemon while daemons and the store fail."""
    rng = random.Random(seed)
    regions = {address: RegionId(address[:6]) for address in ADDRESSES if seed % 2}
    simulation = ClaimsSimulation(seed, ADDRESSES, writes_per_s=50.0, regions=regions)
    keys: list[ClaimKey] = [simulation.make_key(bytes([number])) for number in range(12)]
    for _ in range(EVENTS_PER_SIMULATION):
        address = rng.choice(ADDRESSES)
        match rng.randrange(10):
            case 0:
                simulation.conditions = choose_conditions(rng)
            case 1:
                simulation.restart(address)
            case 2:
                simulation.pause(address, rng.choice((0.05, 1.0, 10.0)))
            case 3:
                simulation.set_members(address, rng.sample(ADDRESSES, rng.randrange(1, 6)))
            case 4:
                simulation.store.faults = Faults(down=rng.random() < 0.3)
            case 5 if rng.random() < 0.3:
                skew_s = rng.choice((-4000.0, -20.0, 0.0, 20.0, 4000.0, 1e6))
                simulation.deliver(address, ClockChanged(WALL_OFFSET_S + skew_s))
            case _:
                simulation.send(rng.choice(keys), address, rng.choice((0.3, 1.0, 5.0)))
        simulation.run(simulation.now + rng.choice((0.0, 0.001, 0.02, 0.5)))
    simulation.store.faults = Faults()
    simulation.run(simulation.now + 30)
    return simulation


class TestFailureSimulation:
    @pytest.mark.parametrize("seed_block", range(8))
    def test_a_key_never_runs_twice(self, seed_block: int) -> None:
        for seed in range(seed_block * 25, (seed_block + 1) * 25):
            assert max(simulate_failures(seed).runs.values(), default=0) <= 1, f"seed {seed}"

    def test_a_key_never_runs_twice_with_sealed_claims(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(table, "MAX_HEAD_CLAIMS", 3)
        monkeypatch.setattr(table, "HEAD_CLAIMS_AFTER_SEAL", 1)
        monkeypatch.setattr(table, "MAX_SEGMENT_ROWS", 5)
        sealed_count = 0
        for seed in range(1000, 1100):
            simulation = simulate_failures(seed)
            assert max(simulation.runs.values(), default=0) <= 1, f"seed {seed}"
            sealed_count += len(simulation.store.list("claims/00/", simulation.now).entries) > 0
        assert sealed_count > 25

    def test_the_simulations_reach_the_intended_failures(self) -> None:
        simulations = [simulate_failures(seed) for seed in range(25)]
        event_counts = sum(
            (simulation.event_counts for simulation in simulations),
            simulations[0].event_counts.__class__(),
        )
        assert event_counts[events.SHARD_CONFLICT] > 10
        assert event_counts[events.SHARD_UNSETTLED] > 10
        assert event_counts[events.STORE_UNAVAILABLE] > 10
        assert sum(sum(simulation.runs.values()) for simulation in simulations) > 50

    def test_every_attempt_at_a_running_daemon_is_answered(self) -> None:
        simulation = ClaimsSimulation(1, ADDRESSES)
        simulation.conditions = Conditions(message_loss_rate=0.5, lost_request_rate=0.3)
        for number in range(50):
            simulation.send(simulation.make_key(bytes([number])), ADDRESSES[number % 6])
        simulation.run(5)
        assert all(request.outcome is not None for request in simulation.requests.values())
