"""Extra (hedged) requests: whether and when a slow call is sent to a second upstream."""

from collections.abc import Callable
from enum import Enum

import msgspec
from hdrh.histogram import HdrHistogram

from godwitpass.ids import RouteName, ServiceName

WINDOW_SAMPLES = 200
"""Number of latencies in a distribution; its quantiles are those of the last complete one."""

MIN_SAMPLES = 20
"""Number of latencies from which an incomplete distribution is used.

Its quantile may then be the largest value, which makes the delay too long rather than too short. A
daemon that sends three calls a second to a route has this many after 7 s.
"""

REFRESH_SAMPLES = 20
"""An incomplete distribution is evaluated again after this many latencies."""

MAX_ROUTES = 64
"""Upper bound of the tracked routes, at up to 41 kB each; calls on others get no extra request."""

UNIT_S = 0.0001
MAX_LATENCY_S = 3_600.0
SIGNIFICANT_DIGITS = 2

MIN_QUANTILE, MAX_QUANTILE = 0.9, 0.99
"""Bounds of the quantile of the latency after which a call is slow."""

MIN_DELAY_S = 0.005
"""Lower bound of the delay: below it, the loop's own delays look like a slow upstream."""

MAX_COMPARABLE_SLOWNESS = 2.0
"""A server that takes longer than this, relative to the average, is taken to have a fault.

Where speeds differ by a factor of 3, the slowest servers take about 1.5 times the average. A slow
server isn't compared with fast ones, or most extra requests would go to its calls.
"""

MAX_TOKENS = 5.0
"""Extra requests that may start at once after a quiet period."""

MAX_BUSY_SHARE = 0.6
"""Share of the other upstreams' slots in use from which no extra request is sent.

An extra request occupies a slot for one more run; beyond this load it delays first requests.
"""

MAX_WAITING_SHARE = 0.05
"""Waiting calls, as a share of the other upstreams' slots, from which a service is short of room.

With three slots a server, calls wait at one server or another also at half load.
"""

MAX_BODY_BYTES = 16 * 1024
"""Calls with larger bodies get no extra request, as the second upload delays others on the link."""

ASSUMED_NESTED_CALLS = 2.0
"""Nested calls that a run is assumed to make on a route whose runs this daemon doesn't see.

The deployments that this is built for make up to two.
"""

TOKEN_TOLERANCE = 1e-9


class Verdict(Enum):
    """Whether an extra request is sent, or what forbids it."""

    SEND = 0
    OFF = 1
    NOT_REPEATABLE = 2
    NO_ATTEMPT_LEFT = 3
    TOO_LARGE = 4
    NO_TIME = 5
    NO_ROOM = 6
    OVER_SHARE = 7
    OVER_BUDGET = 8


class CallFacts(msgspec.Struct, frozen=True):
    """What decides whether a call may get an extra request.

    `share` is the operator's limit; None leaves the retry budget as the only one. `attempts_left`
    counts the attempts that the route allows beyond those made or in flight.
    """

    share: float | None
    is_idempotent: bool
    attempts_left: int
    remaining_s: float
    body_bytes: int = 0


class Room(msgspec.Struct, frozen=True):
    """Recently reported load of the upstreams other than that of the slow attempt.

    `has_target_slot` tells whether the upstream selected for the extra request has a free slot.
    """

    slots: int
    busy: int
    waiting: int
    has_target_slot: bool

    @property
    def is_sufficient(self) -> bool:
        """Return whether an extra request delays no other call; not if no load was reported."""
        if not self.has_target_slot or not self.slots:
            return False
        if self.waiting > MAX_WAITING_SHARE * self.slots:
            return False
        return self.busy <= MAX_BUSY_SHARE * self.slots


def check_call(facts: CallFacts) -> Verdict:
    """Return `SEND` unless the call itself forbids an extra request."""
    if facts.share is not None and facts.share <= 0:
        return Verdict.OFF
    if not facts.is_idempotent:
        return Verdict.NOT_REPEATABLE
    if facts.attempts_left <= 0:
        return Verdict.NO_ATTEMPT_LEFT
    if facts.body_bytes > MAX_BODY_BYTES:
        return Verdict.TOO_LARGE
    return Verdict.SEND if facts.remaining_s > 0 else Verdict.NO_TIME


def choose_quantile(share: float) -> float:
    """Return the quantile of the latency that about the `share` of the calls exceeds.

    >>> choose_quantile(0.02)
    0.98
    """
    return min(MAX_QUANTILE, max(MIN_QUANTILE, 1.0 - share))


