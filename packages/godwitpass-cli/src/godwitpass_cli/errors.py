"""Errors that end a command, with their exit codes."""

from godwitpass.administration import Problem
from godwitpass.errors import GodwitpassError, InvalidInput
from godwitpass_cli.exit_codes import PROBLEM_EXIT_CODES, ExitCode


class CommandError(GodwitpassError):
    """A command failed; `remedy` tells the operator how to correct it."""

    def __init__(self, code: ExitCode, message: str, remedy: str) -> None:
        self.code = code
        self.message = message
        self.remedy = remedy
        super().__init__(f"{message}; {remedy}")


class ApiError(GodwitpassError):
    """A daemon answered a request with a problem."""

    def __init__(self, problem: Problem) -> None:
        self.problem = problem
        super().__init__(_render_problem(problem))


def find_exit_code(error: GodwitpassError) -> ExitCode:
    """Return the exit code of `error`."""
    match error:
        case CommandError():
            return error.code
        case ApiError():
            return PROBLEM_EXIT_CODES[error.problem.kind]
        case InvalidInput():
            return ExitCode.INVALID_INPUT
        case _:
            return ExitCode.FAULT


def _render_problem(problem: Problem) -> str:
    lines = [f"{problem.kind.value}: {problem.message}"]
    lines += [f"  {finding.render()}" for finding in problem.findings]
    for item in problem.differences:
        fields = f" ({', '.join(item.fields)})" if item.fields else ""
        lines.append(
            f"  compared with version {problem.current}: {item.section} {item.name}"
            f" {item.alteration.value}{fields}"
        )
    if problem.remedy:
        lines.append(f"remedy: {problem.remedy}")
    if problem.change:
        lines.append(f"change id: {problem.change}")
    return "\n".join(lines)
