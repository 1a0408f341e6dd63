"""Options that are shared by several commands."""

import uuid
from typing import Annotated

import typer

from godwitpass.ids import ChangeId
from godwitpass_cli.session import OutputFormat, Session


def _choose_output(context: typer.Context, output: OutputFormat) -> OutputFormat:
    session = context.find_object(Session)
    if session is not None:
        session.output = output
    return output


OutputOption = Annotated[
    OutputFormat,
    typer.Option("--output", "-o", help="Output format.", callback=_choose_output),
]
IfVersionOption = Annotated[
    int | None,
    typer.Option("--if-version", min=0, help="Fail unless this is the newest accepted version."),
]
ChangeIdOption = Annotated[
    str | None,
    typer.Option(
        "--change-id",
        help="Idempotency key: retries with the same id take effect once; random by default.",
    ),
]
WaitOption = Annotated[
    float | None,
    typer.Option(
        "--wait", min=0.0, help="Seconds to wait until the version is in force on all daemons."
    ),
]


def find_session(context: typer.Context) -> Session:
    """Return the session of this invocation."""
    session = context.find_object(Session)
    assert session is not None, "the entry point passes a session"
    return session


def choose_change_id(change_id: str | None) -> ChangeId:
    """Return `change_id`, or a random one if it is not given."""
    return ChangeId(change_id or uuid.uuid4().hex)
