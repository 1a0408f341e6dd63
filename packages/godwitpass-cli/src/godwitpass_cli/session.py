"""State of one invocation of the command: configuration, client and output format."""

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
from godwitpass_cli.errors import ApiError, find_exit_code

NON_TERMINAL_WIDTH_CHARS = 240
"""Width of tables that are not printed to a terminal; wide enough not to truncate cells."""


class OutputFormat(Enum):
    """Output format of results."""

    TABLE = "table"
    JSON = "json"


class ErrorReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """JSON form of an error, for scripts."""

    error: str
    exit_code: int
    problem: Problem | None = None
    findings: tuple[Finding, ...] = ()


class Session:
    """Configuration, client and output of one invocation."""

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.output = OutputFormat.TABLE
        self._client: Client | None = None

    def get_client(self) -> Client:
        """Return the client for the configured daemons; it is created at the first use."""
        if self._client is None:
            self._client = Client(self.configuration)
        return self._client

    def close(self) -> None:
        """Close the connections."""
        if self._client is not None:
            self._client.close()

    def print_if_json(self, result: msgspec.Struct) -> bool:
        """Print `result` as JSON if that is the output format; return whether it is."""
        if self.output is not OutputFormat.JSON:
            return False
        content = msgspec.json.encode(result)
        sys.stdout.write(msgspec.json.format(content, indent=2).decode() + "\n")
        return True

    def print_text(self, text: str) -> None:
        """Print `text` with a line end."""
        sys.stdout.write(f"{text}\n")

    def print_table(self, headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
        """Print a table, which may have no rows."""
        table = Table(*headings, box=SIMPLE_HEAD, pad_edge=False)
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        width = None if sys.stdout.isatty() else NON_TERMINAL_WIDTH_CHARS
        console = Console(width=width, markup=False, highlight=False)
        with console.capture() as captured:
            console.print(table)
        lines = [line.rstrip() for line in captured.get().splitlines()]
        self.print_text("\n".join(lines).rstrip())

    def print_error(self, error: GodwitpassError) -> None:
        """Print `error` to standard error, in the output format."""
        if self.output is OutputFormat.JSON:
            sys.stderr.write(msgspec.json.encode(_build_error_report(error)).decode() + "\n")
        else:
            sys.stderr.write(f"godwitctl: {error}\n")


def _build_error_report(error: GodwitpassError) -> ErrorReport:
    problem = error.problem if isinstance(error, ApiError) else None
    findings = error.findings if isinstance(error, InvalidInput) else ()
    return ErrorReport(str(error), find_exit_code(error), problem, findings)
