"""State of one run of the command: where to ask and how to print."""

import sys
from collections.abc import Sequence
from enum import Enum

import msgspec
from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.table import Table

from godwitpass.administration import Problem
from godwitpass.errors import Finding, GodwitpassError, InvalidInput
from godwitpass_cli.client import Client
from godwitpass_cli.configuration import Configuration
from godwitpass_cli.errors import RequestRefused, find_exit_code

PIPE_WIDTH_CHARS = 240
"""Width of tables that do not go to a terminal, so that no cell is cut."""


class OutputForm(Enum):
    """How results are printed."""

    TABLE = "table"
    JSON = "json"


class ErrorReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """An error as scripts read it."""

    error: str
    exit_code: int
    problem: Problem | None = None
    findings: tuple[Finding, ...] = ()


class Session:
    """Configuration, client and output of one run."""

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.output = OutputForm.TABLE
        self._client: Client | None = None

    def connect(self) -> Client:
        """Return the client of the configured daemons."""
        if self._client is None:
            self._client = Client(self.configuration)
        return self._client

    def close(self) -> None:
        """Close the connections."""
        if self._client is not None:
            self._client.close()

    def print_message(self, message: msgspec.Struct) -> bool:
        """Print `message` as JSON if that was asked for; tell whether it was."""
        if self.output is not OutputForm.JSON:
            return False
        content = msgspec.json.encode(message)
        sys.stdout.write(msgspec.json.format(content, indent=2).decode() + "\n")
        return True

    def print_text(self, text: str) -> None:
        """Print one line."""
        sys.stdout.write(f"{text}\n")

    def print_table(self, headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
        """Print a table; without rows only its headings."""
        table = Table(*headings, box=SIMPLE_HEAD, pad_edge=False)
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        width = None if sys.stdout.isatty() else PIPE_WIDTH_CHARS
        console = Console(width=width, markup=False, highlight=False)
        with console.capture() as captured:
            console.print(table)
        lines = [line.rstrip() for line in captured.get().splitlines()]
        self.print_text("\n".join(lines).rstrip())

    def print_error(self, error: GodwitpassError) -> None:
        """Print `error` in the form of the output, on standard error."""
        if self.output is OutputForm.JSON:
            sys.stderr.write(msgspec.json.encode(_build_report(error)).decode() + "\n")
        else:
            sys.stderr.write(f"godwitctl: {error}\n")


def _build_report(error: GodwitpassError) -> ErrorReport:
    problem = error.problem if isinstance(error, RequestRefused) else None
    findings = error.findings if isinstance(error, InvalidInput) else ()
    return ErrorReport(str(error), find_exit_code(error), problem, findings)
