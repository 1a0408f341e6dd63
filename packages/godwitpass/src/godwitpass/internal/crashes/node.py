"""Crashing requests as one daemon knows them, spread to the others by gossip."""

import random
from collections.abc import Iterable, Sequence

import msgspec

from godwitpass.events import FieldValue
from godwitpass.ids import Address
from godwitpass.internal.actions import RecordEvent, Send, SetTimer
from godwitpass.internal.crashes import events
from godwitpass.internal.crashes.fingerprint import Fingerprint, HeadPrint
from godwitpass.internal.crashes.messages import (
    MAX_REPORTS,
    SuspectReport,
    SuspectReports,
)
from godwitpass.internal.crashes.suspects import Suspect, Suspects

GOSSIP_INTERVAL_S = 0.2
GOSSIP_FANOUT = 6
MAX_NEWS = 256


class AttemptStarted(msgspec.Struct, frozen=True):
    """A request that isn't refused is about to be sent to an upstream."""

    fingerprint: Fingerprint


class UpstreamCrashed(msgspec.Struct, frozen=True):
    """An upstream's connection broke while it ran the request."""

    fingerprint: Fingerprint


class ReportsReceived(msgspec.Struct, frozen=True):
    """A message of another daemon."""

    sender: Address
    message: SuspectReports


class Tick(msgspec.Struct, frozen=True):
    """A time that a `SetTimer` asked for has come."""


class MembersChanged(msgspec.Struct, frozen=True):
    """The peer addresses of the daemons believed alive."""

    members: tuple[Address, ...]


CrashesEvent = AttemptStarted | UpstreamCrashed | ReportsReceived | Tick | MembersChanged
CrashesAction = Send[SuspectReports] | SetTimer | RecordEvent
News = tuple[Fingerprint, Address]


class CrashesNode:
    """Decides which requests are refused; `now` is in seconds on a clock that never goes back."""

    def __init__(self, own: Address, rng: random.Random) -> None:
        self._own = own
        self._random = rng
        self._members: Sequence[Address] = ()
        self._suspects = Suspects(own)
        self._news: dict[News, None] = {}
        self._tick_at: float | None = None

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspected."""
        return len(self._suspects) > 0

    def may_suspect(self, head: HeadPrint) -> bool:
        """Tell whether a request with this head may be suspected; False is certain."""
        return self._suspects.may_hold(head)

    def is_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a request is refused."""
        suspect = self._suspects.find(fingerprint, now)
        return suspect is not None and suspect.is_refused

    def handle(self, event: CrashesEvent, now: float) -> list[CrashesAction]:
        """Decide on one event."""
        match event:
            case AttemptStarted(fingerprint):
                self._suspects.count_attempt(fingerprint, now)
            case UpstreamCrashed(fingerprint):
                return [*self._count_crash(fingerprint, now)]
            case ReportsReceived(sender, message):
                return [*self._merge(sender, message, now)]
            case Tick():
                return [*self._gossip(now)]
            case MembersChanged(members):
                self._members = tuple(member for member in members if member != self._own)
        return []

    def _count_crash(self, fingerprint: Fingerprint, now: float) -> Iterable[CrashesAction]:
        if not self._suspects.count_crash(fingerprint, now):
            return
        yield RecordEvent(events.REQUEST_SUSPECTED, {"fingerprint": fingerprint.hex()})
        yield from self._report_refusal(fingerprint, now)
        yield from self._add_news(fingerprint, self._own, now)

    def _merge(
        self, sender: Address, message: SuspectReports, now: float
    ) -> Iterable[CrashesAction]:
        answers: list[SuspectReport] = []
        for report in message.reports:
            # Another daemon's memory of this one is from before a restart, or of what it knows.
            if report.reporter != self._own and self._suspects.merge(report, now):
                yield from self._add_news(report.fingerprint, report.reporter, now)
                yield from self._report_refusal(report.fingerprint, now)
                answers += self._describe_others(report, sender, now)
        if answers:
            yield Send(sender, SuspectReports(tuple(answers[:MAX_REPORTS])))

    def _describe_others(
        self, report: SuspectReport, sender: Address, now: float
    ) -> Iterable[SuspectReport]:
        """Tell a daemon that reports its own crash what others saw; it may have restarted."""
        suspect = self._suspects.find(report.fingerprint, now)
        if suspect is None or report.reporter != sender:
            return
        for reporter in suspect.counts:
            if reporter != sender:
                yield self._describe(report.fingerprint, suspect, reporter, now)

    def _report_refusal(self, fingerprint: Fingerprint, now: float) -> Iterable[CrashesAction]:
        suspect = self._suspects.find(fingerprint, now)
        if suspect is not None and suspect.is_refused and not suspect.was_reported:
            suspect.was_reported = True
            crashes = suspect.sum_counts().crashes
            fields: dict[str, FieldValue] = {"fingerprint": fingerprint.hex(), "crashes": crashes}
            yield RecordEvent(events.REQUEST_REFUSED, fields)

    def _add_news(
        self, fingerprint: Fingerprint, reporter: Address, now: float
    ) -> Iterable[CrashesAction]:
        if len(self._news) < MAX_NEWS:
            self._news[(fingerprint, reporter)] = None
        if self._tick_at is None:
            self._tick_at = now + GOSSIP_INTERVAL_S
            yield SetTimer(self._tick_at)

    def _gossip(self, now: float) -> Iterable[CrashesAction]:
        """Send news once, to a few daemons, who do the same with what is news to them."""
        if self._tick_at is None or now < self._tick_at:
            return
        self._tick_at = None
        reports = []
        for fingerprint, reporter in tuple(self._news)[:MAX_REPORTS]:
            del self._news[(fingerprint, reporter)]
            suspect = self._suspects.find(fingerprint, now)
            if suspect is not None and reporter in suspect.counts:
                reports.append(self._describe(fingerprint, suspect, reporter, now))
        if reports:
            count = min(GOSSIP_FANOUT, len(self._members))
            for member in self._random.sample(self._members, count):
                yield Send(member, SuspectReports(tuple(reports)))
        if self._news:
            self._tick_at = now + GOSSIP_INTERVAL_S
            yield SetTimer(self._tick_at)

    def _describe(
        self, fingerprint: Fingerprint, suspect: Suspect, reporter: Address, now: float
    ) -> SuspectReport:
        age_ms = int((now - suspect.crashed_at) * 1000)
        return SuspectReport(fingerprint, reporter, suspect.counts[reporter], age_ms)
