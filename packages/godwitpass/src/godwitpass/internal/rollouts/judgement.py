"""Judges the target version against the version in service, by route.

Both tests are a cumulative-sum form of the sequential probability ratio test. Their error rates are
stated in docs/design/rollouts.md.
"""

import math

import msgspec

from godwitpass.ids import RouteName
from godwitpass.internal.rollouts.messages import BUCKET_COUNT, RouteCounts

ALARM = 11.5
"""Sum of log-likelihood ratios at which the target is bad: 1e-5 false alarms per response."""

SUSPICION = 6.0
"""Sum above which the target may not yet take all calls: reached by chance in 0.25% of cases."""

ALL_ROUTES = RouteName("*")
"""Failures are judged by route, and on all routes together to see small rates."""

BASELINE_HALF_LIFE_S = 3.0
"""Decay of the counts of the version in service; a fault of the service affects both versions."""

PRIOR_FAILURES, PRIOR_RESPONSES = 0.5, 25.0
MIN_FAILURE_RATE = 0.005
FAILURE_INCREASE = 0.05
FAILURE_FACTOR = 3.0
MAX_BAD_RATE = 0.95
SLOW_BUCKETS = 3
"""A response is slow if it is more than this many half-octaves above the baseline's median.

A server that is 2.5 times slower than the median stays below; a version 8 times slower is above.
"""

MIN_SLOW_BUCKET = 10
"""No response is slow below 32 ms, which is the noise of a machine with a part of a core."""

MIN_SLOW_RATE = 0.05
SLOW_RATE = 0.5
MIN_BASELINE_DURATIONS = 10.0
GENERAL_FAILURE_RATE = 0.3
"""Failure rate of the version in service from which failures of the target may have its cause."""


class Verdict(msgspec.Struct, frozen=True):
    """Why the target is bad."""

    route: RouteName
    reason: str
    target_rate: float
    baseline_rate: float


class _Baseline:
    """Decayed counts of the version in service on one route."""

    def __init__(self) -> None:
        self.responses = 0.0
        self.failures = 0.0
        self.histogram = [0.0] * BUCKET_COUNT
        self._decayed_at = 0.0

    def add(self, counts: RouteCounts, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._decayed_at) / BASELINE_HALF_LIFE_S)
        self._decayed_at = now
        self.responses = self.responses * factor + counts.responses
        self.failures = self.failures * factor + counts.failures
        self.histogram = [count * factor for count in self.histogram]
        for bucket, count in enumerate(counts.histogram):
            self.histogram[bucket] += count

    def estimate_failure_rate(self) -> float:
        rate = (self.failures + PRIOR_FAILURES) / (self.responses + PRIOR_RESPONSES)
        return max(MIN_FAILURE_RATE, rate)

    def find_slow_bucket(self) -> int | None:
        """Return the first bucket of slow responses, None without enough durations."""
        total = sum(self.histogram)
        if total < MIN_BASELINE_DURATIONS:
            return None
        passed = 0.0
        for bucket, count in enumerate(self.histogram):
            passed += count
            if passed >= total / 2:
                return max(MIN_SLOW_BUCKET, bucket + SLOW_BUCKETS + 1)
        return None

    def estimate_slow_rate(self, slow_bucket: int) -> float:
        return max(MIN_SLOW_RATE, sum(self.histogram[slow_bucket:]) / sum(self.histogram))


class _Target:
    def __init__(self) -> None:
        self.responses = 0
        self.failures = 0
        self.durations = 0
        self.slow = 0
        self.failure_sum = 0.0
        self.slowness_sum = 0.0


class Judgement:
    """Accumulates evidence; `verdict` is set once the target is bad and stays set."""

    def __init__(self) -> None:
        self.verdict: Verdict | None = None
        self._baselines: dict[RouteName, _Baseline] = {}
        self._targets: dict[RouteName, _Target] = {}
        self._all_baseline = _Baseline()
        self._all_target = _Target()

    @property
    def target_responses(self) -> int:
        """Return the number of responses of the target so far."""
        return self._all_target.responses

    @property
    def target_failures(self) -> int:
        """Return the number of failures of the target so far."""
        return self._all_target.failures

    @property
    def is_suspect(self) -> bool:
        """Return whether the target looks worse than the version in service, without an alarm."""
        targets = [self._all_target, *self._targets.values()]
        return any(max(item.failure_sum, item.slowness_sum) >= SUSPICION for item in targets)

    def add_baseline(self, counts: RouteCounts, now: float) -> None:
        """Add responses of the version in service."""
        self._baselines.setdefault(counts.route, _Baseline()).add(counts, now)
        self._all_baseline.add(counts, now)

    def add_target(self, counts: RouteCounts, counts_durations: bool) -> None:
        """Add responses of the target; durations are left out of servers that start cold."""
        if not counts.responses:
            return
        baseline = self._baselines.get(counts.route) or _Baseline()
        target = self._targets.setdefault(counts.route, _Target())
        self._judge_failures(counts.route, target, baseline, counts)
        self._judge_failures(ALL_ROUTES, self._all_target, self._all_baseline, counts)
        slow_bucket = baseline.find_slow_bucket()
        if slow_bucket is None or not counts_durations:
            return
        durations, slow = sum(counts.histogram), sum(counts.histogram[slow_bucket:])
        target.durations += durations
        target.slow += slow
        q0 = baseline.estimate_slow_rate(slow_bucket)
        q1 = min(MAX_BAD_RATE, max(SLOW_RATE, FAILURE_FACTOR * q0))
        target.slowness_sum = _add(target.slowness_sum, slow, durations - slow, q0, q1)
        if target.slowness_sum >= ALARM:
            self._condemn(counts.route, "slow", target.slow / target.durations, q0)

    def _judge_failures(
        self, route: RouteName, target: _Target, baseline: _Baseline, counts: RouteCounts
    ) -> None:
        target.responses += counts.responses
        target.failures += counts.failures
        p0 = baseline.estimate_failure_rate()
        p1 = min(MAX_BAD_RATE, max(FAILURE_FACTOR * p0, p0 + FAILURE_INCREASE))
        successes = max(0, counts.responses - counts.failures)
        target.failure_sum = _add(target.failure_sum, counts.failures, successes, p0, p1)
        if target.failure_sum >= ALARM:
            self._condemn(route, "failures", target.failures / target.responses, p0)

    def add_local_stop(self) -> None:
        """Note that an agent stopped a target server that failed most of its calls.

        It counts unless the version in service fails often, too.
        """
        baseline = self._all_baseline
        rate = baseline.failures / baseline.responses if baseline.responses else 0.0
        if rate < GENERAL_FAILURE_RATE:
            self._condemn(ALL_ROUTES, "stopped by its daemon", 1.0, rate)

    def _condemn(self, route: RouteName, reason: str, rate: float, baseline_rate: float) -> None:
        if self.verdict is None:
            self.verdict = Verdict(route, reason, round(rate, 4), round(baseline_rate, 4))


def _add(total: float, events: int, others: int, p0: float, p1: float) -> float:
    """Add the log-likelihood ratios of a batch; the order within it is unknown."""
    if p1 <= p0:
        return total
    gain = events * math.log(p1 / p0) + others * math.log((1 - p1) / (1 - p0))
    return max(0.0, total + gain)
