"""Renders the reference of `godwitctl` from its help texts."""

import contextlib
import io
import os
from unittest import mock

import typer

from godwitpass_cli.exit_codes import EXIT_CODE_MEANINGS
from godwitpass_cli.main import app, run

TERMINAL_WIDTH_CHARS = "80"


def render_commands() -> str:
    """Return a section with the help of each command, and one with the exit codes."""
    command = typer.main.get_command(app)
    names = list(getattr(command, "commands", {}))
    assert names, "godwitctl has no subcommands"
    sections = [_render_help("godwitctl", [])]
    sections += [_render_help(f"godwitctl {name}", [name]) for name in names]
    return "\n".join([*sections, _render_exit_codes()])


def _render_help(title: str, arguments: list[str]) -> str:
    output = io.StringIO()
    with (
        mock.patch.dict(os.environ, COLUMNS=TERMINAL_WIDTH_CHARS),
        contextlib.redirect_stdout(output),
    ):
        run([*arguments, "--help"])
    lines = [line.rstrip() for line in output.getvalue().strip().splitlines()]
    return "\n".join([f"## {title}", "", "```text", *lines, "```", ""])


def _render_exit_codes() -> str:
    rows = [f"| {code.value} | {meaning} |" for code, meaning in EXIT_CODE_MEANINGS.items()]
    return "\n".join(["## Exit codes", "", "| Code | Meaning |", "| --- | --- |", *rows, ""])
