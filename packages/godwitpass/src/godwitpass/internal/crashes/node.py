"""One daemon's view of crash suspects, shared with the other daemons by gossip."""

import math
import random
from collections.abc import Callable, Iterable, Sequence

import msgspec

from godwitpass.events import FieldValue
from godwitpass.ids import Address
from godwitpass.internal.actions import RecordEvent, Send, SetTimer
from godwitpass.internal.crashes import events
from godwitpass.internal.crashes.fingerprint import Fingerprint, HeadFingerprint
from godwitpass.internal.crashes.messages import (
    MAX_REPORTS,
    CrashesMessage,
    SuspectReport,
    SuspectReports,
    SuspectsRequest,
)
from godwitpass.internal.crashes.records import MAX_RECORDED_REPORTS
from godwitpass.internal.crashes.release import FIRST_TRIAL_S, compute_rank
from godwitpass.internal.crashes.suspects import Admission, Suspect, Suspects

GOSSIP_INTERVAL_S = 0.2
GOSSIP_FANOUT = 6
"""Daemons to which one daemon sends a report."""

REPEAT_INTERVAL_S = 1.0
REPEAT_FANOUT = 2
"""Daemons to which reports are sent again in each interval, as they may have been lost."""

REPEATED_CRASHES = 2
"""Reports of requests with this many crashes are sent again in each interval."""

RECENT_CRASH_S = 10.0
"""Time for which a daemon sends the reports of a crash that it saw in each interval."""

RARE_REPEAT_SHARE = 0.02
"""Share of the intervals in which other reports are sent again."""

REQUEST_INTERVAL_S = 0.4
REQUEST_FANOUT = 3
MAX_REQUESTS = 10
"""Intervals in which a daemon that has just started asks others for their reports."""

MAX_PENDING_REPORTS = 256
"""Reports that wait to be sent; further ones are dropped."""


START_SEPARATOR = "@"
"""Separates the address of a reporter from what identifies its start."""


class AttemptStarted(msgspec.Struct, frozen=True):
    """An attempt of a request that isn't refused is about to be sent."""

    fingerprint: Fingerprint


class AttemptEnded(msgspec.Struct, frozen=True):
    """An attempt ended without a broken connection; successfully if it was completed."""

    fingerprint: Fingerprint
    has_succeeded: bool


class UpstreamCrashed(msgspec.Struct, frozen=True):
    """The connection to an upstream broke `age_s` ago while it ran the request."""

    fingerprint: Fingerprint
    age_s: float = 0.0


class ReportsReceived(msgspec.Struct, frozen=True):
    """A message from another daemon arrived."""

    sender: Address
    message: CrashesMessage


class ReportsRestored(msgspec.Struct, frozen=True):
    """Reports that daemons had recorded in the store were read from there."""

    reports: tuple[SuspectReport, ...]


class Started(msgspec.Struct, frozen=True):
    """The daemon has started."""


class Tick(msgspec.Struct, frozen=True):
    """The time of an earlier `SetTimer` has come."""


class MembersChanged(msgspec.Struct, frozen=True):
    """The peer addresses of the live daemons changed."""

    members: tuple[Address, ...]


CrashesEvent = (
    AttemptStarted
    | AttemptEnded
    | UpstreamCrashed
    | ReportsReceived
    | ReportsRestored
    | Started
    | Tick
    | MembersChanged
)


class ReportsChanged(msgspec.Struct, frozen=True):
    """Action: records in the store what `list_recorded_reports` returns."""


ListCompetitors = Callable[[], Sequence[Address]]
"""Lists the peer addresses of the daemons that can try a request."""

CrashesAction = Send[CrashesMessage] | SetTimer | RecordEvent | ReportsChanged
ReportKey = tuple[Fingerprint, Address]


