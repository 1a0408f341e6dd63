"""Numbered events of the log and the timeline.

Each area declares its kinds as constants in its own `events` module, within its number range:
100 process, 200 distribution and acceptance, 300 membership, 400 calls, 500 claims and crashes,
600 administration, 700 store and peer transport.
"""

from enum import Enum

import msgspec

from godwitpass.ids import InstanceId, RegionId, Version, ZoneId

FieldValue = str | int | float | bool


class Level(Enum):
    """Severity of an event in ascending order, named as in the logging library."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


def list_levels(minimum: Level) -> list[Level]:
    """Return `minimum` and all more severe levels.

    >>> list_levels(Level.WARNING)
    [<Level.WARNING: 'WARNING'>, <Level.ERROR: 'ERROR'>]
    """
    levels = list(Level)
    return levels[levels.index(minimum) :]


class EventKind(msgspec.Struct, frozen=True):
    """A kind of event; the meaning of a `number` never changes between releases."""

    number: int
    name: str
    summary: str
    level: Level = Level.INFO


class TimelineEvent(msgspec.Struct, frozen=True):
    """One occurrence; `time` is in seconds since the epoch on the instance's own clock.

    `sequence` orders the events of one process when its clock is too coarse or is set back.
    """

    time: float
    sequence: int
    number: int
    name: str
    instance: InstanceId
    zone: ZoneId
    region: RegionId
    version: Version
    fields: dict[str, FieldValue] = {}
    level: Level = Level.INFO
