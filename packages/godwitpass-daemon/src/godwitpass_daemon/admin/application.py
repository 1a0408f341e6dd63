"""ASGI application of the administration API: authentication, dispatch and error responses."""

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
from godwitpass.internal.validation.text import MAX_TEXT_BYTES
from godwitpass_daemon.admin import events
from godwitpass_daemon.admin.endpoints import Endpoint, find_endpoint, list_methods
from godwitpass_daemon.admin.handlers import ApiContext
from godwitpass_daemon.admin.http import (
    SMALL_BODY_BYTES,
    BodyReader,
    HttpError,
    Request,
    Response,
    parse_head,
    send_response,
)
from godwitpass_daemon.admin.memory import release_freed_memory
from godwitpass_daemon.admin.meter import RequestMeter
from godwitpass_daemon.listeners import Application, Receive, Scope, Send

MAX_CONCURRENT_REQUESTS = 16
"""Requests beyond this number are answered with status 503."""

RETRY_AFTER_HEADERS = {"retry-after": "1"}


def build_application(context: ApiContext, meter: RequestMeter) -> Application:
    """Return the ASGI application that serves `context` and records its requests in `meter`."""
    # Reading one large body at a time bounds the memory that documents take.
    body_lock = anyio.Lock()
    requests_in_progress = 0

    async def serve_request(scope: Scope, receive: Receive, send: Send) -> None:
        nonlocal requests_in_progress
        if scope["type"] != "http":
            return
        requests_in_progress += 1
        started_at = meter.clock()
        try:
            if requests_in_progress > MAX_CONCURRENT_REQUESTS:
                message = f"{MAX_CONCURRENT_REQUESTS} requests are already in progress"
                problem = Problem(ProblemKind.BUSY, message, "retry later")
                response = Response(problem, 503, RETRY_AFTER_HEADERS)
            else:
                response = await handle_request(context, scope, receive, body_lock)
            meter.record(response.status, meter.clock() - started_at)
            await send_response(response, send)
        finally:
            requests_in_progress -= 1

    return serve_request


async def handle_request(
    context: ApiContext, scope: Scope, receive: Receive, body_lock: anyio.Lock
) -> Response:
    """Return the response to one request; an exception becomes a problem response."""
    try:
        request = parse_head(scope)
        endpoint = _select_endpoint(request)
        if not endpoint.is_public:
            _authorize(context, request)
        if endpoint.body_type is None:
            return await endpoint.handler(context, request)
        reader = BodyReader(request, receive)
        await reader.read(SMALL_BODY_BYTES)
        async with body_lock:
            try:
                return await _handle_with_body(context, endpoint, request, reader)
            finally:
                # The C allocator would otherwise keep the memory that a large document took.
                release_freed_memory()
    except Exception as error:
        return _build_error_response(context, error)


async def _handle_with_body(
    context: ApiContext, endpoint: Endpoint, request: Request, reader: BodyReader
) -> Response:
    body = await reader.read(MAX_TEXT_BYTES + 1)
    request_with_body = Request(request.method, request.path, request.query, request.headers, body)
    return await endpoint.handler(context, request_with_body)


def _select_endpoint(request: Request) -> Endpoint:
    endpoint = find_endpoint(request.method, request.path)
    if endpoint is not None:
        return endpoint
    methods = list_methods(request.path)
    if not methods:
        problem = Problem(ProblemKind.NOT_FOUND, "unknown path", "see the API description")
        raise HttpError(404, problem)
    allowed = ", ".join(methods)
    problem = Problem(ProblemKind.METHOD_NOT_ALLOWED, "method not allowed", f"use {allowed}")
    raise HttpError(405, problem, {"allow": allowed})


def _authorize(context: ApiContext, request: Request) -> None:
    credentials = request.headers.get("authorization", "").encode("latin-1")
    expected_credentials = f"Bearer {context.settings.admin_token}".encode()
    if not hmac.compare_digest(credentials, expected_credentials):
        context.ports.events.emit(events.REQUEST_UNAUTHORIZED)
        remedy = "send 'Authorization: Bearer' with the token of the daemon's settings"
        problem = Problem(ProblemKind.UNAUTHORIZED, "the token is missing or wrong", remedy)
        raise HttpError(401, problem, {"www-authenticate": "Bearer"})


def _build_error_response(context: ApiContext, error: Exception) -> Response:
    match error:
        case HttpError():
            return Response(error.problem, error.status, error.headers)
        case InvalidDocument():
            context.ports.events.emit(events.DOCUMENT_REFUSED, findings=len(error.findings))
            message = f"the document has {len(error.findings)} findings"
            problem = Problem(
                ProblemKind.INVALID_DOCUMENT, message, "fix each finding", findings=error.findings
            )
            return Response(problem, 422)
        case AcceptanceUnknown():
            remedy = "retry with the same change id"
            problem = Problem(ProblemKind.OUTCOME_UNKNOWN, str(error), remedy, change=error.change)
            return Response(problem, 503, RETRY_AFTER_HEADERS)
        case StoreOutcomeUnknown():
            problem = Problem(
                ProblemKind.OUTCOME_UNKNOWN, str(error), "retry with the same change id"
            )
            return Response(problem, 503, RETRY_AFTER_HEADERS)
        case StoreWentBack():
            remedy = (
                f"to continue from version {error.held_version}, "
                f"apply with --if-version {error.held_version}"
            )
            problem = Problem(
                ProblemKind.STORE_WENT_BACK, str(error), remedy, current=error.stored_version
            )
            return Response(problem, 409)
        case StoreUnavailable():
            problem = Problem(ProblemKind.STORE_UNAVAILABLE, str(error), "retry later")
            return Response(problem, 503, RETRY_AFTER_HEADERS)
        case GodwitpassError():
            context.ports.events.emit(events.REQUEST_FAILED, error=str(error))
            return Response(Problem(ProblemKind.INTERNAL, str(error), "see the daemon's log"), 500)
        case _:
            # The message may contain parts of the request, so only the type is reported.
            context.ports.events.emit(events.REQUEST_FAILED, error=type(error).__name__)
            return Response(
                Problem(
                    ProblemKind.INTERNAL, "internal error of the daemon", "see the daemon's log"
                ),
                500,
            )