class CrashesNode:
    """Counts crashes, exchanges the counts with other daemons and decides which requests to refuse.

    `now` is in seconds on a monotonic clock.
    """

    def __init__(self, own_address: Address, rng: random.Random, start_id: str = "") -> None:
        self._own_address = own_address
        self._reporter = _build_reporter(own_address, start_id)
        self._rng = rng
        self._members: Sequence[Address] = ()
        self._suspects = Suspects(self._reporter)
        self._pending_reports: dict[ReportKey, None] = {}
        self._next_gossip_at: float | None = None
        self._next_repeat_at: float | None = None
        self._next_request_at: float | None = None
        self._remaining_requests = MAX_REQUESTS

    @property
    def has_suspects(self) -> bool:
        """Whether there are any suspected requests."""
        return len(self._suspects) > 0

    def may_be_suspect(self, head_fingerprint: HeadFingerprint) -> bool:
        """Return False only if no request with this head is a suspect."""
        return self._suspects.may_contain(head_fingerprint)

    def is_refused(
        self,
        fingerprint: Fingerprint,
        now: float,
        list_competitors: ListCompetitors | None = None,
        is_forwarding: bool = False,
    ) -> bool:
        """Return whether a request is refused because it crashed too many upstreams.

        With `is_forwarding`, the request goes to another daemon, which decides on trials.
        """
        suspect = self._suspects.find(fingerprint, now)
        if suspect is None:
            return False
        rank = 0 if is_forwarding else self._find_rank(fingerprint, suspect, now, list_competitors)
        return suspect.find_admission(now, rank, is_forwarding) is None

    def is_suspected(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether an upstream crashed while it ran the request."""
        return self._suspects.find(fingerprint, now) is not None

    def handle(self, event: CrashesEvent, now: float) -> list[CrashesAction]:
        """Update the state for one event and return the actions to perform."""
        match event:
            case AttemptStarted(fingerprint):
                return [*self._start_attempt(fingerprint, now)]
            case AttemptEnded(fingerprint, has_succeeded):
                if self._suspects.end_attempt(fingerprint, now, has_succeeded):
                    queued = self._queue_report(fingerprint, self._reporter, now)
                    return [*queued, ReportsChanged()]
            case UpstreamCrashed(fingerprint, age_s):
                return [*self._count_crash(fingerprint, now, now - age_s)]
            case ReportsReceived(sender, SuspectReports() as message):
                return [*self._merge_reports(sender, message, now)]
            case ReportsReceived(sender, SuspectsRequest()):
                return [*self._answer(sender, now)]
            case ReportsRestored(reports):
                return [*self._restore_reports(reports, now)]
            case Started():
                self._next_request_at = now + REQUEST_INTERVAL_S
                return [SetTimer(self._next_request_at)]
            case Tick():
                return [*self._gossip(now), *self._repeat(now), *self._request(now)]
            case MembersChanged(members):
                self._members = tuple(member for member in members if member != self._own_address)
        return []

    def list_recorded_reports(self, now: float) -> tuple[SuspectReport, ...]:
        """Return all counts of the requests that crashed the upstream beside this daemon.

        Those that an earlier process of this daemon has seen are among them.
        """
        suspects = sorted(
            self._suspects.list_shared(now),
            key=lambda item: (item[1].total.crashes, item[1].crashed_at),
            reverse=True,
        )
        reports = [
            self._build_report(fingerprint, suspect, reporter, now)
            for fingerprint, suspect in suspects
            if any(_get_address(reporter) == self._own_address for reporter in suspect.counts)
            for reporter in suspect.counts
        ]
        return tuple(reports[:MAX_RECORDED_REPORTS])

    def _find_rank(
        self,
        fingerprint: Fingerprint,
        suspect: Suspect,
        now: float,
        list_competitors: ListCompetitors | None = None,
    ) -> int:
        """Return this daemon's place in the order of trials; computed only once one is due."""
        if suspect.rank is None and now - suspect.crashed_at >= FIRST_TRIAL_S:
            competitors = list_competitors() if list_competitors is not None else self._members
            suspect.rank = compute_rank(self._own_address, fingerprint, competitors)
        return suspect.rank or 0

    def _start_attempt(self, fingerprint: Fingerprint, now: float) -> Iterable[CrashesAction]:
        suspect = self._suspects.find(fingerprint, now)
        if suspect is None:
            return
        rank = self._find_rank(fingerprint, suspect, now)
        if suspect.find_admission(now, rank) is Admission.TRIAL:
            self._suspects.start_trial(fingerprint, now)
            yield from self._report_admission(fingerprint, now, Admission.TRIAL)
        self._suspects.count_attempt(fingerprint, now)
        yield from self._report_admission(fingerprint, now, suspect.find_admission(now, rank))

    def _count_crash(
        self, fingerprint: Fingerprint, now: float, crashed_at: float
    ) -> Iterable[CrashesAction]:
        if not self._suspects.count_crash(fingerprint, now, crashed_at):
            return
        yield RecordEvent(events.REQUEST_SUSPECTED, self._describe(fingerprint, now))
        yield from self._report_refusal(fingerprint, now)
        yield from self._queue_report(fingerprint, self._reporter, now)
        yield ReportsChanged()

    def _merge_reports(
        self, sender: Address, message: SuspectReports, now: float
    ) -> Iterable[CrashesAction]:
        if message.is_answer:
            self._remaining_requests = 0
        replies: list[SuspectReport] = []
        for report in message.reports:
            if self._merge_report(report, now):
                yield from self._describe_merged(report, now)
                yield from self._queue_report(report.fingerprint, report.reporter, now)
                replies += self._list_other_reports(report, sender, now)
        if replies:
            yield Send(sender, SuspectReports(tuple(replies[:MAX_REPORTS])))

    def _restore_reports(
        self, reports: Sequence[SuspectReport], now: float
    ) -> Iterable[CrashesAction]:
        """Merge reports that all daemons can read; they are only sent as others that may be lost.

        Others hold them already, or read them as well.
        """
        for report in reports:
            if self._merge_report(report, now):
                yield from self._describe_merged(report, now)
        if self.has_suspects:
            yield from self._schedule_repeat(now)

    def _merge_report(self, report: SuspectReport, now: float) -> bool:
        """Merge the counts of another process; those of this one are not learned from others."""
        return report.reporter != self._reporter and self._suspects.merge(report, now)

    def _describe_merged(self, report: SuspectReport, now: float) -> Iterable[CrashesAction]:
        fields = self._describe(report.fingerprint, now)
        fields["reporter"], fields["age_ms"] = report.reporter, report.age_ms
        yield RecordEvent(events.REPORT_MERGED, fields)
        yield from self._report_refusal(report.fingerprint, now)

    def _list_other_reports(
        self, report: SuspectReport, sender: Address, now: float
    ) -> Iterable[SuspectReport]:
        """Yield other daemons' counts for a sender that reports its own.

        The sender may have restarted and lost them.
        """
        suspect = self._suspects.find(report.fingerprint, now)
        if suspect is None or _get_address(report.reporter) != sender:
            return
        for reporter in suspect.counts:
            if reporter != report.reporter:
                yield self._build_report(report.fingerprint, suspect, reporter, now)

    def _report_refusal(self, fingerprint: Fingerprint, now: float) -> Iterable[CrashesAction]:
        suspect = self._suspects.find(fingerprint, now)
        if suspect is None or suspect.is_refusal_reported:
            return
        if suspect.find_admission(now, suspect.rank or 0) is None:
            suspect.is_refusal_reported = True
            yield RecordEvent(events.REQUEST_REFUSED, self._describe(fingerprint, now))

    def _report_admission(
        self, fingerprint: Fingerprint, now: float, admission: Admission | None
    ) -> Iterable[CrashesAction]:
        """Report once per crash that a request is admitted in spite of enough crashes."""
        suspect = self._suspects.find(fingerprint, now)
        if suspect is None or admission is None or admission is Admission.FEW_CRASHES:
            return
        crashes = suspect.total.crashes
        if crashes > suspect.reported_admission_crashes:
            suspect.reported_admission_crashes = crashes
            fields = self._describe(fingerprint, now)
            fields["reason"] = admission.value
            yield RecordEvent(events.REQUEST_ADMITTED, fields)

    def _describe(self, fingerprint: Fingerprint, now: float) -> dict[str, FieldValue]:
        """Return the fields by which log lines tell why a request is refused or admitted."""
        suspect = self._suspects.find(fingerprint, now)
        fields: dict[str, FieldValue] = {"fingerprint": fingerprint.hex()}
        if suspect is not None:
            total = suspect.total
            fields["crashes"], fields["broken"] = total.crashes, total.broken_attempts
            fields["attempts"], fields["reporters"] = total.attempts, len(suspect.counts)
            fields["bursts"] = suspect.bursts
        return fields

    def _queue_report(
        self, fingerprint: Fingerprint, reporter: Address, now: float
    ) -> Iterable[CrashesAction]:
        if len(self._pending_reports) < MAX_PENDING_REPORTS:
            self._pending_reports[(fingerprint, reporter)] = None
        if self._next_gossip_at is None:
            self._next_gossip_at = now + GOSSIP_INTERVAL_S
            yield SetTimer(self._next_gossip_at)
        yield from self._schedule_repeat(now)

    def _schedule_repeat(self, now: float) -> Iterable[CrashesAction]:
        if self._next_repeat_at is None:
            self._next_repeat_at = now + REPEAT_INTERVAL_S
            yield SetTimer(self._next_repeat_at)

    def _gossip(self, now: float) -> Iterable[CrashesAction]:
        """Send each new report to a few daemons, which forward what is new to them."""
        if self._next_gossip_at is None or now < self._next_gossip_at:
            return
        self._next_gossip_at = None
        reports = []
        for fingerprint, reporter in tuple(self._pending_reports)[:MAX_REPORTS]:
            del self._pending_reports[(fingerprint, reporter)]
            suspect = self._suspects.find(fingerprint, now)
            if suspect is not None and reporter in suspect.counts:
                reports.append(self._build_report(fingerprint, suspect, reporter, now))
        if reports:
            yield from self._send_to_some(SuspectReports(tuple(reports)), GOSSIP_FANOUT)
        if self._pending_reports:
            self._next_gossip_at = now + GOSSIP_INTERVAL_S
            yield SetTimer(self._next_gossip_at)

    def _repeat(self, now: float) -> Iterable[CrashesAction]:
        """Send reports again that others may have missed, while there are any suspects."""
        if self._next_repeat_at is None or now < self._next_repeat_at:
            return
        self._next_repeat_at = None
        suspects = self._suspects.list_shared(now)
        if not self.has_suspects:
            return
        self._next_repeat_at = now + REPEAT_INTERVAL_S
        yield SetTimer(self._next_repeat_at)
        earliest = now - RECENT_CRASH_S
        repeated = [
            (fingerprint, suspect)
            for fingerprint, suspect in suspects
            if suspect.total.crashes >= REPEATED_CRASHES
            or (suspect.own_crashed_at is not None and suspect.own_crashed_at > earliest)
            or self._rng.random() < RARE_REPEAT_SHARE
        ]
        reports = self._draw_reports(repeated, now)
        if reports:
            yield from self._send_to_some(SuspectReports(reports), REPEAT_FANOUT)

    def _request(self, now: float) -> Iterable[CrashesAction]:
        """Ask for the reports of others after a start, until an answer arrives."""
        if self._next_request_at is None or now < self._next_request_at:
            return
        self._next_request_at = None
        if self._remaining_requests > 0:
            self._remaining_requests -= 1
            self._next_request_at = now + REQUEST_INTERVAL_S
            yield SetTimer(self._next_request_at)
            yield from self._send_to_some(SuspectsRequest(), REQUEST_FANOUT)

    def _answer(self, sender: Address, now: float) -> Iterable[CrashesAction]:
        """Send reports to a daemon that asks, unless this one still asks itself."""
        if self._next_request_at is None:
            reports = self._draw_reports(self._suspects.list_shared(now), now)
            yield Send(sender, SuspectReports(reports, is_answer=True))

    def _draw_reports(
        self, suspects: Sequence[tuple[Fingerprint, Suspect]], now: float
    ) -> tuple[SuspectReport, ...]:
        """Return reports for one message; those of the requests with most crashes go first.

        Where they don't fit, half of the message is drawn from the others.
        """
        drawn = [
            (fingerprint, suspect, reporter)
            for fingerprint, suspect in suspects
            for reporter in suspect.counts
        ]
        if len(drawn) > MAX_REPORTS:
            first, rest = drawn[: MAX_REPORTS // 2], drawn[MAX_REPORTS // 2 :]
            drawn = first + self._rng.sample(rest, MAX_REPORTS - len(first))
        return tuple(
            self._build_report(fingerprint, suspect, reporter, now)
            for fingerprint, suspect, reporter in drawn
        )

    def _send_to_some(self, message: CrashesMessage, fanout: int) -> Iterable[CrashesAction]:
        for member in self._rng.sample(self._members, min(fanout, len(self._members))):
            yield Send(member, message)

    def _build_report(
        self, fingerprint: Fingerprint, suspect: Suspect, reporter: Address, now: float
    ) -> SuspectReport:
        age_ms = math.ceil((now - suspect.crashed_at) * 1000)
        return SuspectReport(
            fingerprint, reporter, suspect.counts[reporter], age_ms, suspect.bursts
        )


def _get_address(reporter: Address) -> Address:
    """Return the address of the daemon that counts under a name."""
    return Address(reporter.partition(START_SEPARATOR)[0])


def _build_reporter(address: Address, start_id: str) -> Address:
    """Return the name under which one process counts; a restarted one counts under another."""
    return Address(f"{address}{START_SEPARATOR}{start_id}") if start_id else address
