"""Selection of an upstream by the loads that daemons report and by the results of calls."""

import random
from collections.abc import Iterable, Sequence, Set

import msgspec

from godwitpass.events import FieldValue
from godwitpass.ids import InstanceId, RouteName, ServiceName, ZoneId
from godwitpass.internal.relay.canary_share import CanaryShares
from godwitpass.internal.relay.frames import Load
from godwitpass.internal.relay.moving_averages import RouteAverages
from godwitpass.internal.retrying.extra_requests import Room
from godwitpass.mesh import Upstream, UpstreamState

CROSS_ZONE_PENALTY_S = 0.012
"""Additional expected wait that a call accepts before it leaves its availability zone."""

CROSS_ZONE_PENALTY_S_PER_BYTE = 4e-6
"""The same per byte of request and response, because traffic between zones is billed."""

LARGE_RESPONSE_BYTES = 16 * 1024
"""Larger responses are expected to wait for the link of their upstream."""

RESPONSE_BYTES_WEIGHT = 0.05
DEFAULT_RESPONSE_BYTES = 2_000
"""Estimated size of a response on a route that has had none yet."""

COMFORTABLE_SHARE = 0.5
"""Share of the time until a call's objective within which a faster response gains little."""

COMFORTABLE_TIME_WEIGHT = 0.25
"""Weight of the expected time within that share; a faster response is worth little to the caller.

Without it, calls leave their availability zone for faster upstreams although the own ones meet the
objective.
"""

LOCAL_BONUS_S = 0.01
"""Score advantage of the upstream beside this daemon."""

FAILURE_PENALTY_S = 1.0
"""Time that a failed call costs its caller; the weight of the failure rate in a score."""

FAILURE_RATE_WEIGHT = 0.15
FAILURE_HALF_LIFE_S = 2.0
SLOWNESS_MEMORY_S = 30.0
SLOWNESS_HALF_LIFE_S = 10.0
"""Without calls for `SLOWNESS_MEMORY_S`, the excess of a slowness over 1 halves in this time.

Otherwise an upstream that was slow once would get no calls while the others have free slots, and
never be measured again.
"""

SLOWNESS_WEIGHT = 0.1
SERVICE_TIME_WEIGHT = 0.05
"""The weights are those of the newest call in a moving average."""

MEAN_LOAD_WEIGHT = 0.05
"""Weight of the newest report in the mean load of a service's upstreams.

An upstream of which nothing was heard for some time is expected to be as loaded as the others.
Taken for idle instead, it got calls that had to wait while others had free slots.
"""

DEFAULT_SERVICE_TIME_S = 0.1
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
"""Bounds of the backoff after an unreachable daemon, which doubles with each failure."""

MIN_BACKOFF_JITTER, MAX_BACKOFF_JITTER = 0.75, 1.25
MIN_SLOWNESS, MAX_SLOWNESS = 0.2, 8.0
MIN_SERVICE_TIME_S = 0.001
MIN_LOAD_HALF_LIFE_S = 0.01
ROOM_REPORT_AGE_S = 2.0
"""Age up to which a reported load tells whether its service has room for extra requests.

A daemon that sends five calls a second to a service hears from ten of its upstreams in this time.
"""

UTILIZATION_PENALTY_SHARE = 0.3
"""Share of the service time that is added to the score of an upstream with all slots in use."""

SCORE_JITTER_SHARE = 0.1
"""Upper bound of the random addition to a score, as a share of the service time."""


