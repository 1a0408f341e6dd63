"""Refusal of calls whose nested calls can't be served now.

The daemon beside an upstream runs the calls that the upstream makes while it runs another one, so
it sees which nested routes an outer route uses, and how many nested calls are refused. An outer
call that is started although its nested calls will be refused costs a slot and ends in an error
after its work, which its caller must not repeat if it is unsafe. So about as many outer calls are
refused beforehand as would fail.
"""

import math

import msgspec

from godwitpass.ids import InstanceId, RouteName
from godwitpass.internal.relay.moving_averages import MAX_ROUTES, RouteAverages

HALF_LIFE_S = 1.0
"""Half-life of the counts of served and refused nested calls."""

PRIOR_SERVED = 1.0
"""Served calls that are added to the counts, so that a single refusal refuses no outer call."""

USE_WEIGHT = 0.05
"""Weight of the newest outer call in the averages of how its route uses nested routes."""

MIN_LOSS, HIGH_LOSS = 0.75, 0.9
"""Expected shares of failing outer calls between which the refused share grows from none to all.

Below it the calls that succeed are worth more than the refused ones that come back: in the load
model, refusing as many as would fail lowered the worth from 0.929 to 0.881 when half of the nested
calls were refused whatever the load.
"""

MAX_REFUSED_SHARE = 0.9
"""Upper bound of the refused share; the other calls probe whether nested calls are served again."""

MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.3, 2.0
"""Bounds of the retry-after time before it is spread. Its start is the duration of the trouble."""

MIN_SPREAD, MAX_SPREAD = 0.75, 1.25
GOLDEN_RATIO_PART = 0.618034
"""Multiples of it are spread evenly between whole numbers."""

EARLY_BUDGET_PART = 0.3
"""Part of the retry budget for early nested calls of an outer call that its caller may repeat.

The rest is kept for the last nested call, which completes the outer one, and for unsafe outer
calls, which are lost for good.
"""

CONFIRMED_FOR_S = 2.0
"""Time for which refusals by two upstreams show that all of a service refuse, as counts decay."""

MAX_NESTED_ROUTES = 32
"""Nested routes that are remembered for an outer route; further ones are ignored."""


class _RecentCounts(msgspec.Struct):
    """Nested calls of one route that were served or refused lately; both decay."""

    served: float = 0.0
    refused: float = 0.0
    decayed_at: float = 0.0

    def decay(self, now: float) -> None:
        """Let the counts fall to what they are worth at `now`."""
        factor = 0.5 ** (max(0.0, now - self.decayed_at) / HALF_LIFE_S)
        self.served *= factor
        self.refused *= factor
        self.decayed_at = now

    def compute_refused_share(self, now: float) -> float:
        """Return the share of nested calls that were refused."""
        self.decay(now)
        return self.refused / (self.refused + self.served + PRIOR_SERVED)


class _OuterCall(msgspec.Struct):
    """An outer call in progress, with the number of its nested calls by route."""

    route: RouteName
    is_idempotent: bool
    counts: dict[RouteName, int] = msgspec.field(default_factory=dict)
    was_nested_refused: bool = False


class _Use(msgspec.Struct):
    """How an outer route uses a nested one: the share of its calls, and the calls of those."""

    share: float
    times: float


class NestedRefusal(msgspec.Struct, frozen=True):
    """An outer call that is not to be started, with what decided it."""

    retry_after_s: float
    loss: float


