"""Commands that validate, apply, show and compare documents and their versions."""

import sys
from enum import IntEnum
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from godwitpass.administration import (
    Comparison,
    History,
    RollbackRequest,
    ValidationResult,
    VersionedDocument,
    VersionRecord,
)
from godwitpass.difference import Difference, compare_documents
from godwitpass.document import DOCUMENT_FORMAT, Document, read_document
from godwitpass.errors import Finding
from godwitpass.ids import NO_VERSION, Version
from godwitpass.internal.codec import encode_canonical, hash_content
from godwitpass.internal.validation.review import UnreadableDocument, review_document
from godwitpass_cli.client import ApiRequest, build_write_headers
from godwitpass_cli.errors import CommandError
from godwitpass_cli.exit_codes import ExitCode
from godwitpass_cli.options import (
    ChangeIdOption,
    IfVersionOption,
    OutputOption,
    WaitOption,
    choose_change_id,
    find_session,
)
from godwitpass_cli.session import OutputFormat, Session
from godwitpass_cli.waiting import wait_until_in_force

STANDARD_INPUT_PATH = "-"


class CheckStatus(IntEnum):
    """Exit status of `check`, which differs from that of other commands as linters' does."""

    FINE = 0
    FINDINGS = 1
    UNREADABLE = 2


DocumentFile = Annotated[
    Path, typer.Argument(help="Document in JSON with comments; - for standard input.")
]


def validate(
    context: typer.Context, file: DocumentFile, output: OutputOption = OutputFormat.TABLE
) -> None:
    """Validate a document without contacting a daemon."""
    session = find_session(context)
    document = read_document(_read_file(file), str(file))
    differences = tuple(compare_documents(Document(DOCUMENT_FORMAT), document))
    result = ValidationResult(hash_content(encode_canonical(document)), differences)
    if session.print_if_json(result):
        return
    counts = f"{len(document.services)} services, {len(document.routes)} routes"
    session.print_text(f"{file}: valid; {counts}, {len(document.policies)} policies")


class CheckResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Findings about a document, and its differences from the version in force if that is known."""

    findings: tuple[Finding, ...]
    version: Version | None = None
    differences: tuple[Difference, ...] = ()


def check(
    context: typer.Context, file: DocumentFile, output: OutputOption = OutputFormat.TABLE
) -> None:
    """Find errors, entries without effect and contradicting limits in a document.

    The differences from the version in force are shown if a daemon is configured. Exits with 0
    without findings, 1 with findings, 2 if the file can't be read.
    """
    session = find_session(context)
    try:
        review = review_document(_read_file(file), str(file))
    except (CommandError, UnreadableDocument) as error:
        session.print_error(error)
        raise typer.Exit(CheckStatus.UNREADABLE) from error
    result = CheckResult(tuple(review.findings))
    if review.document is not None and session.configuration.addresses:
        current = _fetch_version(session, None)
        differences = tuple(compare_documents(current.document, review.document))
        result = CheckResult(result.findings, current.version, differences)
    if not session.print_if_json(result):
        for finding in result.findings:
            session.print_text(finding.render())
        if not result.findings:
            session.print_text(f"{file}: no findings")
        if result.version is not None:
            comparison = Comparison(result.version, NO_VERSION, result.differences)
            _print_differences(session, comparison, str(file))
    if result.findings:
        raise typer.Exit(CheckStatus.FINDINGS)


def apply(
    context: typer.Context,
    file: DocumentFile,
    if_version: IfVersionOption = None,
    change_id: ChangeIdOption = None,
    wait: WaitOption = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Submit a document as the next version."""
    content = _read_file(file)
    read_document(content, str(file))
    _submit_change(
        find_session(context),
        ApiRequest("PUT", "/v1/document", content),
        if_version,
        change_id,
        wait,
    )


