"""The ASGI application: authentication, dispatch, and problems in place of exceptions."""

import hmac

import anyio

from godwitpass.administration import Problem, ProblemKind
from godwitpass.errors import (
    AcceptanceUnknown,
    GodwitpassError,
    InvalidDocument,
    StoreOutcomeUnknown,
    StoreUnavailable,
    StoreWentBack,
)
from godwitpass_daemon.admin import events
from godwitpass_daemon.admin.endpoints import Endpoint, find_endpoint, list_methods
from godwitpass_daemon.admin.handlers import Api
from godwitpass_daemon.admin.http import (
    Answer,
    Refusal,
    Request,
    read_body,
    read_head,
    send_answer,
)
from godwitpass_daemon.admin.memory import release_freed_memory
from godwitpass_daemon.admin.meter import RequestMeter
from godwitpass_daemon.listeners import Application, Receive, Scope, Send

MAX_REQUESTS = 16
"""Requests in progress; more are refused."""

RETRY_AFTER = {"retry-after": "1"}


def build_application(api: Api, meter: RequestMeter) -> Application:
    """Return the ASGI application of `api`, whose requests `meter` counts."""
    # One body at a time bounds the memory that large documents take.
    body_lock = anyio.Lock()
    in_progress = 0

    async def answer_call(scope: Scope, receive: Receive, send: Send) -> None:
        nonlocal in_progress
        if scope["type"] != "http":
            return
        in_progress += 1
        began = meter.clock()
        try:
            if in_progress > MAX_REQUESTS:
                message = f"{MAX_REQUESTS} requests are in progress"
                problem = Problem(ProblemKind.BUSY, message, "ask again later")
                answer = Answer(problem, 503, RETRY_AFTER)
            else:
                answer = await answer_request(api, scope, receive, body_lock)
            meter.record(answer.status, meter.clock() - began)
            await send_answer(answer, send)
        finally:
            in_progress -= 1

    return answer_call


async def answer_request(api: Api, scope: Scope, receive: Receive, body_lock: anyio.Lock) -> Answer:
    """Return the answer to one request, a problem if it can't be done."""
    try:
        request = read_head(scope)
        endpoint = _select_endpoint(request)
        if not endpoint.is_open:
            _authorize(api, request)
        if endpoint.body is None:
            return await endpoint.handler(api, request)
        async with body_lock:
            try:
                return await _handle_body(api, endpoint, request, receive)
            finally:
                # Otherwise the memory that a large document took would never be given back.
                release_freed_memory()
    except Exception as error:
        return _explain(api, error)


async def _handle_body(api: Api, endpoint: Endpoint, request: Request, receive: Receive) -> Answer:
    body = await read_body(request, receive)
    whole = Request(request.method, request.path, request.query, request.headers, body)
    return await endpoint.handler(api, whole)


def _select_endpoint(request: Request) -> Endpoint:
    endpoint = find_endpoint(request.method, request.path)
    if endpoint is not None:
        return endpoint
    methods = list_methods(request.path)
    if not methods:
        problem = Problem(ProblemKind.NOT_FOUND, "unknown path", "see the API description")
        raise Refusal(404, problem)
    allowed = ", ".join(methods)
    problem = Problem(ProblemKind.METHOD_NOT_ALLOWED, "method not allowed", f"use {allowed}")
    raise Refusal(405, problem, {"allow": allowed})


def _authorize(api: Api, request: Request) -> None:
    given = request.headers.get("authorization", "").encode("latin-1")
    expected = f"Bearer {api.settings.admin_token}".encode()
    if not hmac.compare_digest(given, expected):
        api.ports.events.emit(events.UNAUTHORIZED)
        remedy = "send 'Authorization: Bearer' with the token of the daemon's settings"
        problem = Problem(ProblemKind.UNAUTHORIZED, "the token is missing or wrong", remedy)
        raise Refusal(401, problem, {"www-authenticate": "Bearer"})


def _explain(api: Api, error: Exception) -> Answer:
    match error:
        case Refusal():
            return Answer(error.problem, error.status, error.headers)
        case InvalidDocument():
            api.ports.events.emit(events.DOCUMENT_REFUSED, findings=len(error.findings))
            message = f"{len(error.findings)} findings"
            problem = Problem(
                ProblemKind.INVALID_DOCUMENT, message, "mend each", findings=error.findings
            )
            return Answer(problem, 422)
        case AcceptanceUnknown():
            remedy = "send it again with the same change id"
            problem = Problem(ProblemKind.OUTCOME_UNKNOWN, str(error), remedy, change=error.change)
            return Answer(problem, 503, RETRY_AFTER)
        case StoreOutcomeUnknown():
            problem = Problem(
                ProblemKind.OUTCOME_UNKNOWN, str(error), "send it again with the same change id"
            )
            return Answer(problem, 503, RETRY_AFTER)
        case StoreWentBack():
            remedy = f"apply it with --if-version {error.held_version} to go on from that version"
            problem = Problem(ProblemKind.STORE_WENT_BACK, str(error), remedy, current=error.stored_version)
            return Answer(problem, 409)
        case StoreUnavailable():
            problem = Problem(ProblemKind.STORE_UNAVAILABLE, str(error), "ask again later")
            return Answer(problem, 503, RETRY_AFTER)
        case GodwitpassError():
            api.ports.events.emit(events.FAILED, error=str(error))
            return Answer(Problem(ProblemKind.INTERNAL, str(error), "see the log"), 500)
        case _:
            # Its text may hold parts of the request, so only its type leaves the process.
            api.ports.events.emit(events.FAILED, error=type(error).__name__)
            return Answer(
                Problem(ProblemKind.INTERNAL, "a fault of the daemon", "see the log"), 500
            )
