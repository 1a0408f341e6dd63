"""What each endpoint of the administration API does."""

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
from godwitpass_daemon.admin.http import Answer, Refusal, Request, refuse_request
from godwitpass_daemon.admin.metrics import METRICS_CONTENT_TYPE, render_metrics
from godwitpass_daemon.admin.ports import Ports
from godwitpass_daemon.settings import Settings

MAX_DIFFERENCES = 100
"""Differences named to the loser of a race."""

_CHANGE_ID = re.compile(rf"[A-Za-z0-9._-]{{1,{MAX_CHANGE_ID_CHARS}}}")
_ETAG = re.compile(r'"?([0-9]{1,15})"?')


class Api(msgspec.Struct, frozen=True):
    """The daemon as the handlers see it."""

    settings: Settings
    ports: Ports


async def put_document(api: Api, request: Request) -> Answer:
    """Accept the document in the body as the next version."""
    change, if_version = read_change(request), read_precondition(request)
    return await _accept(api, read_document(request.body), change, if_version)


async def validate_document(api: Api, request: Request) -> Answer:
    """Check the document in the body and tell what it would change."""
    document = read_document(request.body)
    current = _get_current(api)
    differences = tuple(compare_documents(current.document, document))
    return Answer(ValidationResult(hash_content(encode_canonical(document)), differences))


async def get_document(api: Api, request: Request) -> Answer:
    """Return the version in force, or an earlier one."""
    version = read_version(request, "version")
    if version is None:
        found = _get_current(api)
    else:
        found = VersionedDocument(version, await _load_version(api, version))
    return Answer(found, headers={"etag": f'"{found.version}"'})


async def diff_versions(api: Api, request: Request) -> Answer:
    """Return what differs between two versions, by default the last two."""
    newer = read_version(request, "to") or _get_current(api).version
    older = read_version(request, "from")
    if older is None:
        older = Version(max(newer - 1, NO_VERSION))
    old, new = await _load_version(api, older), await _load_version(api, newer)
    return Answer(Comparison(older, newer, tuple(compare_documents(old, new))))


async def list_history(api: Api, request: Request) -> Answer:
    """Return the accepted versions, newest first."""
    accepted = await api.ports.acceptance.history()
    records = [VersionRecord(item.version, item.change, item.content_hash) for item in accepted]
    records.sort(key=lambda record: record.version, reverse=True)
    return Answer(History(tuple(records)))


async def roll_back(api: Api, request: Request) -> Answer:
    """Accept the content of an earlier version as the next version."""
    change, if_version = read_change(request), read_precondition(request)
    try:
        target = msgspec.json.decode(request.body, type=RollbackRequest).to_version
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise refuse_request(f"not a rollback: {error}", 'send {"to_version": 7}') from error
    return await _accept(api, await _load_version(api, target), change, if_version)


async def get_status(api: Api, request: Request) -> Answer:
    """Return what this daemon holds and how far the newest version has spread."""
    settings, spread = api.settings, api.ports.spread()
    version = _get_current(api).version
    return Answer(Status(settings.instance, settings.zone, settings.region, version, spread))


async def get_timeline(api: Api, request: Request) -> Answer:
    """Return the events that this daemon keeps, after a sequence if given."""
    after = read_version(request, "after") or 0
    return Answer(Timeline(tuple(api.ports.events.list_events(after))))


async def drain(api: Api, request: Request) -> Answer:
    """Announce that the upstream beside this daemon takes no new calls."""
    if api.settings.upstream is None:
        problem = Problem(ProblemKind.NOT_FOUND, "no upstream beside this daemon", "ask another")
        raise Refusal(404, problem)
    api.ports.drain()
    api.ports.events.emit(events.DRAIN_REQUESTED)
    return Answer(DrainResult(api.settings.instance, UpstreamState.DRAINING))


async def check_health(api: Api, request: Request) -> Answer:
    """Tell that the process answers."""
    return Answer("ok\n", content_type="text/plain")


async def check_readiness(api: Api, request: Request) -> Answer:
    """Tell whether the daemon holds a version and can take calls."""
    if api.ports.snapshot() is None:
        problem = Problem(ProblemKind.NOT_READY, "no version is held yet", "ask again later")
        raise Refusal(503, problem)
    return Answer("ready\n", content_type="text/plain")


async def get_metrics(api: Api, request: Request) -> Answer:
    """Return the metrics in the text form of scrapers."""
    return Answer(render_metrics(api.ports.metrics()), content_type=METRICS_CONTENT_TYPE)


def read_change(request: Request) -> ChangeId:
    """Return the change id of a write, a new one when none is given."""
    given = request.headers.get(CHANGE_HEADER.lower())
    if given is None:
        return ChangeId(uuid.uuid4().hex)
    if not _CHANGE_ID.fullmatch(given):
        remedy = f"use 1 to {MAX_CHANGE_ID_CHARS} letters, digits, '.', '_' and '-'"
        raise refuse_request(f"malformed header {CHANGE_HEADER}", remedy)
    return ChangeId(given)


def read_precondition(request: Request) -> Version | None:
    """Return the version that a write builds on, if it names one."""
    given = request.headers.get("if-match", "*").strip()
    if given == "*":
        return read_version(request, "if_version")
    return _parse_version(given, "header If-Match")


def read_version(request: Request, name: str) -> Version | None:
    """Return the number in the query parameter `name`, if given."""
    given = request.query.get(name)
    return None if given is None else _parse_version(given, f"parameter {name}")


def _parse_version(given: str, place: str) -> Version:
    found = _ETAG.fullmatch(given)
    if found is None:
        raise refuse_request(f"malformed {place}", "write a version number, as 7")
    return Version(int(found[1]))


async def _accept(
    api: Api, document: Document, change: ChangeId, if_version: Version | None
) -> Answer:
    try:
        accepted = await api.ports.acceptance.accept(document, change, if_version)
    except VersionConflict as error:
        api.ports.events.emit(events.CONFLICT, change=change, current=error.current)
        raise await _explain_conflict(api, document, change, error) from error
    api.ports.events.emit(events.DOCUMENT_WRITTEN, change=change, accepted=accepted.version)
    record = VersionRecord(accepted.version, accepted.change, accepted.content_hash)
    return Answer(record, headers={"etag": f'"{record.version}"'})


async def _explain_conflict(
    api: Api, document: Document, change: ChangeId, conflict: VersionConflict
) -> Refusal:
    try:
        current = await api.ports.acceptance.content(conflict.current)
    except GodwitpassError:
        current = None
    differences = compare_documents(current, document) if current is not None else []
    problem = Problem(
        ProblemKind.VERSION_CONFLICT,
        str(conflict),
        f"merge your changes into version {conflict.current} and apply with --if-version",
        current=conflict.current,
        winner=conflict.winner,
        change=change,
        differences=tuple(differences[:MAX_DIFFERENCES]),
    )
    return Refusal(409, problem)


def _get_current(api: Api) -> VersionedDocument:
    snapshot = api.ports.snapshot()
    if snapshot is None:
        return VersionedDocument(NO_VERSION, Document(DOCUMENT_FORMAT))
    return VersionedDocument(snapshot.version, snapshot.document)


async def _load_version(api: Api, version: Version) -> Document:
    current = _get_current(api)
    if version == current.version:
        return current.document
    if version == NO_VERSION:
        return Document(DOCUMENT_FORMAT)
    document = await api.ports.acceptance.content(version)
    if document is None:
        message = f"version {version} is not kept"
        raise Refusal(
            404, Problem(ProblemKind.NOT_FOUND, message, "see the history for those kept")
        )
    return document
