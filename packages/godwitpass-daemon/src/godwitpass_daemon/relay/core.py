"""What all calls of one daemon share."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial

from hdrh.histogram import HdrHistogram

from godwitpass.document import CallerLimits
from godwitpass.events import FieldValue
from godwitpass.ids import Address, InstanceId, ServiceName, ZoneId
from godwitpass.internal.relay import events as kinds
from godwitpass.internal.relay.retry_budget import RetryBudgetSettings, RepeatBudget
from godwitpass.internal.relay.frames import Load
from godwitpass.internal.relay.upstream_selection import Placement
from godwitpass.internal.relay.routes import RelayRoute, RelayTable, compile_routes
from godwitpass.internal.relay.sampling import is_sampled
from godwitpass.internal.relay.admission import CALLED_RANK
from godwitpass.internal.relay.traffic_split import Splitter
from godwitpass.mesh import Upstream
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.relay.forwarded_calls import Exchange
from godwitpass_daemon.relay.headers import HeaderNames
from godwitpass_daemon.relay.upstream_runner import Host
from godwitpass_daemon.relay.ingress import CallerConnection
from godwitpass_daemon.relay.limits import SWEEP_INTERVAL_S
from godwitpass_daemon.relay.links import Link, LocalLink, PeerLink
from godwitpass_daemon.relay.inbound_peers import Reception
from godwitpass_daemon.relay.call_log import Emit
from godwitpass_daemon.relay.pipelining import Turn

BULK_BYTES = 16 * 1024
"""Calls with larger bodies use a connection of their own, so that short ones don't wait."""

PAUSE_NOTICED_S = 1.0
"""A sweep that comes this much late shows that the process stood still."""

GOOD_STATUSES = range(200, 400)
LATENCY_MAX_US = 3_600_000_000
LATENCY_DIGITS = 2

LinkKey = tuple[InstanceId, Address, bool]
"""Whose daemon, at which address, and whether for large bodies."""

ListUpstreams = Callable[[ServiceName], Sequence[Upstream]]


