"""Options that several commands share."""

import uuid
from typing import Annotated

import typer

from godwitpass.ids import ChangeId
from godwitpass_cli.session import OutputForm, Session


def _choose_output(context: typer.Context, output: OutputForm) -> OutputForm:
    session = context.find_object(Session)
    if session is not None:
        session.output = output
    return output


Output = Annotated[
    OutputForm,
    typer.Option("--output", "-o", help="Form of the result.", callback=_choose_output),
]
IfVersion = Annotated[
    int | None,
    typer.Option("--if-version", min=0, help="Refuse unless this version is in force."),
]
Change = Annotated[
    str | None,
    typer.Option("--change-id", help="Makes a repeat take effect once; random by default."),
]
Wait = Annotated[
    float | None,
    typer.Option("--wait", min=0.0, help="Seconds to wait until it is in force everywhere."),
]


def find_session(context: typer.Context) -> Session:
    """Return the session of this run."""
    session = context.find_object(Session)
    assert session is not None, "the entry point passes a session"
    return session


def choose_change(given: str | None) -> ChangeId:
    """Return the change id given, or a new one."""
    return ChangeId(given or uuid.uuid4().hex)