class NestedCallTracker:
    """Learns the nested calls of the routes that run here, and decides which calls to refuse.

    Only refusals count: an error that a server of the nested route answers says nothing about its
    room. `tolerated` is the share of outer calls that succeeded although a nested one was refused.
    """

    def __init__(self) -> None:
        self._outer: dict[str, _OuterCall] = {}
        self._uses: dict[RouteName, dict[RouteName, _Use]] = {}
        self._counts: dict[RouteName, _RecentCounts] = {}
        self._tolerated = RouteAverages(USE_WEIGHT)
        self._owed: dict[RouteName, float] = {}
        self._trouble_since: dict[RouteName, float] = {}
        self._refusal_count = 0

    def start_outer(self, request_id: str, route: RouteName, is_idempotent: bool) -> None:
        """Note that a call is started here; its nested calls name its request id."""
        self._outer[request_id] = _OuterCall(route, is_idempotent)

    def count_nested(self, outer_id: str, route: RouteName) -> None:
        """Count a nested call that an outer one makes."""
        outer = self._outer.get(outer_id)
        if outer is not None and (route in outer.counts or len(outer.counts) < MAX_NESTED_ROUTES):
            outer.counts[route] = outer.counts.get(route, 0) + 1

    def end_nested(self, outer_id: str, route: RouteName, was_refused: bool, now: float) -> None:
        """Count the end of a nested call, which was refused or reached a server that ran it."""
        counts = self._counts.setdefault(route, _RecentCounts(decayed_at=now))
        counts.decay(now)
        outer = self._outer.get(outer_id)
        if was_refused:
            counts.refused += 1.0
            if outer is not None:
                outer.was_nested_refused = True
        else:
            counts.served += 1.0

    def end_outer(self, request_id: str, is_completed: bool) -> None:
        """Learn from the end of an outer call; `is_completed` unless it failed."""
        outer = self._outer.pop(request_id, None)
        if outer is None:
            return
        if outer.was_nested_refused:
            # The nested calls after the refused one were not made, so their number says nothing.
            self._tolerated.update(outer.route, float(is_completed))
            return
        uses = self._uses.get(outer.route)
        if not is_completed:
            return
        if uses is None:
            if len(self._uses) >= MAX_ROUTES:
                self._uses.clear()
            uses = self._uses[outer.route] = {}
        for nested_route, times in outer.counts.items():
            use = uses.get(nested_route)
            if use is None:
                uses[nested_route] = _Use(1.0, float(times))
            else:
                use.times += USE_WEIGHT * (times - use.times)
        for nested_route, use in uses.items():
            use.share += USE_WEIGHT * (float(nested_route in outer.counts) - use.share)

    def estimate_loss(self, route: RouteName, now: float) -> float:
        """Return the share of calls on `route` that would fail now by refused nested calls."""
        served_share = 1.0
        for nested_route, use in self._uses.get(route, {}).items():
            counts = self._counts.get(nested_route)
            if counts is not None and counts.refused > 0.0:
                all_served = (1.0 - counts.compute_refused_share(now)) ** use.times
                served_share *= 1.0 - use.share * (1.0 - all_served)
        return (1.0 - served_share) * (1.0 - self._tolerated.get(route, 0.0))

    def estimate_count(self, route: RouteName, default: float) -> float:
        """Return the mean number of nested calls of a run, or `default` if none has ended here."""
        uses = self._uses.get(route)
        if uses is None:
            return default
        return sum(use.share * use.times for use in uses.values())

    def find_budget_part(self, outer_id: str) -> float:
        """Return the part of the retry budget that is open to the newest nested call of a call."""
        outer = self._outer.get(outer_id)
        if outer is None or not outer.is_idempotent:
            return 1.0
        uses = self._uses.get(outer.route, {})
        expected = sum(use.times for route, use in uses.items() if route in outer.counts)
        is_last = sum(outer.counts.values()) >= expected - 0.5
        return 1.0 if is_last else EARLY_BUDGET_PART

    def check(self, route: RouteName, now: float) -> NestedRefusal | None:
        """Return the refusal of a new call on `route`, or None if it may start."""
        loss = self.estimate_loss(route, now)
        if loss < MIN_LOSS:
            self._trouble_since.pop(route, None)
            self._owed.pop(route, None)
            return None
        since = self._trouble_since.setdefault(route, now)
        share = min(MAX_REFUSED_SHARE, (loss - MIN_LOSS) / (HIGH_LOSS - MIN_LOSS))
        owed = self._owed.get(route, 0.0) + share
        if owed < 1.0:
            self._owed[route] = owed
            return None
        self._owed[route] = owed - 1.0
        self._refusal_count += 1
        # Trouble that has lasted for some time is as likely as not to last as long again.
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, now - since))
        position = self._refusal_count * GOLDEN_RATIO_PART % 1.0
        return NestedRefusal(
            retry_after_s * (MIN_SPREAD + (MAX_SPREAD - MIN_SPREAD) * position), loss
        )


class NestedRefusals:
    """Tells a sender whether several upstreams refuse a route for its nested calls.

    Each of them refuses about the share that would fail. Asking one after the other would undo
    that, so only the refusal of a single upstream, whose links may be at fault, sends a call on.
    """

    def __init__(self) -> None:
        self._latest: dict[RouteName, tuple[InstanceId, float]] = {}
        self._confirmed_at: dict[RouteName, float] = {}

    def record(self, route: RouteName, instance: InstanceId, now: float) -> bool:
        """Note a refusal; return whether another upstream refused the route lately too."""
        latest = self._latest.get(route)
        if latest is None and len(self._latest) >= MAX_ROUTES:
            self._latest.clear()
            self._confirmed_at.clear()
        if latest is not None and latest[0] != instance and now - latest[1] <= CONFIRMED_FOR_S:
            self._confirmed_at[route] = now
        self._latest[route] = instance, now
        return now - self._confirmed_at.get(route, -math.inf) <= CONFIRMED_FOR_S
