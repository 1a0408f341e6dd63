"""Handlers of the endpoints of the administration API."""

import re
import uuid

import msgspec

from godwitpass.administration import (
    CHANGE_HEADER,
    MAX_CHANGE_ID_CHARS,
    Comparison,
    DrainResult,
    History,
    Problem,
    ProblemKind,
    RollbackRequest,
    Status,
    Timeline,
    ValidationResult,
    VersionedDocument,
    VersionRecord,
)
from godwitpass.difference import compare_documents
from godwitpass.document import DOCUMENT_FORMAT, Document, read_document
from godwitpass.errors import GodwitpassError, VersionConflict
from godwitpass.ids import NO_VERSION, ChangeId, Version
from godwitpass.internal.codec import encode_canonical, hash_content
from godwitpass.mesh import UpstreamState
from godwitpass_daemon.admin import events
from godwitpass_daemon.admin.http import HttpError, Request, Response, build_bad_request_error
from godwitpass_daemon.admin.metrics import METRICS_CONTENT_TYPE, render_metrics
from godwitpass_daemon.admin.ports import Ports
from godwitpass_daemon.settings import Settings

MAX_REPORTED_DIFFERENCES = 100
"""Differences listed in the response to a write that conflicts with another one."""

_CHANGE_ID_PATTERN = re.compile(rf"[A-Za-z0-9._-]{{1,{MAX_CHANGE_ID_CHARS}}}")
_VERSION_PATTERN = re.compile(r'"?([0-9]{1,15})"?')


class ApiContext(msgspec.Struct, frozen=True):
    """What the handlers use of the daemon: its settings and other services."""

    settings: Settings
    ports: Ports


async def put_document(context: ApiContext, request: Request) -> Response:
    """Accept the document in the body as the next version."""
    change_id, if_version = read_change_id(request), read_precondition(request)
    return await _accept_document(context, read_document(request.body), change_id, if_version)


async def validate_document(context: ApiContext, request: Request) -> Response:
    """Validate the document in the body and return what it would change."""
    document = read_document(request.body)
    current = _get_current_version(context)
    differences = tuple(compare_documents(current.document, document))
    return Response(ValidationResult(hash_content(encode_canonical(document)), differences))


async def get_document(context: ApiContext, request: Request) -> Response:
    """Return the active version, or an earlier one."""
    version = read_version_parameter(request, "version")
    if version is None:
        versioned_document = _get_current_version(context)
    else:
        versioned_document = VersionedDocument(version, await _load_document(context, version))
    return Response(versioned_document, headers={"etag": f'"{versioned_document.version}"'})


async def diff_versions(context: ApiContext, request: Request) -> Response:
    """Return the differences between two versions, by default the active one and the one before."""
    newer = read_version_parameter(request, "to") or _get_current_version(context).version
    older = read_version_parameter(request, "from")
    if older is None:
        older = Version(max(newer - 1, NO_VERSION))
    older_document, newer_document = await _load_document(context, older), await _load_document(
        context, newer
    )
    return Response(
        Comparison(older, newer, tuple(compare_documents(older_document, newer_document)))
    )


async def list_history(context: ApiContext, request: Request) -> Response:
    """Return the accepted versions, newest first."""
    accepted_versions = await context.ports.acceptance.list_versions()
    records = [
        VersionRecord(item.version, item.change, item.content_hash) for item in accepted_versions
    ]
    records.sort(key=lambda record: record.version, reverse=True)
    return Response(History(tuple(records)))


async def roll_back(context: ApiContext, request: Request) -> Response:
    """Accept the content of an earlier version as the next version."""
    change_id, if_version = read_change_id(request), read_precondition(request)
    try:
        target_version = msgspec.json.decode(request.body, type=RollbackRequest).to_version
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise build_bad_request_error(
            f"malformed rollback request: {error}", 'send {"to_version": 7}'
        ) from error
    return await _accept_document(
        context, await _load_document(context, target_version), change_id, if_version
    )


async def get_status(context: ApiContext, request: Request) -> Response:
    """Return the version this daemon holds and how many daemons hold the newest one."""
    settings, spread = context.settings, context.ports.get_spread()
    version = _get_current_version(context).version
    return Response(Status(settings.instance, settings.zone, settings.region, version, spread))


async def get_timeline(context: ApiContext, request: Request) -> Response:
    """Return the events that this daemon keeps, optionally after a sequence number."""
    after = read_version_parameter(request, "after") or 0
    return Response(Timeline(tuple(context.ports.events.list_events(after))))