class UpstreamStats(msgspec.Struct):
    """What this daemon knows of an upstream.

    `own_in_flight` counts the calls in progress that this daemon forwarded. `calls_since_load` and
    `bytes_since_load` count what it forwarded since it received `load`, and
    `response_bytes_since_load` the expected bytes of the large responses to it. `slowness` is the
    service time relative to the average of the same route at all upstreams.
    """

    upstream: Upstream
    own_in_flight: int = 0
    load: Load | None = None
    load_received_at: float = 0.0
    calls_since_load: int = 0
    bytes_since_load: int = 0
    response_bytes_since_load: float = 0.0
    slowness: float = 1.0
    slowness_at: float = 0.0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    backoff_until: float = 0.0
    backoff_s: float = 0.0

    def estimate_failure_rate(self, now: float) -> float:
        """Return the recent share of failed calls, decayed since the last call."""
        age_s = now - self.failure_rate_at
        return float(self.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S))

    def estimate_slowness(self, now: float) -> float:
        """Return the slowness, whose excess over 1 decays if it was last measured long ago."""
        age_s = now - self.slowness_at - SLOWNESS_MEMORY_S
        if age_s <= 0.0 or self.slowness <= 1.0:
            return self.slowness
        return float(1.0 + (self.slowness - 1.0) * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S))

    def record_slowness(self, ratio: float, now: float) -> None:
        """Update the slowness with a service time that is `ratio` times the average."""
        slowness = self.estimate_slowness(now)
        self.slowness = slowness + SLOWNESS_WEIGHT * (ratio - slowness)
        self.slowness_at = now


