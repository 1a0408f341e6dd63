import heapq
import random

import msgspec
import pytest

from godwitpass.internal.relay.flow_control import MIN_WINDOW_BYTES
from godwitpass.internal.relay.outbound_flow_control import (
    STALLED_AFTER_S,
    OutboundFlowControl,
    Permit,
)

CHUNK_BYTES = 16 * 1024
NARROW_BYTES_PER_S = 1_200_000.0


def count_bytes(permits: list[Permit]) -> int:
    return sum(permit.size_bytes for permit in permits)


class TestWindow:
    def test_the_bytes_on_their_way_do_not_exceed_the_window_by_more_than_a_chunk(self) -> None:
        control = OutboundFlowControl(NARROW_BYTES_PER_S, CHUNK_BYTES)
        permits = [permit for call_id in range(9) for permit in control.open(call_id, 90_000, 0.0)]
        window_bytes = max(MIN_WINDOW_BYTES, int(NARROW_BYTES_PER_S * 0.05))
        assert window_bytes <= count_bytes(permits) < window_bytes + CHUNK_BYTES

    def test_every_byte_is_permitted_exactly_once_in_the_order_of_the_responses(self) -> None:
        control = OutboundFlowControl(NARROW_BYTES_PER_S, CHUNK_BYTES)
        sizes = {1: 90_000, 2: 1, 3: 540_000, 4: 16_384}
        on_their_way: list[Permit] = []
        for call_id, size_bytes in sizes.items():
            on_their_way += control.open(call_id, size_bytes, 0.0)
        permitted = dict.fromkeys(sizes, 0)
        order: list[int] = []
        while on_their_way:
            permit = on_their_way.pop(0)
            permitted[permit.call_id] += permit.size_bytes
            order.append(permit.call_id)
            on_their_way += control.record_received(permit.call_id, permit.size_bytes, 0.1)
        assert permitted == sizes
        assert order == sorted(order)

    def test_a_response_that_is_dropped_releases_its_part_of_the_window(self) -> None:
        control = OutboundFlowControl(NARROW_BYTES_PER_S, CHUNK_BYTES)
        control.open(1, 900_000, 0.0)
        assert control.open(2, 900_000, 0.0) == []
        assert count_bytes(control.close(1, 0.1)) >= MIN_WINDOW_BYTES

    def test_a_silent_receiver_does_not_block_the_others(self) -> None:
        control = OutboundFlowControl(NARROW_BYTES_PER_S, CHUNK_BYTES)
        control.open(1, 900_000, 0.0)
        control.open(2, 900_000, 0.0)
        assert control.skip_stalled(STALLED_AFTER_S) == []
        permits = control.skip_stalled(STALLED_AFTER_S + 0.1)
        assert {permit.call_id for permit in permits} == {2}
        # A receiver that continues takes its part of the window again.
        assert control.record_received(1, CHUNK_BYTES, 2.0) == []


class TestRandomHistories:
    """Receivers that confirm late, fall silent, come back, or are dropped at any moment."""

    @pytest.mark.parametrize("seed", range(20))
    def test_the_window_is_kept_and_every_byte_is_permitted_once(self, seed: int) -> None:
        rng = random.Random(seed)
        control = OutboundFlowControl(NARROW_BYTES_PER_S, CHUNK_BYTES)
        window_bytes = max(MIN_WINDOW_BYTES, int(NARROW_BYTES_PER_S * 0.05))
        sizes: dict[int, int] = {}
        permitted: dict[int, int] = {}
        unconfirmed: dict[int, list[int]] = {}
        silent_since: dict[int, float] = {}
        now = 0.0

        def handle(permits: list[Permit]) -> None:
            for permit in permits:
                permitted[permit.call_id] += permit.size_bytes
                unconfirmed[permit.call_id].append(permit.size_bytes)
                assert permitted[permit.call_id] <= sizes[permit.call_id]

        for call_id in range(400):
            now += rng.expovariate(20.0)
            sizes[call_id] = rng.choice((1, 20_000, 90_000, 300_000))
            permitted[call_id], unconfirmed[call_id] = 0, []
            handle(control.open(call_id, sizes[call_id], now))
            for open_id in list(unconfirmed):
                if rng.random() < 0.02:
                    silent_since.setdefault(open_id, now)
                if rng.random() < 0.02:
                    del unconfirmed[open_id]
                    handle(control.close(open_id, now))
                elif unconfirmed[open_id] and open_id not in silent_since:
                    handle(control.record_received(open_id, unconfirmed[open_id].pop(0), now))
                    if permitted[open_id] == sizes[open_id] and not unconfirmed[open_id]:
                        del unconfirmed[open_id]
                        handle(control.close(open_id, now))
            handle(control.skip_stalled(now))
            on_their_way = sum(
                sum(pieces)
                for open_id, pieces in unconfirmed.items()
                if now - silent_since.get(open_id, now) <= STALLED_AFTER_S
            )
            # A receiver that has been silent for long may hold one more window.
            assert on_their_way <= 2 * window_bytes + CHUNK_BYTES
        for open_id in list(unconfirmed):
            control.close(open_id, now)
        assert control.backlog_s == 0.0
        assert count_bytes(control.open(1_000, 900_000, now)) >= window_bytes


