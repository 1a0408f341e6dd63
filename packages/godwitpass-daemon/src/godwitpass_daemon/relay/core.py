"""State that all calls of one daemon share: routes, links, connections, budgets and counts."""

import asyncio
import math
import random
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from functools import partial

from hdrh.histogram import HdrHistogram

from godwitpass.document import CallerLimits
from godwitpass.events import FieldValue
from godwitpass.ids import Address, InstanceId, ServiceName, ZoneId
from godwitpass.internal.customers.directory import NestedCall
from godwitpass.internal.relay import events as kinds
from godwitpass.internal.relay.admission import NESTED_CALL_PRIORITY
from godwitpass.internal.relay.frames import Load, StreamsSettled
from godwitpass.internal.relay.nested_calls import NestedRefusals
from godwitpass.internal.relay.retry_budget import DaemonShare, RetryBudget, RetryBudgetSettings
from godwitpass.internal.relay.routes import RelayRoute, RelayTable, compile_routes
from godwitpass.internal.relay.sampling import is_sampled
from godwitpass.internal.relay.traffic_split import TrafficSplitter
from godwitpass.internal.relay.upstream_selection import UpstreamSelector
from godwitpass.internal.retrying.extra_requests import (
    ASSUMED_NESTED_CALLS,
    CallFacts,
    ExtraRequests,
    Verdict,
)
from godwitpass.mesh import Upstream
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.relay.call_admission import CallAdmission
from godwitpass_daemon.relay.call_log import Emit
from godwitpass_daemon.relay.forwarded_calls import ANSWERED, CRASH_SUSPECT, ForwardedCall
from godwitpass_daemon.relay.headers import HeaderNames, RequestHead
from godwitpass_daemon.relay.inbound_peers import InboundLinks
from godwitpass_daemon.relay.ingress import CallerConnection
from godwitpass_daemon.relay.intake import Intake, LimitLog
from godwitpass_daemon.relay.limits import TIMEOUT_CHECK_INTERVAL_S
from godwitpass_daemon.relay.links import Link, LocalLink, PeerLink, StreamHandler
from godwitpass_daemon.relay.pipelining import PipelinedRequest
from godwitpass_daemon.relay.settlement import LinkIdentity, settle
from godwitpass_daemon.relay.upstream_runner import UpstreamRunner
from godwitpass_daemon.resources import DEFAULT_RESOURCES, Resources

LARGE_BODY_BYTES = 16 * 1024
"""Calls with larger bodies use a separate connection, so that short calls don't wait for them.

The size of a response is estimated from earlier ones on the same route.
"""

PROCESS_PAUSE_S = 1.0
"""A timeout check that is this late shows that the process was paused."""

SUCCESS_STATUSES = range(200, 400)
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2

LinkKey = tuple[InstanceId, Address, bool]
"""The instance, its daemon's address, and whether the connection carries large bodies."""

ListUpstreams = Callable[[ServiceName], Sequence[Upstream]]


