"""Exit codes of `godwitctl` and the problems that they report."""

from enum import IntEnum

from godwitpass.administration import ProblemKind


class ExitCode(IntEnum):
    """Exit status of a command, for scripts."""

    DONE = 0
    FAULT = 1
    USAGE = 2
    INVALID_INPUT = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    OUTCOME_UNKNOWN = 6
    UNAUTHORIZED = 7
    NOT_FOUND = 8
    NOT_YET_IN_FORCE = 9


EXIT_CODE_MEANINGS = {
    ExitCode.DONE: "Done.",
    ExitCode.FAULT: "Internal error of this command or of the daemon.",
    ExitCode.USAGE: "Unknown command, option or configuration.",
    ExitCode.INVALID_INPUT: "The document or another input is invalid; every finding is printed.",
    ExitCode.CONFLICT: "Another change was accepted first, or the store holds an older version.",
    ExitCode.UNAVAILABLE: "No daemon responded, or none reached the store; nothing was changed.",
    ExitCode.OUTCOME_UNKNOWN: "The outcome is unknown; retry with the same change id.",
    ExitCode.UNAUTHORIZED: "The token is missing or wrong.",
    ExitCode.NOT_FOUND: "The version, upstream or path does not exist.",
    ExitCode.NOT_YET_IN_FORCE: "Accepted, but not in force on all daemons before --wait ran out.",
}

PROBLEM_EXIT_CODES = {
    ProblemKind.INVALID_DOCUMENT: ExitCode.INVALID_INPUT,
    ProblemKind.INVALID_REQUEST: ExitCode.INVALID_INPUT,
    ProblemKind.UNAUTHORIZED: ExitCode.UNAUTHORIZED,
    ProblemKind.NOT_FOUND: ExitCode.NOT_FOUND,
    ProblemKind.METHOD_NOT_ALLOWED: ExitCode.FAULT,
    ProblemKind.TOO_LARGE: ExitCode.INVALID_INPUT,
    ProblemKind.TOO_SLOW: ExitCode.UNAVAILABLE,
    ProblemKind.BUSY: ExitCode.UNAVAILABLE,
    ProblemKind.VERSION_CONFLICT: ExitCode.CONFLICT,
    ProblemKind.NOT_READY: ExitCode.UNAVAILABLE,
    ProblemKind.STORE_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ProblemKind.STORE_WENT_BACK: ExitCode.CONFLICT,
    ProblemKind.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    ProblemKind.INTERNAL: ExitCode.FAULT,
}
