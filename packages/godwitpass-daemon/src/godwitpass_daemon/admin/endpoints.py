"""The route table of the administration API, which also gives its OpenAPI description."""

from collections.abc import Awaitable, Callable

import msgspec

from godwitpass import administration as messages
from godwitpass.document import Document
from godwitpass_daemon.admin import handlers
from godwitpass_daemon.admin.handlers import Api
from godwitpass_daemon.admin.http import Answer, Request

Handler = Callable[[Api, Request], Awaitable[Answer]]


class Parameter(msgspec.Struct, frozen=True):
    """One optional parameter; `place` is `query` or `header`."""

    name: str
    summary: str
    place: str = "query"
    is_number: bool = True


class Endpoint(msgspec.Struct, frozen=True):
    """One operation; a `result` of None is plain text, `problems` are its statuses of refusal."""

    method: str
    path: str
    handler: Handler
    result: type[msgspec.Struct] | None
    body: type[msgspec.Struct] | None = None
    parameters: tuple[Parameter, ...] = ()
    problems: tuple[int, ...] = ()
    is_open: bool = False


CHANGE = Parameter(
    messages.CHANGE_HEADER, "Makes a repeated write take effect once.", "header", is_number=False
)
IF_MATCH = Parameter(
    "If-Match", "Version that the write builds on; `*` for any.", "header", is_number=False
)
IF_VERSION = Parameter("if_version", "The same as `If-Match`.")
WRITE = (CHANGE, IF_MATCH, IF_VERSION)
WRITE_PROBLEMS = (400, 408, 409, 413, 503)

ENDPOINTS = (
    Endpoint(
        "PUT",
        "/v1/document",
        handlers.put_document,
        messages.VersionRecord,
        Document,
        WRITE,
        (*WRITE_PROBLEMS, 422),
    ),
    Endpoint(
        "GET",
        "/v1/document",
        handlers.get_document,
        messages.VersionedDocument,
        parameters=(Parameter("version", "An earlier version."),),
        problems=(400, 404, 503),
    ),
    Endpoint(
        "POST",
        "/v1/validate",
        handlers.validate_document,
        messages.ValidationResult,
        Document,
        problems=(408, 413, 422),
    ),
    Endpoint(
        "GET",
        "/v1/diff",
        handlers.diff_versions,
        messages.Comparison,
        parameters=(
            Parameter("from", "The older version; the one before `to` by default."),
            Parameter("to", "The newer version; the one in force by default."),
        ),
        problems=(400, 404, 503),
    ),
    Endpoint("GET", "/v1/history", handlers.list_history, messages.History, problems=(503,)),
    Endpoint(
        "POST",
        "/v1/rollback",
        handlers.roll_back,
        messages.VersionRecord,
        messages.RollbackRequest,
        WRITE,
        (*WRITE_PROBLEMS, 404),
    ),
    Endpoint("GET", "/v1/status", handlers.get_status, messages.Status),
    Endpoint(
        "GET",
        "/v1/timeline",
        handlers.get_timeline,
        messages.Timeline,
        parameters=(Parameter("after", "Only events with a later sequence."),),
        problems=(400,),
    ),
    Endpoint("POST", "/v1/drain", handlers.drain, messages.DrainResult, problems=(404,)),
    Endpoint("GET", "/healthz", handlers.check_health, None, is_open=True),
    Endpoint("GET", "/readyz", handlers.check_readiness, None, problems=(503,), is_open=True),
    Endpoint("GET", "/metrics", handlers.get_metrics, None),
)


def list_methods(path: str) -> list[str]:
    """Return the methods that `path` takes."""
    return [endpoint.method for endpoint in ENDPOINTS if endpoint.path == path]


def find_endpoint(method: str, path: str) -> Endpoint | None:
    """Return the endpoint for a request, if there is one."""
    matching = (item for item in ENDPOINTS if (item.method, item.path) == (method, path))
    return next(matching, None)
