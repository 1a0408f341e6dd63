"""Commands on documents and their versions."""

import sys
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
from godwitpass.ids import NO_VERSION, Version
from godwitpass.internal.codec import encode_canonical, hash_content
from godwitpass_cli.client import Call, write_headers
from godwitpass_cli.exit_codes import ExitCode
from godwitpass_cli.errors import CommandError
from godwitpass_cli.options import Change, IfVersion, Output, Wait, choose_change, find_session
from godwitpass_cli.session import OutputForm, Session
from godwitpass_cli.waiting import wait_until_in_force

STANDARD_INPUT = "-"

File = Annotated[Path, typer.Argument(help="Document in JSON with comments; - for standard input.")]


def validate(context: typer.Context, file: File, output: Output = OutputForm.TABLE) -> None:
    """Check a document without asking any daemon."""
    session = find_session(context)
    document = read_document(_read_file(file), str(file))
    differences = tuple(compare_documents(Document(DOCUMENT_FORMAT), document))
    result = ValidationResult(hash_content(encode_canonical(document)), differences)
    if session.print_message(result):
        return
    counts = f"{len(document.services)} services, {len(document.routes)} routes"
    session.print_text(f"{file}: valid; {counts}, {len(document.policies)} policies")


def apply(
    context: typer.Context,
    file: File,
    if_version: IfVersion = None,
    change_id: Change = None,
    wait: Wait = None,
    output: Output = OutputForm.TABLE,
) -> None:
    """Make a document the next version."""
    content = _read_file(file)
    read_document(content, str(file))
    _write(find_session(context), Call("PUT", "/v1/document", content), if_version, change_id, wait)


def rollback(
    context: typer.Context,
    version: Annotated[int, typer.Argument(min=1, help="Version whose content comes back.")],
    if_version: IfVersion = None,
    change_id: Change = None,
    wait: Wait = None,
    output: Output = OutputForm.TABLE,
) -> None:
    """Make the content of an earlier version the next version."""
    body = msgspec.json.encode(RollbackRequest(Version(version)))
    _write(find_session(context), Call("POST", "/v1/rollback", body), if_version, change_id, wait)


def get(
    context: typer.Context,
    version: Annotated[
        int | None, typer.Option("--version", min=1, help="An earlier version.")
    ] = None,
    output: Output = OutputForm.TABLE,
) -> None:
    """Print the document in force, ready to be edited and applied."""
    session = find_session(context)
    found = _fetch(session, version)
    if session.print_message(found):
        return
    text = msgspec.json.format(msgspec.json.encode(found.document), indent=2).decode()
    session.print_text(f"// version {found.version}\n{text}")


def diff(
    context: typer.Context,
    file: Annotated[
        Path | None, typer.Argument(help="Document to compare with the version in force.")
    ] = None,
    older: Annotated[
        int | None, typer.Option("--from", min=0, help="Older version; the one before by default.")
    ] = None,
    newer: Annotated[
        int | None, typer.Option("--to", min=1, help="Newer version; the last one by default.")
    ] = None,
    output: Output = OutputForm.TABLE,
) -> None:
    """Show what differs between two versions, or the one in force and a file."""
    session = find_session(context)
    if file is None:
        given = {"from": older, "to": newer}
        query = "&".join(f"{name}={value}" for name, value in given.items() if value is not None)
        comparison = session.connect().call(Call("GET", f"/v1/diff?{query}"), Comparison)
    elif older is not None or newer is not None:
        message = "a file and --from or --to are given"
        raise CommandError(ExitCode.USAGE, message, "compare either a file or two versions")
    else:
        document = read_document(_read_file(file), str(file))
        current = _fetch(session, None)
        differences = tuple(compare_documents(current.document, document))
        comparison = Comparison(current.version, NO_VERSION, differences)
    if not session.print_message(comparison):
        _print_differences(session, comparison, str(file) if file is not None else None)


def history(context: typer.Context, output: Output = OutputForm.TABLE) -> None:
    """List the accepted versions that are kept."""
    session = find_session(context)
    found = session.connect().call(Call("GET", "/v1/history"), History)
    if not session.print_message(found):
        rows = [(item.version, item.change, item.content_hash) for item in found.versions]
        session.print_table(("VERSION", "CHANGE", "CONTENT"), rows)


def _write(
    session: Session,
    call: Call,
    if_version: int | None,
    change_id: str | None,
    wait_s: float | None,
) -> None:
    change = choose_change(change_id)
    precondition = None if if_version is None else Version(if_version)
    headers = write_headers(change, precondition)
    call = msgspec.structs.replace(call, headers=headers)
    try:
        record = session.connect().call(call, VersionRecord)
    except CommandError as error:
        if error.code is not ExitCode.OUTCOME_UNKNOWN:
            raise
        remedy = f"repeat it with --change-id {change}"
        raise CommandError(error.code, error.message, remedy) from error
    if not session.print_message(record):
        session.print_text(f"accepted as version {record.version} (change {record.change})")
    if wait_s is not None:
        status = wait_until_in_force(session, record.version, wait_s)
        if session.output is OutputForm.TABLE:
            session.print_text(f"in force on all {status.spread.total} daemons")


def _fetch(session: Session, version: int | None) -> VersionedDocument:
    query = "" if version is None else f"?version={version}"
    return session.connect().call(Call("GET", f"/v1/document{query}"), VersionedDocument)


def _print_differences(session: Session, comparison: Comparison, file: str | None) -> None:
    newer = file or f"version {comparison.newer}"
    if not comparison.differences:
        session.print_text(f"version {comparison.older} and {newer} are equal")
        return
    session.print_text(f"from version {comparison.older} to {newer}:")
    rows = [_list_cells(item) for item in comparison.differences]
    session.print_table(("SECTION", "NAME", "CHANGE", "FIELDS"), rows)


def _list_cells(item: Difference) -> tuple[str, ...]:
    return item.section, item.name, item.alteration.value, ", ".join(item.fields)


def _read_file(path: Path) -> bytes:
    try:
        if str(path) == STANDARD_INPUT:
            return sys.stdin.buffer.read()
        return path.read_bytes()
    except OSError as error:
        message = f"{path} can't be read: {error.strerror}"
        raise CommandError(ExitCode.INVALID_INPUT, message, "correct the path") from error
