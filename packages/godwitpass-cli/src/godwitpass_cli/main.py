"""The `godwitctl` command and its global options."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from godwitpass.errors import GodwitpassError
from godwitpass_cli import documents, observation
from godwitpass_cli.configuration import load_configuration
from godwitpass_cli.errors import find_exit_code
from godwitpass_cli.exit_codes import ExitCode
from godwitpass_cli.options import find_session
from godwitpass_cli.session import Session

app = typer.Typer(
    name="godwitctl", no_args_is_help=True, pretty_exceptions_enable=False, rich_markup_mode=None
)

for command in (
    documents.validate,
    documents.apply,
    documents.get,
    documents.diff,
    documents.history,
    documents.rollback,
    observation.status,
    observation.timeline,
    observation.explain,
    observation.failures,
    observation.customers,
    observation.drain,
):
    app.command()(command)


@app.callback()
def configure(
    context: typer.Context,
    address: Annotated[
        list[str] | None,
        typer.Option(
            envvar="GODWITCTL_ADDRESSES",
            help="Administration address of a daemon; repeat it to try several in order.",
        ),
    ] = None,
    token: Annotated[
        str | None, typer.Option(envvar="GODWITCTL_TOKEN", help="Token of operators.")
    ] = None,
    token_file: Annotated[
        Path | None, typer.Option(envvar="GODWITCTL_TOKEN_FILE", help="File with the token.")
    ] = None,
    config: Annotated[
        Path | None,
        typer.Option(
            envvar="GODWITCTL_CONFIG",
            help="Configuration file; by default ~/.config/godwitctl.json, if it exists.",
        ),
    ] = None,
) -> None:
    """Operate a godwitpass deployment through its administration API."""
    session = find_session(context)
    session.configuration = load_configuration(config, address or [], token, token_file)


def main() -> None:
    """Run the command line and exit with one of the documented exit codes."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run the command line with `arguments` and return the exit code."""
    session = Session()
    try:
        app(args=arguments, prog_name="godwitctl", obj=session)
    except GodwitpassError as error:
        session.print_error(error)
        return find_exit_code(error)
    except SystemExit as exit_request:
        return exit_request.code if isinstance(exit_request.code, int) else ExitCode.FAULT
    finally:
        session.close()
    return ExitCode.DONE


if __name__ == "__main__":
    main()
