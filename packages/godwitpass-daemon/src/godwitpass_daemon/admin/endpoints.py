"""Route table of the administration API, from which its OpenAPI description is generated."""

from collections.abc import Awaitable, Callable

import msgspec

from godwitpass import administration as messages
from godwitpass.document import Document
from godwitpass_daemon.admin import handlers
from godwitpass_daemon.admin.handlers import ApiContext
from godwitpass_daemon.admin.http import Request, Response

Handler = Callable[[ApiContext, Request], Awaitable[Response]]


class Parameter(msgspec.Struct, frozen=True):
    """One optional parameter; `location` is `query` or `header`."""

    name: str
    summary: str
    location: str = "query"
    is_number: bool = True


class Endpoint(msgspec.Struct, frozen=True):
    """One operation; without a `result_type` it returns plain text.

    `error_statuses` are the HTTP statuses of its problems; a public endpoint needs no token.
    """

    method: str
    path: str
    handler: Handler
    result_type: type[msgspec.Struct] | None
    body_type: type[msgspec.Struct] | None = None
    parameters: tuple[Parameter, ...] = ()
    error_statuses: tuple[int, ...] = ()
    is_public: bool = False


CHANGE_ID_PARAMETER = Parameter(
    messages.CHANGE_HEADER,
    "Idempotency key of a write: repeated writes with the same id take effect once.",
    "header",
    is_number=False,
)
IF_MATCH_PARAMETER = Parameter(
    "If-Match", "Version that the write is based on; `*` for any.", "header", is_number=False
)
IF_VERSION_PARAMETER = Parameter("if_version", "Alternative to the `If-Match` header.")
WRITE_PARAMETERS = (CHANGE_ID_PARAMETER, IF_MATCH_PARAMETER, IF_VERSION_PARAMETER)
WRITE_ERROR_STATUSES = (400, 408, 409, 413, 503)

ENDPOINTS = (
    Endpoint(
        "PUT",
        "/v1/document",
        handlers.put_document,
        messages.VersionRecord,
        Document,
        WRITE_PARAMETERS,
        (*WRITE_ERROR_STATUSES, 422),
    ),
    Endpoint(
        "GET",
        "/v1/document",
        handlers.get_document,
        messages.VersionedDocument,
        parameters=(Parameter("version", "An earlier version."),),
        error_statuses=(400, 404, 503),
    ),
    Endpoint(
        "POST",
        "/v1/validate",
        handlers.validate_document,
        messages.ValidationResult,
        Document,
        error_statuses=(408, 413, 422),
    ),
    Endpoint(
        "GET",
        "/v1/diff",
        handlers.diff_versions,
        messages.Comparison,
        parameters=(
            Parameter("from", "Older version; by default the one before `to`."),
            Parameter("to", "Newer version; by default the active one."),
        ),
        error_statuses=(400, 404, 503),
    ),
    Endpoint("GET", "/v1/history", handlers.list_history, messages.History, error_statuses=(503,)),
    Endpoint(
        "POST",
        "/v1/rollback",
        handlers.roll_back,
        messages.VersionRecord,
        messages.RollbackRequest,
        WRITE_PARAMETERS,
        (*WRITE_ERROR_STATUSES, 404),
    ),
    Endpoint("GET", "/v1/status", handlers.get_status, messages.Status),
    Endpoint(
        "GET",
        "/v1/timeline",
        handlers.get_timeline,
        messages.Timeline,
        parameters=(Parameter("after", "Return only events with a higher sequence number."),),
        error_statuses=(400,),
    ),
    Endpoint("POST", "/v1/drain", handlers.drain, messages.DrainResult, error_statuses=(404,)),
    Endpoint("GET", "/healthz", handlers.check_health, None, is_public=True),
    Endpoint(
        "GET", "/readyz", handlers.check_readiness, None, error_statuses=(503,), is_public=True
    ),
    Endpoint("GET", "/metrics", handlers.get_metrics, None),
)


def list_methods(path: str) -> list[str]:
    """Return the HTTP methods that `path` supports."""
    return [endpoint.method for endpoint in ENDPOINTS if endpoint.path == path]


def find_endpoint(method: str, path: str) -> Endpoint | None:
    """Return the endpoint that matches a request, if any."""
    matching = (item for item in ENDPOINTS if (item.method, item.path) == (method, path))
    return next(matching, None)