class TestEstimates:
    def test_the_backlog_includes_the_responses_of_admitted_calls(self) -> None:
        control = OutboundFlowControl(1_000_000.0, CHUNK_BYTES)
        control.reserve(1, 250_000.0)
        assert control.backlog_s == pytest.approx(0.25)
        control.open(1, 500_000, 0.0)
        assert control.backlog_s == pytest.approx(0.5)
        control.close(1, 0.0)
        assert control.backlog_s == 0.0

    def test_the_link_is_drained_while_the_upstream_works(self) -> None:
        control = OutboundFlowControl(1_000_000.0, CHUNK_BYTES)
        control.reserve(1, 500_000.0)
        assert control.estimate_delay_s(100_000.0, 0.2) == pytest.approx(0.4)
        assert control.estimate_delay_s(100_000.0, 0.9) == pytest.approx(0.1)


class Outcome(msgspec.Struct):
    """Delays, in seconds, of what a simulated link delivered."""

    short_s: list[float]
    downloads_s: list[float]
    refused: int = 0


def simulate_link(seed: int, is_controlled: bool, load: float, duration_s: float = 20.0) -> Outcome:
    """Send downloads at `load` times the link's rate, and 100 short responses a second."""
    rng = random.Random(seed)
    control = OutboundFlowControl(NARROW_BYTES_PER_S, CHUNK_BYTES)
    outcome = Outcome([], [])
    service_time_s, objective_s, mean_bytes = 0.26, 1.0, 90_000.0
    # Each event is a time, a sequence number, a kind and its arguments.
    events: list[tuple[float, int, str, tuple[float, ...]]] = []
    sequence = 0
    link_free_at = 0.0
    remaining: dict[int, int] = {}
    arrived_at: dict[int, float] = {}

    def schedule(at: float, kind: str, *arguments: float) -> None:
        nonlocal sequence
        sequence += 1
        heapq.heappush(events, (at, sequence, kind, arguments))

    def put_on_link(at: float, size_bytes: int, kind: str, *arguments: float) -> None:
        nonlocal link_free_at
        link_free_at = max(at, link_free_at) + size_bytes / NARROW_BYTES_PER_S
        schedule(link_free_at, kind, *arguments)

    def send(at: float, permits: list[Permit]) -> None:
        for permit in permits:
            put_on_link(at, permit.size_bytes, "chunk", permit.call_id, permit.size_bytes)

    at = 0.0
    while at < duration_s:
        at += rng.expovariate(load * NARROW_BYTES_PER_S / mean_bytes)
        schedule(at, "call")
    for number in range(int(100 * duration_s)):
        schedule(number / 100, "short")
    while events:
        now, call_id, kind, arguments = heapq.heappop(events)
        if kind == "short":
            put_on_link(now, 1_000, "short-arrived", now)
        elif kind == "short-arrived":
            outcome.short_s.append(now - arguments[0])
        elif kind == "call":
            if is_controlled:
                delay_s = control.estimate_delay_s(mean_bytes, service_time_s)
                if delay_s + service_time_s > objective_s:
                    outcome.refused += 1
                    continue
                control.reserve(call_id, mean_bytes)
            arrived_at[call_id] = now
            schedule(now + service_time_s, "response", call_id)
        elif kind == "response":
            size_bytes = int(rng.uniform(0.5, 1.5) * mean_bytes)
            remaining[int(arguments[0])] = size_bytes
            if is_controlled:
                send(now, control.open(int(arguments[0]), size_bytes, now))
            else:
                send(now, [Permit(int(arguments[0]), size_bytes)])
        else:
            owner, size_bytes = int(arguments[0]), int(arguments[1])
            remaining[owner] -= size_bytes
            if is_controlled:
                send(now, control.record_received(owner, size_bytes, now))
            if not remaining[owner]:
                outcome.downloads_s.append(now - arrived_at[owner])
                if is_controlled:
                    send(now, control.close(owner, now))
    return outcome


def find_percentile(values: list[float], share: float) -> float:
    return sorted(values)[int(share * (len(values) - 1))]


class TestDownloadsOnANarrowLink:
    """Downloads at 115% of a link, which also carries the short responses of nested calls."""

    def test_short_responses_hardly_wait_and_most_downloads_meet_their_objective(self) -> None:
        for seed in range(3):
            outcome = simulate_link(seed, is_controlled=True, load=1.15)
            assert find_percentile(outcome.short_s, 0.99) < 0.15
            in_time = [delay_s for delay_s in outcome.downloads_s if delay_s <= 1.0]
            assert len(in_time) > 0.9 * len(outcome.downloads_s)
            assert len(outcome.downloads_s) * 90_000 > 0.8 * 20.0 * NARROW_BYTES_PER_S

    def test_without_control_both_are_late(self) -> None:
        outcome = simulate_link(0, is_controlled=False, load=1.15)
        assert find_percentile(outcome.short_s, 0.5) > 1.0
        assert find_percentile(outcome.downloads_s, 0.5) > 1.0

    def test_below_the_rate_of_the_link_almost_nothing_is_refused(self) -> None:
        outcome = simulate_link(1, is_controlled=True, load=0.7)
        assert outcome.refused <= 0.02 * len(outcome.downloads_s)
