"""Exceptions; every error that is raised deliberately derives from `GodwitpassError`."""

from collections.abc import Sequence

import msgspec

from godwitpass.ids import ChangeId, Version


class Finding(msgspec.Struct, frozen=True):
    """One problem in an input, with its location and a remedy.

    `pointer` is a JSON pointer; `line` counts from 1 and is 0 if unknown.
    """

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
        location = f"line {self.line}: " if self.line else ""
        source_prefix = f"{self.source}: " if self.source else ""
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{source_prefix}{location}{self.pointer or '/'}: {self.message}{remedy}"


class GodwitpassError(Exception):
    """Base class of all errors raised by this project."""


class InvalidInput(GodwitpassError):
    """An input was rejected; `findings` holds every problem, not only the first."""

    def __init__(self, subject: str, findings: Sequence[Finding]) -> None:
        assert findings, "a rejected input has at least one finding"
        self.subject = subject
        self.findings = tuple(findings)
        lines = "\n".join(finding.render() for finding in self.findings)
        super().__init__(f"invalid {subject}:\n{lines}")


class InvalidDocument(InvalidInput):
    """A configuration document was rejected."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("document", findings)


class InvalidSettings(InvalidInput):
    """A settings file was rejected."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("settings", findings)


class StoreError(GodwitpassError):
    """A request to the platform's key-value store failed."""


class StoreUnavailable(StoreError):
    """The store rejected the request or could not be reached; the request had no effect."""


class HistoryEnded(StoreUnavailable):
    """The store has discarded the changes after the revision that a watch asked from."""


class StoreWentBack(StoreUnavailable):
    """The store contradicts the version that this daemon holds; nothing was accepted.

    Its newest version is lower, or is the same version with different content.
    """

    def __init__(self, held_version: Version, stored_version: Version) -> None:
        self.held_version = held_version
        self.stored_version = stored_version
        super().__init__(
            f"the store holds version {stored_version}, but version {held_version} is active on "
            f"this daemon; to continue from it, resubmit the change as based on version "
            f"{held_version}"
        )


class StoreOutcomeUnknown(StoreError):
    """The response to a write was lost; the write may or may not have taken effect."""


class VersionConflict(GodwitpassError):
    """Another change was accepted first."""

    def __init__(self, current: Version, winner: ChangeId) -> None:
        self.current = current
        self.winner = winner
        super().__init__(f"version {current} was accepted first by change {winner}")


class AcceptanceUnknown(GodwitpassError):
    """It is unknown whether a change was accepted; retry with the same change id."""

    def __init__(self, change: ChangeId) -> None:
        self.change = change
        super().__init__(
            f"it is unknown whether change {change} was accepted; retry with this change id"
        )