class RelayCore:
    """Holds the routing table in force, the links to other daemons and the caller connections.

    While `is_stopping` is set, caller connections close after their last response. While
    `is_refusing` is set, new requests are refused and calls are no longer retried. Calls must end
    by `finish_by`; those that might last longer are refused from `refuse_long_at` on.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        runner: UpstreamRunner,
        own_instance: InstanceId,
        zone: ZoneId,
        header_names: HeaderNames,
        retry_budget: RetryBudgetSettings,
        rng: random.Random,
        list_upstreams: ListUpstreams,
        count_daemons: Callable[[], int],
        emit: Emit,
        extra_request_share: float = 0.0,
        resources: Resources = DEFAULT_RESOURCES,
    ) -> None:
        self.loop = loop
        self.runner = runner
        self.header_names = header_names
        self.admission = CallAdmission(header_names, self.find_nested_call, loop.time)
        self.table: RelayTable | None = None
        self.caller_service = b""
        self.traffic_splitter = TrafficSplitter(rng)
        self.nested_refusals = NestedRefusals()
        self.selector = UpstreamSelector(own_instance, zone, rng)
        self.caller_connections: set[CallerConnection] = set()
        self.requests_awaiting_configuration: dict[PipelinedRequest, CallerConnection] = {}
        limit_log = LimitLog(loop.time, emit)
        self.intake = Intake(loop, resources, limit_log)
        self.inbound_links = InboundLinks(own_instance, loop.time, resources, limit_log)
        self.calls_in_progress = 0
        self.is_stopping = False
        self.is_refusing = False
        self.finish_by = math.inf
        self.refuse_long_at = math.inf
        self.counts: Counter[str] = Counter()
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.extra_requests = ExtraRequests()
        self._extra_request_share = extra_request_share
        self._own_instance = own_instance
        self._retry_budget_settings = retry_budget
        self._retry_budgets: dict[ServiceName, RetryBudget] = {}
        self._slack_share = DaemonShare(loop.time())
        self._list_upstreams = list_upstreams
        self._count_daemons = count_daemons
        self._emit = emit
        self._local_link = LocalLink(runner, partial(self.record_load, own_instance), loop)
        self._links: dict[LinkKey, PeerLink] = {}
        self._settlements: set[asyncio.Task[None]] = set()
        self._last_check_at = loop.time()

    @property
    def limits(self) -> CallerLimits:
        """Return the limits for callers; defaults apply before a configuration is held."""
        return self.table.limits if self.table is not None else CallerLimits()

    @property
    def open_link_count(self) -> int:
        """Return the number of connections to other daemons."""
        return len(self._links)

    @property
    def idle_timeout_s(self) -> float:
        """Return how long a caller connection may be idle, in seconds."""
        return self.limits.idle_timeout_ms / 1000

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.loop.time()

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Route later requests by `snapshot`; replacing one reference makes the switch atomic."""
        started_at = time.monotonic()
        table = compile_routes(snapshot)
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        route_names = {route.name for route in snapshot.document.routes}
        self.traffic_splitter.keep_only(route_names)
        self.extra_requests.keep_only(route_names, set(table.services))
        self.update_upstreams()
        self._emit(
            kinds.ROUTES_COMPILED,
            {
                "routes": len(snapshot.document.routes),
                "took_ms": int((time.monotonic() - started_at) * 1000),
                "waiting": len(self.requests_awaiting_configuration),
            },
        )

    def resume_waiting_requests(self) -> None:
        """Route the requests that waited for a configuration."""
        for request, caller_connection in list(self.requests_awaiting_configuration.items()):
            caller_connection.resume_request(request)

    def refuse_waiting_requests(self) -> None:
        """Refuse the requests that still wait for a configuration."""
        for request, caller_connection in list(self.requests_awaiting_configuration.items()):
            caller_connection.give_up_waiting(request)

    def update_upstreams(self) -> None:
        """Update the upstreams of all services from the membership."""
        if self.table is None:
            return
        known_instances: set[InstanceId] = set()
        for service in self.table.services:
            upstreams = self._list_upstreams(service)
            self.selector.update(service, upstreams)
            known_instances.update(upstream.instance for upstream in upstreams)
        self.selector.keep_only(known_instances)

    def can_finish(self, route: RelayRoute, head: RequestHead, arrived_at: float) -> bool:
        """Tell whether a request may start; a stopping daemon takes only what it can finish."""
        ends_in_time = arrived_at + route.compute_timeout_s(head.timeout_ms) <= self.finish_by
        return ends_in_time or self.now() < self.refuse_long_at

    def choose_priority(self, route: RelayRoute, request_id: str) -> int:
        """Return the priority of a call; lower values run first.

        A nested call goes first, because refusing it wastes the work of the call that made it.
        """
        outer_id = request_id.rpartition(".")[0]
        if self.runner.is_in_progress(outer_id):
            self.runner.nested_calls.count_nested(outer_id, route.name)
            return NESTED_CALL_PRIORITY
        return route.policy.priority

    def find_nested_call(self, request_id: str) -> NestedCall:
        """Tell whether the upstream beside this daemon makes a call while it runs another one."""
        outer_id, _, suffix = request_id.rpartition(".")
        if not outer_id or not suffix:
            return NestedCall.NONE
        if self.runner.is_in_progress(outer_id):
            return NestedCall.OUTER_IN_PROGRESS
        if self.runner.ended_calls.may_contain(outer_id, self.now()):
            return NestedCall.OUTER_MAY_HAVE_ENDED
        return NestedCall.NONE

    def get_link(self, upstream: Upstream, body_bytes: float) -> Link:
        """Return the link to the daemon of `upstream`, and open one if there is none.

        `body_bytes` is the size of the request body, or the estimated one of the response.
        """
        if upstream.instance == self._own_instance:
            return self._local_link
        key = (upstream.instance, upstream.address, body_bytes > LARGE_BODY_BYTES)
        link = self._links.get(key)
        if link is None:
            on_close = partial(self._links.pop, key, None)
            link = PeerLink(upstream.instance, upstream.address, self, self.now, on_close)
            self._links[key] = link
        return link

    def count_call(self, service: ServiceName) -> None:
        """Count the first attempt of a call to `service`."""
        self.calls_in_progress += 1
        self._get_retry_budget(service).count_call(self.now())

    def get_extra_request_share(self, route: RelayRoute) -> float:
        """Return the share of the calls on `route` that may get an extra request."""
        share = route.policy.extra_request_share
        return self._extra_request_share if share is None else share

    def decide_extra_request(
        self, call: ForwardedCall, facts: CallFacts, slow: InstanceId, target: InstanceId
    ) -> Verdict:
        """Decide whether a call that is slow at `slow` is sent to `target` too; log the decision.

        The nested calls that the second run makes are taken out of the retry budget with it.
        """
        service, route = call.service, call.route.name
        now = self.now()
        room = self.selector.describe_room(service, slow, target, now)
        nested_calls = self.runner.nested_calls.estimate_count(route, ASSUMED_NESTED_CALLS)
        verdict = self.extra_requests.decide(
            facts,
            service,
            route,
            room,
            self.selector.estimate_slowness(target, now),
            lambda: self.try_retry(service, 1.0 + nested_calls),
        )
        is_sent = verdict is Verdict.SEND
        self.counts["extra-request" if is_sent else f"no-extra-{_name(verdict)}"] += 1
        if is_sent:
            self._emit(
                kinds.EXTRA_REQUEST_SENT,
                {
                    "request": call.head.request_id,
                    "route": route,
                    "slow": slow,
                    "target": target,
                    "took_ms": int((self.now() - call.arrived_at) * 1000),
                    "left_ms": int(facts.remaining_s * 1000),
                    "share": facts.share or 0.0,
                    "cost": round(1.0 + nested_calls, 2),
                    "others_slots": room.slots,
                    "others_busy": room.busy,
                    "others_waiting": room.waiting,
                    **self._describe_retry_budget(service),
                },
            )
        return verdict

    def record_attempt_ended(self, call: ForwardedCall, upstream: Upstream, reason: str) -> None:
        """Count and log that one of two attempts ended without a good response."""
        self.counts[f"attempt-ended-{reason.replace(' ', '-').replace('_', '-')}"] += 1
        fields: dict[str, FieldValue] = {
            "request": call.head.request_id,
            "route": call.route.name,
            "upstream": upstream.instance,
            "reason": reason,
            **self.selector.describe(upstream.instance, self.now()),
        }
        self._emit(kinds.ATTEMPT_ENDED, fields)

    def try_retry(self, service: ServiceName, cost: float = 1.0, part: float = 1.0) -> bool:
        """Take a retry to `service` out of a `part` of the retry budget, unless that is used up.

        `cost` is the number of runs that it repeats, those of its nested calls included.
        """
        now, window_s = self.now(), self._retry_budget_settings.window_s
        share = self._slack_share.compute(now, self._count_daemons(), window_s)
        is_allowed = self._get_retry_budget(service).try_retry(now, share, cost, part)
        self.counts["repeat" if is_allowed else "repeat-over-budget"] += 1
        return is_allowed

    def set_retry_budget(self, settings: RetryBudgetSettings) -> None:
        """Use `settings` from now on; if they differ, the counts so far are discarded."""
        if settings != self._retry_budget_settings:
            self._retry_budget_settings = settings
            self._retry_budgets.clear()

    def check_timeouts(self) -> None:
        """Enforce the timeouts of all connections."""
        now = self.now()
        was_paused = now - self._last_check_at > TIMEOUT_CHECK_INTERVAL_S + PROCESS_PAUSE_S
        self._last_check_at = now
        for link in list(self._links.values()):
            link.check_timeouts(now, was_paused)
        for caller_connection in list(self.caller_connections):
            caller_connection.check_timeouts(now)
        self.runner.check_timeouts()

    def close_links(self) -> None:
        """Close the connections to other daemons."""
        for link in list(self._links.values()):
            link.close()

    # Called by forwarded calls and caller connections.

    def record_end(self, call: ForwardedCall, fields: dict[str, FieldValue]) -> None:
        """Count and log the end of a call."""
        self.calls_in_progress -= 1
        elapsed_s = self.now() - call.arrived_at
        self.latency_us.record_value(max(1, int(elapsed_s * 1_000_000)))
        self.counts[f"status-{fields['status']}"] += 1
        request_id = call.head.request_id
        if call.is_nested:
            self._record_nested_end(call, fields)
        if fields["status"] in SUCCESS_STATUSES:
            if not is_sampled(request_id):
                return
            kind = kinds.CALL_ENDED
        else:
            kind = kinds.CALL_FAILED
        self._emit(
            kind,
            {
                "request": request_id,
                "route": call.route.name,
                "took_ms": int(elapsed_s * 1000),
                **fields,
            },
        )

    def _record_nested_end(self, call: ForwardedCall, fields: dict[str, FieldValue]) -> None:
        """Count whether a nested call was refused; what its server responded isn't a refusal."""
        if not fields["status"] or fields["outcome"] == CRASH_SUSPECT:
            return
        outer_id = call.head.request_id.rpartition(".")[0]
        was_refused = fields["status"] == 503 and fields["outcome"] != ANSWERED
        self.runner.nested_calls.end_nested(outer_id, call.route.name, was_refused, self.now())

    def record_retry(self, call: ForwardedCall, upstream: Upstream, reason: str) -> None:
        """Log that a call is retried, with what was known of the upstream that it left."""
        self.counts["retry"] += 1
        fields: dict[str, FieldValue] = {
            "request": call.head.request_id,
            "route": call.route.name,
            "left": upstream.instance,
            "reason": reason,
            **self.selector.describe(upstream.instance, self.now()),
            **self._describe_retry_budget(call.service),
        }
        self._emit(kinds.CALL_RETRIED, fields)

    def _describe_retry_budget(self, service: ServiceName) -> dict[str, FieldValue]:
        now, window_s = self.now(), self._retry_budget_settings.window_s
        share = self._slack_share.compute(now, self._count_daemons(), window_s)
        budget_fields = self._get_retry_budget(service).describe(share)
        return {**budget_fields, "daemons": self._slack_share.daemon_count}

    def record_rejection(self, request_id: str, status: int, reason: str) -> None:
        """Count and log a request that is rejected before it is routed."""
        self.counts[f"status-{status}"] += 1
        self._emit(
            kinds.REQUEST_REFUSED, {"request": request_id, "status": status, "reason": reason}
        )

    # Called by links.

    def record_load(self, instance: InstanceId, load: Load) -> None:
        """Store the load that a daemon reports."""
        self.selector.record_load(instance, load, self.now())

    def record_go_away(self, instance: InstanceId) -> None:
        """Back off from a daemon that is stopping."""
        self.selector.record_unreachable(instance, self.now())

    def record_peer_lost(self, instance: InstanceId, address: Address, reason: str) -> None:
        """Back off from a daemon that can't be reached, and log it."""
        self.selector.record_unreachable(instance, self.now())
        self._emit(kinds.PEER_LOST, {"peer": address, "instance": instance, "reason": reason})

    def settle_silent_link(self, link: PeerLink) -> None:
        """Ask the daemon which calls of a silent link have not run, and end the link."""

        async def run() -> None:
            answer = await settle(link.identity, self.now, link.is_silent)
            self._record_settlement(link.identity, answer)
            link.end_settled(answer)

        self._start_settlement(run())

    def settle_lost_calls(self, link: LinkIdentity, handlers: dict[int, StreamHandler]) -> None:
        """End the calls of a lost link, and try those again that have not run."""

        async def run() -> None:
            answer = await settle(link, self.now, lambda: True)
            self._record_settlement(link, answer)
            for stream_id, handler in handlers.items():
                has_not_run = answer is not None and answer.has_not_run(stream_id)
                handler.handle_link_lost(was_sent=not has_not_run)

        self._start_settlement(run())

    def _start_settlement(self, settlement: Coroutine[None, None, None]) -> None:
        task = self.loop.create_task(settlement)
        self._settlements.add(task)
        task.add_done_callback(self._settlements.discard)

    def _record_settlement(self, link: LinkIdentity, answer: StreamsSettled | None) -> None:
        """Count and log whether the daemon at the other end of a link has answered."""
        self.counts["link-settled" if answer is not None else "link-not-settled"] += 1
        fields: dict[str, FieldValue] = {"peer": link.address, "instance": link.instance}
        if answer is not None:
            fields["uptime_ms"] = answer.uptime_ms
            fields["last_stream"] = answer.last_stream_id
            fields["refused"] = len(answer.refused)
        self._emit(kinds.LINK_SETTLED if answer is not None else kinds.LINK_NOT_SETTLED, fields)

    def _get_retry_budget(self, service: ServiceName) -> RetryBudget:
        retry_budget = self._retry_budgets.get(service)
        if retry_budget is None:
            retry_budget = self._retry_budgets[service] = RetryBudget(self._retry_budget_settings)
        return retry_budget


def _name(verdict: Verdict) -> str:
    return verdict.name.lower().replace("_", "-")