async def drain(context: ApiContext, request: Request) -> Response:
    """Announce that the upstream of this daemon accepts no new calls."""
    if context.settings.upstream is None:
        problem = Problem(
            ProblemKind.NOT_FOUND,
            "this daemon has no upstream",
            "send the request to the upstream's own daemon",
        )
        raise HttpError(404, problem)
    context.ports.drain_upstream()
    context.ports.events.emit(events.DRAIN_REQUESTED)
    return Response(DrainResult(context.settings.instance, UpstreamState.DRAINING))


async def check_health(context: ApiContext, request: Request) -> Response:
    """Report that the process responds."""
    return Response("ok\n", content_type="text/plain")


async def check_readiness(context: ApiContext, request: Request) -> Response:
    """Report whether the daemon holds a version and can accept calls."""
    if context.ports.get_snapshot() is None:
        problem = Problem(ProblemKind.NOT_READY, "the daemon holds no version yet", "retry later")
        raise HttpError(503, problem)
    return Response("ready\n", content_type="text/plain")


async def get_metrics(context: ApiContext, request: Request) -> Response:
    """Return the metrics in the Prometheus text format."""
    return Response(
        render_metrics(context.ports.collect_metrics()), content_type=METRICS_CONTENT_TYPE
    )


def read_change_id(request: Request) -> ChangeId:
    """Return the change id of a write, or a random one if the request has none."""
    header = request.headers.get(CHANGE_HEADER.lower())
    if header is None:
        return ChangeId(uuid.uuid4().hex)
    if not _CHANGE_ID_PATTERN.fullmatch(header):
        remedy = f"use 1 to {MAX_CHANGE_ID_CHARS} letters, digits, '.', '_' and '-'"
        raise build_bad_request_error(f"malformed header {CHANGE_HEADER}", remedy)
    return ChangeId(header)


def read_precondition(request: Request) -> Version | None:
    """Return the version that a write is based on, if the request names one."""
    header = request.headers.get("if-match", "*").strip()
    if header == "*":
        return read_version_parameter(request, "if_version")
    return _parse_version(header, "header If-Match")


def read_version_parameter(request: Request, name: str) -> Version | None:
    """Return the number in the query parameter `name`, or None without it."""
    text = request.query.get(name)
    return None if text is None else _parse_version(text, f"parameter {name}")


def _parse_version(text: str, location: str) -> Version:
    match = _VERSION_PATTERN.fullmatch(text)
    if match is None:
        raise build_bad_request_error(f"malformed {location}", "use a version number such as 7")
    return Version(int(match[1]))


async def _accept_document(
    context: ApiContext, document: Document, change_id: ChangeId, if_version: Version | None
) -> Response:
    try:
        accepted = await context.ports.acceptance.accept(document, change_id, if_version)
    except VersionConflict as error:
        context.ports.events.emit(events.DOCUMENT_CONFLICT, change=change_id, current=error.current)
        raise await _build_conflict_error(context, document, change_id, error) from error
    context.ports.events.emit(events.DOCUMENT_WRITTEN, change=change_id, accepted=accepted.version)
    record = VersionRecord(accepted.version, accepted.change, accepted.content_hash)
    return Response(record, headers={"etag": f'"{record.version}"'})


async def _build_conflict_error(
    context: ApiContext, document: Document, change_id: ChangeId, conflict: VersionConflict
) -> HttpError:
    try:
        current = await context.ports.acceptance.load_document(conflict.current)
    except GodwitpassError:
        current = None
    differences = compare_documents(current, document) if current is not None else []
    problem = Problem(
        ProblemKind.VERSION_CONFLICT,
        str(conflict),
        f"merge your changes into version {conflict.current}, then apply with --if-version",
        current=conflict.current,
        winner=conflict.winner,
        change=change_id,
        differences=tuple(differences[:MAX_REPORTED_DIFFERENCES]),
    )
    return HttpError(409, problem)


def _get_current_version(context: ApiContext) -> VersionedDocument:
    snapshot = context.ports.get_snapshot()
    if snapshot is None:
        return VersionedDocument(NO_VERSION, Document(DOCUMENT_FORMAT))
    return VersionedDocument(snapshot.version, snapshot.document)


async def _load_document(context: ApiContext, version: Version) -> Document:
    current = _get_current_version(context)
    if version == current.version:
        return current.document
    if version == NO_VERSION:
        return Document(DOCUMENT_FORMAT)
    document = await context.ports.acceptance.load_document(version)
    if document is None:
        message = f"version {version} is not kept"
        raise HttpError(
            404, Problem(ProblemKind.NOT_FOUND, message, "list the kept versions with /v1/history")
        )
    return document
