"""Commands that show the state of daemons, and the command that drains an upstream."""

import math
import sys
from datetime import UTC, datetime
from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from godwitpass.administration import (
    CUSTOMERS_PATH,
    CustomersReport,
    CustomersStatus,
    DrainResult,
    Status,
    Timeline,
)
from godwitpass.events import Level, TimelineEvent, list_levels
from godwitpass.failures import FailureSummary, summarize_failures
from godwitpass.ids import Address
from godwitpass.timeline import concerns_request, merge_timelines, parse_timeline
from godwitpass_cli.client import ApiRequest, Client
from godwitpass_cli.errors import CommandError
from godwitpass_cli.exit_codes import ExitCode
from godwitpass_cli.options import OutputOption, find_session
from godwitpass_cli.session import OutputFormat, Session

DEFAULT_EVENT_COUNT = 200
DEFAULT_ROW_COUNT = 30

LogFilesArgument = Annotated[
    list[Path] | None,
    typer.Argument(help="Logs in JSON format; without any, the configured daemons are queried."),
]


class Grouping(Enum):
    """Places by which failures are counted."""

    INSTANCE = "instance"
    ZONE = "zone"
    ALL = "all"


def status(context: typer.Context, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show how many daemons hold the newest version, and why the others lag."""
    session = find_session(context)
    result = session.get_client().send(ApiRequest("GET", "/v1/status"), Status)
    if session.print_if_json(result):
        return
    spread = result.spread
    session.print_text(
        f"version {spread.version}: held by {spread.holding} of {spread.total} daemons"
        f" (asked {result.instance} in {result.zone}, which holds {result.version})"
    )
    if spread.zones:
        zone_rows = [(zone.zone, zone.region, zone.holding, zone.total) for zone in spread.zones]
        session.print_table(("ZONE", "REGION", "HOLDING", "DAEMONS"), zone_rows)
    if spread.lagging:
        lagging_rows = [(lag.instance, lag.zone, lag.version, lag.reason) for lag in spread.lagging]
        session.print_table(("WAITING FOR", "ZONE", "HOLDS", "REASON"), lagging_rows)


def timeline(
    context: typer.Context,
    files: LogFilesArgument = None,
    instance: Annotated[str | None, typer.Option(help="Only events of this instance.")] = None,
    kind: Annotated[str | None, typer.Option(help="Only events of this number or name.")] = None,
    level: Annotated[
        Level,
        typer.Option(case_sensitive=False, help="Lowest level of the events; ignored with --kind."),
    ] = Level.INFO,
    last: Annotated[
        int, typer.Option(min=1, help="Number of events to show, the latest ones.")
    ] = DEFAULT_EVENT_COUNT,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show the events of several processes merged in order of time."""
    session = find_session(context)
    levels = list_levels(level)
    events = [
        event
        for event in _collect_events(session, files)
        if instance in (None, event.instance)
        and kind in (None, event.name, str(event.number))
        and (kind is not None or event.level in levels)
    ][-last:]
    if not session.print_if_json(Timeline(tuple(events))):
        headings = ("TIME", "ZONE", "INSTANCE", "VERSION", "EVENT", "FIELDS")
        session.print_table(headings, [_build_row(event) for event in events])


def explain(
    context: typer.Context,
    request: Annotated[str, typer.Argument(help="Id of the request that its caller sent.")],
    files: Annotated[list[Path], typer.Argument(help="Logs of the daemons in JSON format.")],
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show the events of one request and of the calls made while it ran, in order."""
    session = find_session(context)
    events = [
        event
        for event in merge_timelines(_read_log(path, request) for path in files)
        if concerns_request(event, request)
    ]
    if not events:
        message = f"no event of request {request!r} in {len(files)} logs"
        remedy = (
            "check the id and the period of the logs; only one in 16 successful requests is logged"
        )
        raise CommandError(ExitCode.NOT_FOUND, message, remedy)
    if not session.print_if_json(Timeline(tuple(events))):
        headings = ("TIME", "ZONE", "INSTANCE", "VERSION", "EVENT", "FIELDS")
        session.print_table(headings, [_build_row(event) for event in events])


def failures(
    context: typer.Context,
    files: LogFilesArgument = None,
    by: Annotated[
        Grouping, typer.Option(help="Count by instance, by availability zone, or all together.")
    ] = Grouping.INSTANCE,
    since: Annotated[
        str | None, typer.Option(help="Only events from this time, as in the timeline.")
    ] = None,
    until: Annotated[str | None, typer.Option(help="Only events before this time.")] = None,
    rows: Annotated[
        int, typer.Option(min=1, help="Number of rows to show, the highest counts.")
    ] = DEFAULT_ROW_COUNT,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show which calls were refused or failed, where, on which route and why."""
    session = find_session(context)
    start = -math.inf if since is None else _parse_time(since)
    end = math.inf if until is None else _parse_time(until)
    events = [event for event in _collect_events(session, files) if start <= event.time < end]
    summary = summarize_failures(events, lambda event: _get_place(event, by))
    shown = FailureSummary(summary.counts[:rows], summary.suppressed)
    if session.print_if_json(shown):
        return
    headings = ("COUNT", "EVENT", "PLACE", "ROUTE", "REASON", "FIRST", "LAST")
    session.print_table(
        headings,
        [
            (
                count.count,
                count.event,
                count.place,
                count.route,
                count.reason,
                _format_time(count.first_at),
                _format_time(count.last_at),
            )
            for count in shown.counts
        ],
    )
    if len(summary.counts) > rows:
        session.print_text(f"{len(summary.counts) - rows} further rows; use --rows or --by")
    if summary.suppressed:
        session.print_text(f"{summary.suppressed} further failures exceeded the limit of the log")


def drain(
    context: typer.Context,
    address: Annotated[
        str, typer.Argument(help="Administration address of the daemon beside the upstream.")
    ],
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Drain an upstream: it finishes its calls and gets no new ones."""
    session = find_session(context)
    request = ApiRequest("POST", "/v1/drain")
    result = session.get_client().send_to(Address(address), request, DrainResult)
    if not session.print_if_json(result):
        session.print_text(f"upstream of {result.instance} is {result.state.name.lower()}")


def customers(
    context: typer.Context,
    addresses: Annotated[
        list[str], typer.Argument(help="Addresses at which daemons serve their metrics.")
    ],
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show the customers at some daemons: limits, keys, rates and refusals."""
    session = find_session(context)
    # The listener of the metrics checks no token, so it gets none.
    client = Client(msgspec.structs.replace(session.configuration, token=""))
    request = ApiRequest("GET", CUSTOMERS_PATH)
    try:
        results = [client.send_to(Address(item), request, CustomersStatus) for item in addresses]
    finally:
        client.close()
    if session.print_if_json(CustomersReport(tuple(results))):
        return
    for result in results:
        age = "none" if result.proof_age_s < 0 else f"{result.proof_age_s:.1f} s old"
        session.print_text(f"{result.instance}: version {result.version}, freshness proof {age}")
        headings = ("CUSTOMER", "PRIORITY", "RATE/S", "BURST", "CALLS/S", "KEYS", "REQUESTS")
        rows: list[tuple[object, ...]] = [
            (
                customer.name,
                "-" if customer.priority is None else customer.priority,
                f"{customer.rate_per_s:g}" if customer.rate_per_s else "no limit",
                f"{customer.burst:g}",
                f"{customer.calls_per_s:g}",
                " ".join(customer.key_fingerprints),
                _format_counts(customer.counts),
            )
            for customer in result.customers
        ]
        others = _format_counts(result.other_counts)
        session.print_table(headings, [*rows, ("(others)", "", "", "", "", "", others)])


def _format_counts(counts: dict[str, int]) -> str:
    return " ".join(f"{event}={count}" for event, count in sorted(counts.items()))


def _read_log(path: Path, text: str = "") -> list[TimelineEvent]:
    try:
        return parse_timeline(path.read_bytes(), str(path), text)
    except OSError as error:
        message = f"{path} can't be read: {error.strerror}"
        raise CommandError(ExitCode.INVALID_INPUT, message, "correct the path") from error


def _collect_events(session: Session, files: list[Path] | None) -> list[TimelineEvent]:
    """Return the events of log files or, without any, of the configured daemons."""
    event_lists = [_read_log(path) for path in files] if files else _fetch_events(session)
    return merge_timelines(event_lists)


def _fetch_events(session: Session) -> list[list[TimelineEvent]]:
    """Return the events of each daemon that responds; raises only if none does."""
    client, event_lists = session.get_client(), []
    failure: CommandError | None = None
    for address in client.addresses:
        try:
            daemon_timeline = client.send_to(address, ApiRequest("GET", "/v1/timeline"), Timeline)
            event_lists.append(list(daemon_timeline.events))
        except CommandError as error:
            failure = error
            sys.stderr.write(f"godwitctl: left out: {error.message}\n")
    if failure is not None and not event_lists:
        raise failure
    return event_lists


def _get_place(event: TimelineEvent, grouping: Grouping) -> str:
    match grouping:
        case Grouping.INSTANCE:
            return event.instance
        case Grouping.ZONE:
            return event.zone
        case Grouping.ALL:
            return "all"


def _parse_time(text: str) -> float:
    try:
        time = datetime.fromisoformat(text)
    except ValueError as error:
        message = f"{text!r} is not a time"
        remedy = "write it like 2026-01-31T08:30:00.250Z"
        raise CommandError(ExitCode.USAGE, message, remedy) from error
    return (time if time.tzinfo is not None else time.replace(tzinfo=UTC)).timestamp()


def _format_time(time: float) -> str:
    return datetime.fromtimestamp(time, UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"


def _build_row(event: TimelineEvent) -> tuple[object, ...]:
    fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
    name = f"{event.number} {event.name}"
    return _format_time(event.time), event.zone, event.instance, event.version, name, fields
