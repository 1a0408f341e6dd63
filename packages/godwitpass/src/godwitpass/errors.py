"""The exception tree: every error raised on purpose derives from `GodwitpassError`."""

from collections.abc import Sequence

import msgspec

from godwitpass.ids import ChangeId, Version


class Finding(msgspec.Struct, frozen=True):
    """One problem in an input, with its place and how to mend it."""

    pointer: str
    message: str
    remedy: str = ""
    line: int = 0
    source: str = ""

    def render(self) -> str:
        """Return the finding as one line.

        >>> Finding("/routes/0/service", "unknown service 'maal'", "declare it", 7).render()
        "line 7: /routes/0/service: unknown service 'maal'; declare it"
        """
        place = f"line {self.line}: " if self.line else ""
        origin = f"{self.source}: " if self.source else ""
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{origin}{place}{self.pointer or '/'}: {self.message}{remedy}"


class GodwitpassError(Exception):
    """Root of all errors raised by this project."""


class InvalidInput(GodwitpassError):
    """An input was refused; `findings` holds every problem, not only the first."""

    def __init__(self, subject: str, findings: Sequence[Finding]) -> None:
        assert findings, "an input is refused for at least one finding"
        self.subject = subject
        self.findings = tuple(findings)
        lines = "\n".join(finding.render() for finding in self.findings)
        super().__init__(f"invalid {subject}:\n{lines}")


class InvalidDocument(InvalidInput):
    """A configuration document was refused."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("document", findings)


class InvalidSettings(InvalidInput):
    """A settings file was refused."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("settings", findings)


class StoreError(GodwitpassError):
    """The platform's key-value service did not do what was asked."""


class StoreUnavailable(StoreError):
    """The store refused or could not be reached; the request did not take effect."""


class StoreWentBack(StoreUnavailable):
    """The store shows an older state than this daemon holds; nothing was accepted."""

    def __init__(self, held_version: Version, stored_version: Version) -> None:
        self.held_version = held_version
        self.stored_version = stored_version
        super().__init__(
            f"the store shows version {stored_version}, but version {held_version} is in force; "
            f"to go on from it, send the change again as built on version {held_version}"
        )


class StoreOutcomeUnknown(StoreError):
    """The answer was lost; a write may or may not have taken effect."""


class VersionConflict(GodwitpassError):
    """Another change was accepted first."""

    def __init__(self, current: Version, winner: ChangeId) -> None:
        self.current = current
        self.winner = winner
        super().__init__(f"version {current} was accepted first by change {winner}")


class AcceptanceUnknown(GodwitpassError):
    """It is not known whether a change was accepted; ask again with the same change id."""

    def __init__(self, change: ChangeId) -> None:
        self.change = change
        super().__init__(f"outcome of change {change} unknown; ask again with this change id")
