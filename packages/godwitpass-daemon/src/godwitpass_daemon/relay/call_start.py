"""Steps from a complete request to its call: route, check, quota decision, or a rejection."""

from functools import partial
from typing import TYPE_CHECKING

from godwitpass.internal.customers.directory import Caller
from godwitpass.internal.quotas.interface import QuotaDecision, QuotaRefused
from godwitpass_daemon.relay.forwarded_calls import ForwardedCall
from godwitpass_daemon.relay.headers import RequestRejected, encode_local_response

if TYPE_CHECKING:
    from godwitpass_daemon.relay.core import RelayCore
    from godwitpass_daemon.relay.pipelining import PipelinedRequest

NO_CONFIGURATION_RETRY_AFTER_S = 0.3
"""About the time until a daemon that has just started holds a configuration and a proof."""


def find_route(core: "RelayCore", request: "PipelinedRequest") -> bool:
    """Find the route of a complete request; reject it if there is none."""
    table, head = core.table, request.head
    assert table is not None and head is not None
    request.route = table.find(head.host, head.path)
    request.version = table.version
    if request.route is None:
        rejection = RequestRejected(404, "no route")
        reject(core, request, core.admission.confirm_rejection(rejection, table, table.version))
    return request.route is not None


def passes_check(core: "RelayCore", request: "PipelinedRequest") -> bool:
    """Check a complete request, which may have to wait for earlier ones; else reject it."""
    admission, table = core.admission, core.table
    assert table is not None and request.head is not None
    if (
        request.version != table.version
        and admission.needs_proof(table)
        and not find_route(core, request)
    ):
        return False
    assert request.route is not None
    try:
        if not core.can_finish(request.route, request.head, request.arrived_at):
            raise RequestRejected(503, "this daemon stops before the deadline")
        admission.check(table, request.route, request.head)
    except RequestRejected as rejection:
        reject(core, request, rejection)
        return False
    return True


def reject(core: "RelayCore", request: "PipelinedRequest", rejection: RequestRejected) -> None:
    """Send an error response to a request that is not routed, in the order of the requests."""
    request.route = None
    request.release_body()
    request_id = request.head.request_id if request.head else ""
    retry_after_s = rejection.retry_after_s
    if retry_after_s is None and rejection.status == 503:
        retry_after_s = NO_CONFIGURATION_RETRY_AFTER_S
    core.record_rejection(request_id, rejection.status, rejection.reason)
    request.write_response(
        encode_local_response(
            rejection.status,
            rejection.reason,
            request_id.encode("latin-1"),
            core.header_names.request_id,
            retry_after_s,
            request.decide_close(),
        ),
        is_last=True,
    )


def start_call(core: "RelayCore", request: "PipelinedRequest") -> None:
    """Start a call; one that isn't idempotent waits for the responses to all earlier ones."""
    assert request.route is not None
    if request.is_started or (not request.route.is_idempotent and not request.is_first):
        return
    request.is_started = True
    caller = _admit(core, request)
    if caller is None:
        return
    decision = core.admission.acquire(
        caller, partial(_handle_late_quota_decision, core, request, caller)
    )
    if decision is not None:
        _handle_quota_decision(core, request, caller, decision)


def _admit(core: "RelayCore", request: "PipelinedRequest") -> Caller | None:
    """Return the sender of a request that may start now, or reject it and return None."""
    assert request.head is not None and request.route is not None and core.table is not None
    try:
        if core.is_refusing:
            raise RequestRejected(503, "this daemon stops")
        return core.admission.admit(core.table, request.route, request.head)
    except RequestRejected as rejection:
        reject(core, request, rejection)
        return None


def _handle_late_quota_decision(
    core: "RelayCore", request: "PipelinedRequest", caller: Caller, decision: QuotaDecision
) -> None:
    """Start or refuse a request after a wait, unless its sender has left or lost its key."""
    if isinstance(decision, QuotaRefused):
        if not request.is_abandoned:
            _handle_quota_decision(core, request, caller, decision)
        return
    current = None if request.is_abandoned else _admit(core, request)
    if (
        current is None
        or current.customer is None
        or current.customer.name != (caller.customer.name if caller.customer is not None else "")
    ):
        core.admission.release(caller, decision.permit)
    else:
        _handle_quota_decision(core, request, current, decision)


def _handle_quota_decision(
    core: "RelayCore", request: "PipelinedRequest", caller: Caller, decision: QuotaDecision
) -> None:
    if isinstance(decision, QuotaRefused):
        rejection = RequestRejected(decision.status, decision.reason, decision.retry_after_s)
        reject(core, request, rejection)
        return
    assert request.head is not None and request.route is not None
    core.admission.record_start(caller)
    request.call = ForwardedCall(
        core, request, request.head, request.route, caller, decision.permit
    )
    body, request.body = request.body, b""
    request.call.start(body)