def rollback(
    context: typer.Context,
    version: Annotated[int, typer.Argument(min=1, help="Version whose content is restored.")],
    if_version: IfVersionOption = None,
    change_id: ChangeIdOption = None,
    wait: WaitOption = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Submit the content of an earlier version as the next version."""
    body = msgspec.json.encode(RollbackRequest(Version(version)))
    _submit_change(
        find_session(context), ApiRequest("POST", "/v1/rollback", body), if_version, change_id, wait
    )


def get(
    context: typer.Context,
    version: Annotated[
        int | None, typer.Option("--version", min=1, help="An earlier version.")
    ] = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Print the active document, in a form that can be edited and applied."""
    session = find_session(context)
    versioned_document = _fetch_version(session, version)
    if session.print_if_json(versioned_document):
        return
    text = msgspec.json.format(msgspec.json.encode(versioned_document.document), indent=2).decode()
    session.print_text(f"// version {versioned_document.version}\n{text}")


def diff(
    context: typer.Context,
    file: Annotated[
        Path | None, typer.Argument(help="Document to compare with the active version.")
    ] = None,
    older: Annotated[
        int | None,
        typer.Option("--from", min=0, help="Older version; by default the one before the newer."),
    ] = None,
    newer: Annotated[
        int | None, typer.Option("--to", min=1, help="Newer version; by default the active one.")
    ] = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show the differences between two versions, or the active version and a file."""
    session = find_session(context)
    if file is None:
        version_range = {"from": older, "to": newer}
        query = "&".join(
            f"{name}={value}" for name, value in version_range.items() if value is not None
        )
        comparison = session.get_client().send(ApiRequest("GET", f"/v1/diff?{query}"), Comparison)
    elif older is not None or newer is not None:
        message = "both a file and --from or --to are given"
        raise CommandError(ExitCode.USAGE, message, "compare either a file or two versions")
    else:
        document = read_document(_read_file(file), str(file))
        current = _fetch_version(session, None)
        differences = tuple(compare_documents(current.document, document))
        comparison = Comparison(current.version, NO_VERSION, differences)
    if not session.print_if_json(comparison):
        _print_differences(session, comparison, str(file) if file is not None else None)


def history(context: typer.Context, output: OutputOption = OutputFormat.TABLE) -> None:
    """List the accepted versions that are kept."""
    session = find_session(context)
    accepted_history = session.get_client().send(ApiRequest("GET", "/v1/history"), History)
    if not session.print_if_json(accepted_history):
        rows = [
            (item.version, item.change, item.content_hash) for item in accepted_history.versions
        ]
        session.print_table(("VERSION", "CHANGE", "CONTENT"), rows)


def _submit_change(
    session: Session,
    request: ApiRequest,
    if_version: int | None,
    change_id: str | None,
    wait_s: float | None,
) -> None:
    submitted_change_id = choose_change_id(change_id)
    precondition = None if if_version is None else Version(if_version)
    headers = build_write_headers(submitted_change_id, precondition)
    request = msgspec.structs.replace(request, headers=headers)
    try:
        record = session.get_client().send(request, VersionRecord)
    except CommandError as error:
        if error.code is not ExitCode.OUTCOME_UNKNOWN:
            raise
        remedy = f"retry with --change-id {submitted_change_id}"
        raise CommandError(error.code, error.message, remedy) from error
    if not session.print_if_json(record):
        session.print_text(f"accepted as version {record.version} (change {record.change})")
    if wait_s is not None:
        status = wait_until_in_force(session, record.version, wait_s)
        if session.output is OutputFormat.TABLE:
            session.print_text(f"in force on all {status.spread.total} daemons")


def _fetch_version(session: Session, version: int | None) -> VersionedDocument:
    query = "" if version is None else f"?version={version}"
    return session.get_client().send(ApiRequest("GET", f"/v1/document{query}"), VersionedDocument)


def _print_differences(session: Session, comparison: Comparison, file: str | None) -> None:
    newer = file or f"version {comparison.newer}"
    if not comparison.differences:
        session.print_text(f"version {comparison.older} and {newer} are equal")
        return
    session.print_text(f"from version {comparison.older} to {newer}:")
    rows = [_build_row(item) for item in comparison.differences]
    session.print_table(("SECTION", "NAME", "CHANGE", "FIELDS"), rows)


def _build_row(item: Difference) -> tuple[str, ...]:
    return item.section, item.name, item.alteration.value, ", ".join(item.fields)


def _read_file(path: Path) -> bytes:
    try:
        if str(path) == STANDARD_INPUT_PATH:
            return sys.stdin.buffer.read()
        return path.read_bytes()
    except OSError as error:
        message = f"{path} can't be read: {error.strerror}"
        raise CommandError(ExitCode.INVALID_INPUT, message, "correct the path") from error