class LatencyDistribution:
    """Distribution of the latencies of one route, relative to the slowness of each upstream."""

    __slots__ = ("_evaluated", "_quantiles", "_recent")

    def __init__(self) -> None:
        self._recent = _create_histogram()
        self._evaluated: HdrHistogram | None = None
        self._quantiles: dict[float, float] = {}

    def record(self, latency_s: float) -> None:
        """Add a latency."""
        units = int(min(max(latency_s, UNIT_S), MAX_LATENCY_S) / UNIT_S)
        recent = self._recent
        recent.record_value(units)
        count = recent.get_total_count()
        if count >= WINDOW_SAMPLES:
            self._evaluated, self._recent = recent, _create_histogram()
            self._quantiles.clear()
        elif self._evaluated is None and count >= MIN_SAMPLES and count % REFRESH_SAMPLES == 0:
            self._quantiles.clear()

    def find_quantile_s(self, quantile: float) -> float | None:
        """Return the latency that `1 - quantile` of the calls exceed, None with too few."""
        found = self._quantiles.get(quantile)
        if found is not None:
            return found
        histogram = self._evaluated or self._recent
        if histogram.get_total_count() < MIN_SAMPLES:
            return None
        found = float(histogram.get_value_at_percentile(100.0 * quantile) * UNIT_S)
        self._quantiles[quantile] = found
        return found


class ShareBucket:
    """Token bucket that bounds extra requests to a share of the calls to one service."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = 0.0

    @property
    def has_token(self) -> bool:
        """Return whether an extra request is within the share."""
        return self._tokens >= 1.0 - TOKEN_TOLERANCE

    def deposit(self, share: float) -> None:
        """Credit the first attempt of a call."""
        self._tokens = min(MAX_TOKENS, self._tokens + share)

    def withdraw(self) -> None:
        """Spend a token for an extra request."""
        assert self.has_token, "check the share first"
        self._tokens -= 1.0


class ExtraRequests:
    """Decides about the extra requests of one daemon."""

    def __init__(self) -> None:
        self._latencies: dict[RouteName, LatencyDistribution] = {}
        self._buckets: dict[ServiceName, ShareBucket] = {}

    def count_call(self, service: ServiceName, share: float) -> None:
        """Count the first attempt of a call whose route allows `share`."""
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = ShareBucket()
        bucket.deposit(share)

    def record_latency(self, route: RouteName, latency_s: float, slowness: float) -> None:
        """Record the time until a response of an upstream, or until a slow attempt was cancelled.

        A cancelled attempt would have taken longer. Without it, the distribution would show no slow
        call that an extra request was faster than.
        """
        distribution = self._latencies.get(route)
        if distribution is None:
            if len(self._latencies) >= MAX_ROUTES:
                return
            distribution = self._latencies[route] = LatencyDistribution()
        distribution.record(latency_s / _limit_slowness(slowness))

    def keep_only(self, routes: set[RouteName], services: set[ServiceName]) -> None:
        """Remove what is known of all other routes and services."""
        self._latencies = {name: found for name, found in self._latencies.items() if name in routes}
        self._buckets = {name: found for name, found in self._buckets.items() if name in services}

    def compute_delay_s(self, facts: CallFacts, route: RouteName, slowness: float) -> float | None:
        """Return after which time a call is slow at an upstream of `slowness`.

        None means that the call gets no extra request, and needs no timer.
        """
        if facts.share is None or check_call(facts) is not Verdict.SEND:
            return None
        usual_s = self._find_latency_s(route, choose_quantile(facts.share), slowness)
        if usual_s is None or usual_s >= facts.remaining_s:
            return None
        return max(MIN_DELAY_S, usual_s)

    def decide(
        self,
        facts: CallFacts,
        service: ServiceName,
        route: RouteName,
        room: Room,
        target_slowness: float,
        try_retry: Callable[[], bool],
    ) -> Verdict:
        """Decide about the extra request of a call that is slow now.

        `try_retry` takes it out of the retry budget; it is called only if all else allows it.
        """
        verdict = check_call(facts)
        if verdict is not Verdict.SEND:
            return verdict
        expected_s = self._find_latency_s(route, 0.5, target_slowness)
        if expected_s is None or expected_s >= facts.remaining_s:
            return Verdict.NO_TIME
        if not room.is_sufficient:
            return Verdict.NO_ROOM
        return self.spend(facts, service, try_retry)

    def spend(
        self, facts: CallFacts, service: ServiceName, try_retry: Callable[[], bool]
    ) -> Verdict:
        """Take an extra request out of the operator's share and out of the retry budget."""
        bucket = self._buckets.get(service)
        if facts.share is not None and (bucket is None or not bucket.has_token):
            return Verdict.OVER_SHARE
        if not try_retry():
            return Verdict.OVER_BUDGET
        if facts.share is not None and bucket is not None:
            bucket.withdraw()
        return Verdict.SEND

    def _find_latency_s(self, route: RouteName, quantile: float, slowness: float) -> float | None:
        distribution = self._latencies.get(route)
        comparable_s = distribution.find_quantile_s(quantile) if distribution else None
        return None if comparable_s is None else comparable_s * _limit_slowness(slowness)


def _limit_slowness(slowness: float) -> float:
    return min(MAX_COMPARABLE_SLOWNESS, max(1.0 / MAX_COMPARABLE_SLOWNESS, slowness))


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(1, int(MAX_LATENCY_S / UNIT_S), SIGNIFICANT_DIGITS)