class UpstreamSelector:
    """Keeps `UpstreamStats` for each known upstream and selects among them."""

    def __init__(self, own_instance: InstanceId, zone: ZoneId, rng: random.Random) -> None:
        self._own_instance = own_instance
        self._zone = zone
        self._rng = rng
        self._stats: dict[InstanceId, UpstreamStats] = {}
        self._ready_by_service: dict[ServiceName, list[UpstreamStats]] = {}
        self._canaries_by_service: dict[ServiceName, list[UpstreamStats]] = {}
        self._canary_shares = CanaryShares(rng)
        self._service_time_s = RouteAverages(SERVICE_TIME_WEIGHT)
        self._response_bytes = RouteAverages(RESPONSE_BYTES_WEIGHT)
        self._mean_load_per_slot: dict[ServiceName, float] = {}

    def update(self, service: ServiceName, upstreams: Iterable[Upstream]) -> None:
        """Set the upstreams of `service`; statistics of known upstreams are kept."""
        ready_stats: list[UpstreamStats] = []
        canaries: list[UpstreamStats] = []
        for upstream in upstreams:
            stats = self._stats.get(upstream.instance)
            if stats is None or stats.upstream.service != upstream.service:
                stats = UpstreamStats(upstream)
                self._stats[upstream.instance] = stats
            stats.upstream = upstream
            if upstream.state is UpstreamState.READY:
                (canaries if upstream.canary_share else ready_stats).append(stats)
        self._ready_by_service[service] = ready_stats
        self._canaries_by_service[service] = canaries

    def keep_only(self, instances: set[InstanceId]) -> None:
        """Remove the statistics of all other upstreams."""
        for instance in [
            known_instance for known_instance in self._stats if known_instance not in instances
        ]:
            del self._stats[instance]

    def select(
        self,
        service: ServiceName,
        route: RouteName,
        now: float,
        body_bytes: int = 0,
        excluded: Set[InstanceId] = frozenset(),
        objective_s: float = 0.0,
        is_repeated: bool = False,
    ) -> Upstream | None:
        """Return the upstream with the lowest score, which is its expected time to a response.

        `objective_s` is the time until the call's latency objective, 0 if any delay matters. If all
        upstreams outside `excluded` are in backoff, they are tried nevertheless. Canaries get their
        share of the calls, and none that `is_repeated`. Returns None if there are no upstreams.
        """
        ready: Sequence[UpstreamStats] = [
            stats
            for stats in self._ready_by_service.get(service, ())
            if stats.upstream.instance not in excluded
        ]
        canaries = [
            (stats, stats.upstream)
            for stats in self._canaries_by_service.get(service, ())
            if stats.upstream.instance not in excluded
        ]
        if canaries:
            ready = self._canary_shares.choose_group(service, ready, canaries, is_repeated)
        reachable = [stats for stats in ready if stats.backoff_until <= now] or ready
        if not reachable:
            return None
        service_time_s = self._service_time_s.get(route, DEFAULT_SERVICE_TIME_S)
        response_bytes = self.estimate_response_bytes(route)
        transferred_bytes = body_bytes + response_bytes
        cross_zone_penalty_s = (
            CROSS_ZONE_PENALTY_S + CROSS_ZONE_PENALTY_S_PER_BYTE * transferred_bytes
        )

        comfortable_s = COMFORTABLE_SHARE * max(0.0, objective_s)

        def score(stats: UpstreamStats) -> float:
            expected_s = self._estimate_response_time_s(
                stats, service_time_s, body_bytes, response_bytes, now
            )
            weighted_s = (
                max(0.0, expected_s - comfortable_s)
                + min(expected_s, comfortable_s) * COMFORTABLE_TIME_WEIGHT
            )
            return weighted_s + self._compute_penalty_s(stats, cross_zone_penalty_s, now)

        best = min(reachable, key=score)
        return best.upstream

    def estimate_response_bytes(self, route: RouteName) -> float:
        """Estimate the size of the response to a call on `route`."""
        return self._response_bytes.get(route, DEFAULT_RESPONSE_BYTES)

    def count_ready(self, service: ServiceName) -> int:
        """Return the number of ready upstreams of `service`."""
        canaries = self._canaries_by_service.get(service, ())
        return len(self._ready_by_service.get(service, ())) + len(canaries)

    def describe(self, instance: InstanceId, now: float) -> dict[str, FieldValue]:
        """Return log fields about an upstream."""
        stats = self._stats.get(instance)
        if stats is None:
            return {"known": False}
        fields: dict[str, FieldValue] = {
            "own": stats.own_in_flight,
            "slowness": round(stats.estimate_slowness(now), 2),
            "failures": round(stats.estimate_failure_rate(now), 2),
        }
        if stats.load is not None:
            fields["running"] = stats.load.running
            fields["waiting"] = stats.load.waiting
            fields["load_age_ms"] = int((now - stats.load_received_at) * 1000)
        return fields

    def describe_room(
        self, service: ServiceName, slow: InstanceId, target: InstanceId, now: float
    ) -> Room:
        """Return the recently reported load of the upstreams of `service` other than `slow`.

        `target` is the upstream that an extra request would be sent to. If it has not reported
        lately, it is assumed to have a slot: a daemon that sends three calls a second to 67
        upstreams hears from few of them in time, and those tell whether the service is short.
        """
        slots = busy = waiting = 0
        has_target_slot = False
        for stats in self._ready_by_service.get(service, ()):
            instance, load = stats.upstream.instance, stats.load
            if instance == slow:
                continue
            if load is None or now - stats.load_received_at > ROOM_REPORT_AGE_S:
                if instance == target and stats.backoff_until <= now:
                    has_target_slot = stats.own_in_flight < stats.upstream.slots
                continue
            own_busy = load.running + stats.calls_since_load
            slots += load.slots
            busy += own_busy
            waiting += load.waiting
            if instance == target:
                has_target_slot = own_busy < load.slots and stats.backoff_until <= now
        return Room(slots, busy, waiting, has_target_slot)

    def estimate_slowness(self, instance: InstanceId, now: float) -> float:
        """Return the service time of an upstream relative to the average of the same routes."""
        stats = self._stats.get(instance)
        return stats.estimate_slowness(now) if stats is not None else 1.0

    def record_sent(
        self, instance: InstanceId, body_bytes: int = 0, response_bytes: float = 0.0
    ) -> None:
        """Count a call forwarded to the daemon of `instance`, with its expected response."""
        stats = self._stats.get(instance)
        if stats is not None:
            stats.own_in_flight += 1
            stats.calls_since_load += 1
            stats.bytes_since_load += body_bytes
            if response_bytes > LARGE_RESPONSE_BYTES:
                stats.response_bytes_since_load += response_bytes

    def record_done(self, instance: InstanceId) -> None:
        """Count the end of a call at `instance`, whatever its outcome."""
        stats = self._stats.get(instance)
        if stats is not None:
            stats.own_in_flight = max(0, stats.own_in_flight - 1)

    def record_load(self, instance: InstanceId, load: Load, now: float) -> None:
        """Store the load that the daemon of `instance` reports, and end its backoff."""
        stats = self._stats.get(instance)
        if stats is not None:
            stats.load = load
            stats.load_received_at = now
            self._record_mean_load(stats.upstream.service, load)
            stats.calls_since_load = 0
            stats.bytes_since_load = 0
            stats.response_bytes_since_load = 0.0
            stats.backoff_s = 0.0
            stats.backoff_until = 0.0

    def record_response(
        self,
        instance: InstanceId,
        route: RouteName,
        service_s: float,
        response_bytes: int,
        has_failed: bool,
        now: float,
    ) -> None:
        """Update service time, response size and failure rate from a response."""
        stats = self._stats.get(instance)
        service_time_s = max(self._service_time_s.get(route, service_s), MIN_SERVICE_TIME_S)
        if not has_failed:
            self._service_time_s.update(route, service_s)
            self._response_bytes.update(route, response_bytes)
        if stats is None:
            return
        if not has_failed:
            ratio = min(max(service_s / service_time_s, MIN_SLOWNESS), MAX_SLOWNESS)
            stats.record_slowness(ratio, now)
        self._record_outcome(stats, has_failed, now)

    def record_slow(
        self, instance: InstanceId, route: RouteName, elapsed_s: float, now: float
    ) -> None:
        """Raise the slowness of an upstream whose response was not awaited after `elapsed_s`.

        The response would have taken longer. Otherwise an upstream whose slow calls are all
        cancelled would never look slow.
        """
        stats = self._stats.get(instance)
        usual_s = max(self._service_time_s.get(route, elapsed_s), MIN_SERVICE_TIME_S)
        if stats is not None:
            ratio = min(elapsed_s / usual_s, MAX_SLOWNESS)
            if ratio > stats.estimate_slowness(now):
                stats.record_slowness(ratio, now)

    def record_failure(self, instance: InstanceId, now: float) -> None:
        """Count a failed call at `instance`."""
        stats = self._stats.get(instance)
        if stats is not None:
            self._record_outcome(stats, True, now)

    def record_unreachable(self, instance: InstanceId, now: float) -> None:
        """Back off from the daemon of `instance`, with jitter."""
        stats = self._stats.get(instance)
        if stats is None or stats.backoff_until > now:
            return
        stats.backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * stats.backoff_s))
        stats.backoff_until = now + stats.backoff_s * self._rng.uniform(
            MIN_BACKOFF_JITTER, MAX_BACKOFF_JITTER
        )

    def _record_mean_load(self, service: ServiceName, load: Load) -> None:
        load_per_slot = (load.running + load.waiting) / max(1, load.slots)
        current = self._mean_load_per_slot.get(service, load_per_slot)
        self._mean_load_per_slot[service] = current + MEAN_LOAD_WEIGHT * (load_per_slot - current)

    def _record_outcome(self, stats: UpstreamStats, has_failed: bool, now: float) -> None:
        previous = stats.estimate_failure_rate(now)
        stats.failure_rate = previous + FAILURE_RATE_WEIGHT * (
            (1.0 if has_failed else 0.0) - previous
        )
        stats.failure_rate_at = now

    def _estimate_response_time_s(
        self,
        stats: UpstreamStats,
        service_time_s: float,
        body_bytes: int,
        response_bytes: float,
        now: float,
    ) -> float:
        """Estimate the seconds until a response, of a call on a route with `service_time_s`."""
        slots = max(1, stats.upstream.slots)
        expected_service_time_s = service_time_s * stats.estimate_slowness(now)
        wait_s = self._estimate_wait_s(stats, slots, expected_service_time_s, now)
        transfer_s = self._estimate_transfer_time_s(stats, body_bytes, now)
        # Jitter keeps daemons that see the same loads from choosing the same upstream.
        jitter_s = self._rng.random() * SCORE_JITTER_SHARE * service_time_s
        response_delay_s = self._estimate_response_delay_s(
            stats, response_bytes, wait_s + expected_service_time_s, now
        )
        return wait_s + expected_service_time_s + transfer_s + response_delay_s + jitter_s

    def _compute_penalty_s(
        self, stats: UpstreamStats, cross_zone_penalty_s: float, now: float
    ) -> float:
        """Return the time that failures and traffic between zones are worth."""
        penalty_s = FAILURE_PENALTY_S * stats.estimate_failure_rate(now)
        if stats.upstream.zone != self._zone:
            penalty_s += cross_zone_penalty_s
        elif stats.upstream.instance == self._own_instance:
            penalty_s -= LOCAL_BONUS_S
        return penalty_s

    def _estimate_transfer_time_s(self, stats: UpstreamStats, body_bytes: int, now: float) -> float:
        """Estimate the seconds until a body of this size has reached the upstream's daemon."""
        load = stats.load
        if load is None or not body_bytes or stats.upstream.instance == self._own_instance:
            return 0.0
        backlog_s = max(0.0, load.inbound_backlog_ms / 1000 - (now - stats.load_received_at))
        return backlog_s + (stats.bytes_since_load + body_bytes) / (
            1000 * load.inbound_bytes_per_ms
        )

    def _estimate_response_delay_s(
        self, stats: UpstreamStats, response_bytes: float, ready_in_s: float, now: float
    ) -> float:
        """Estimate by how many seconds the upstream's link delays a large response."""
        load = stats.load
        is_local = stats.upstream.instance == self._own_instance
        if load is None or is_local or response_bytes <= LARGE_RESPONSE_BYTES:
            return 0.0
        bytes_per_s = 1000 * load.outbound_bytes_per_ms
        if not bytes_per_s:
            return 0.0
        backlog_s = max(0.0, load.outbound_backlog_ms / 1000 - (now - stats.load_received_at))
        backlog_s += stats.response_bytes_since_load / bytes_per_s
        return max(0.0, backlog_s - ready_in_s) + response_bytes / bytes_per_s

    def _estimate_wait_s(
        self, stats: UpstreamStats, slots: int, service_time_s: float, now: float
    ) -> float:
        load = stats.load
        if load is None:
            # One that no response has come from yet may be new, and gets work.
            busy_slots = float(stats.own_in_flight)
        else:
            # Calls of the reported load have ended since, and others have come from other daemons.
            mean_load = slots * self._mean_load_per_slot.get(stats.upstream.service, 0.0)
            known_share = 0.5 ** (
                (now - stats.load_received_at) / max(service_time_s, MIN_LOAD_HALF_LIFE_S)
            )
            expected_load = mean_load + known_share * (load.running + load.waiting - mean_load)
            busy_slots = max(expected_load + stats.calls_since_load, float(stats.own_in_flight))
        excess = busy_slots + 1 - slots
        queueing_s = excess * service_time_s / slots if excess > 0 else 0.0
        queueing_s = max(queueing_s, _estimate_rate_delay_s(stats, now))
        # A nearly full upstream is slower and may be full when the call arrives.
        return queueing_s + UTILIZATION_PENALTY_SHARE * service_time_s * (busy_slots / slots) ** 2


def _estimate_rate_delay_s(stats: UpstreamStats, now: float) -> float:
    """Estimate the seconds until the limit that an upstream named lets a new call start."""
    load = stats.load
    if load is None or not load.rate_per_s:
        return 0.0
    delay_s = load.rate_delay_ms / 1000 + stats.calls_since_load / load.rate_per_s
    return max(0.0, delay_s - (now - stats.load_received_at))