class RelayCore:
    """Holds the table in force, the links to other daemons and the connections of callers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: Host,
        own: InstanceId,
        zone: ZoneId,
        names: HeaderNames,
        budget: RetryBudgetSettings,
        rng: random.Random,
        list_upstreams: ListUpstreams,
        count_daemons: Callable[[], int],
        emit: Emit,
    ) -> None:
        self.loop = loop
        self.host = host
        self.names = names
        self.table: RelayTable | None = None
        self.caller_service = b""
        self.splitter = Splitter(rng)
        self.placement = Placement(own, zone, rng)
        self.callers: set[CallerConnection] = set()
        self.waiting: dict[Turn, CallerConnection] = {}
        self.receptions: set[Reception] = set()
        self.held_body_bytes = 0
        self.exchanges = 0
        self.stopping = False
        self.refusing = False
        self.counts: Counter[str] = Counter()
        self.latency_us = HdrHistogram(1, LATENCY_MAX_US, LATENCY_DIGITS)
        self._own = own
        self._budget_terms = budget
        self._budgets: dict[ServiceName, RepeatBudget] = {}
        self._list_upstreams = list_upstreams
        self._count_daemons = count_daemons
        self._emit = emit
        self._local = LocalLink(host, partial(self.note_load, own), loop)
        self._links: dict[LinkKey, PeerLink] = {}
        self._swept_at = loop.time()

    @property
    def limits(self) -> CallerLimits:
        """Return what callers may send."""
        return self.table.limits if self.table is not None else CallerLimits()

    @property
    def links_open(self) -> int:
        """Return the number of connections to other daemons."""
        return len(self._links)

    @property
    def idle_timeout_s(self) -> float:
        """Return how long a caller's connection may be idle."""
        return self.limits.idle_timeout_ms / 1000

    def now(self) -> float:
        """Return the time of the steady clock in seconds."""
        return self.loop.time()

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Let later requests follow `snapshot`; one reference is switched."""
        table = compile_routes(snapshot)
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self.splitter.keep_only({route.name for route in snapshot.document.routes})
        self.update_upstreams()
        self._emit(
            kinds.RELAY_TABLE,
            {"routes": len(snapshot.document.routes), "waiting": len(self.waiting)},
        )
        for turn, caller in list(self.waiting.items()):
            caller.follow_table(turn)

    def update_upstreams(self) -> None:
        """Take in the upstreams that membership knows."""
        if self.table is None:
            return
        known: set[InstanceId] = set()
        for service in self.table.services:
            upstreams = self._list_upstreams(service)
            self.placement.update(service, upstreams)
            known.update(upstream.instance for upstream in upstreams)
        self.placement.keep_only(known)

    def choose_rank(self, route: RelayRoute, request_id: str) -> int:
        """Return the rank of a call; lower ones go first.

        A call that a running upstream makes goes before others, since its run would be wasted.
        """
        if self.host.is_running(request_id.rpartition(".")[0]):
            return CALLED_RANK
        return route.policy.priority

    def find_link(self, upstream: Upstream, body_bytes: int) -> Link:
        """Return the way to the daemon of `upstream`, opened if there is none."""
        if upstream.instance == self._own:
            return self._local
        key = (upstream.instance, upstream.address, body_bytes > BULK_BYTES)
        link = self._links.get(key)
        if link is None:
            forget = partial(self._links.pop, key, None)
            link = PeerLink(upstream.instance, upstream.address, self, self.now, forget)
            self._links[key] = link
        return link

    def count_first(self, service: ServiceName) -> None:
        """Count the first send of a call to `service`."""
        self.exchanges += 1
        self._find_budget(service).count_first(self.now())

    def try_repeat(self, service: ServiceName) -> bool:
        """Take a further send to `service` out of the budget."""
        allowed = self._find_budget(service).try_repeat(self.now(), self._count_daemons())
        self.counts["repeat" if allowed else "repeat-over-budget"] += 1
        return allowed

    def apply_budget(self, terms: RetryBudgetSettings) -> None:
        """Use `terms` from now on; what was counted so far is forgotten if they differ."""
        if terms != self._budget_terms:
            self._budget_terms = terms
            self._budgets.clear()

    def sweep(self) -> None:
        """Look after time limits of connections."""
        now = self.now()
        paused = now - self._swept_at > SWEEP_INTERVAL_S + PAUSE_NOTICED_S
        self._swept_at = now
        for link in list(self._links.values()):
            link.sweep(now, paused)
        for caller in list(self.callers):
            caller.sweep(now)
        self.host.sweep()

    def close_links(self) -> None:
        """Close the connections to other daemons."""
        for link in list(self._links.values()):
            link.close()

    # Called by exchanges and callers.

    def note_end(self, exchange: Exchange, fields: dict[str, FieldValue]) -> None:
        """Count and log the end of a call."""
        self.exchanges -= 1
        took_s = self.now() - exchange.arrived_at
        self.latency_us.record_value(max(1, int(took_s * 1_000_000)))
        self.counts[f"status-{fields['status']}"] += 1
        request_id = exchange.head.request_id
        if fields["status"] in GOOD_STATUSES:
            if not is_sampled(request_id):
                return
            kind = kinds.CALL_ENDED
        else:
            kind = kinds.CALL_FAILED
        self._emit(
            kind,
            {
                "request": request_id,
                "route": exchange.route.name,
                "took_ms": int(took_s * 1000),
                **fields,
            },
        )

    def note_retry(self, exchange: Exchange, upstream: Upstream, reason: str) -> None:
        """Log that a call goes to another upstream, with what was known of the one it left."""
        self.counts["retry"] += 1
        fields: dict[str, FieldValue] = {
            "request": exchange.head.request_id,
            "route": exchange.route.name,
            "left": upstream.instance,
            "reason": reason,
            **self.placement.describe(upstream.instance, self.now()),
        }
        self._emit(kinds.CALL_RETRIED, fields)

    def note_fault(self, request_id: str, status: int, reason: str) -> None:
        """Log that a request was not routed."""
        self.counts[f"status-{status}"] += 1
        self._emit(
            kinds.REQUEST_REFUSED, {"request": request_id, "status": status, "reason": reason}
        )

    # Called by links.

    def note_load(self, instance: InstanceId, load: Load) -> None:
        """Take in the load that a daemon tells."""
        self.placement.note_load(instance, load, self.now())

    def note_leaving(self, instance: InstanceId) -> None:
        """Hand nothing more to a daemon that stops."""
        self.placement.note_unreachable(instance, self.now())

    def note_lost(self, instance: InstanceId, address: Address, reason: str) -> None:
        """Leave a daemon alone that can't be reached."""
        self.placement.note_unreachable(instance, self.now())
        self._emit(kinds.PEER_LOST, {"peer": address, "instance": instance, "reason": reason})

    def _find_budget(self, service: ServiceName) -> RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RepeatBudget(self._budget_terms)
        return budget
