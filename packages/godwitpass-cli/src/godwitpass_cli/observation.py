"""Commands that show the state of daemons, and the command that drains an upstream."""

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer

from godwitpass.administration import DrainResult, Status, Timeline
from godwitpass.events import Level, TimelineEvent, list_levels
from godwitpass.ids import Address
from godwitpass.timeline import concerns_request, merge_timelines, parse_timeline
from godwitpass_cli.client import ApiRequest
from godwitpass_cli.errors import CommandError
from godwitpass_cli.exit_codes import ExitCode
from godwitpass_cli.options import OutputOption, find_session
from godwitpass_cli.session import OutputFormat, Session

DEFAULT_EVENT_COUNT = 200


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
    files: Annotated[
        list[Path] | None,
        typer.Argument(
            help="Logs in JSON format; without any, the configured daemons are queried."
        ),
    ] = None,
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
    event_lists = [_read_log(path) for path in files] if files else _fetch_events(session)
    levels = list_levels(level)
    events = [
        event
        for event in merge_timelines(event_lists)
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
        for event in merge_timelines(_read_log(path) for path in files)
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


def _read_log(path: Path) -> list[TimelineEvent]:
    try:
        return parse_timeline(path.read_bytes(), str(path))
    except OSError as error:
        message = f"{path} can't be read: {error.strerror}"
        raise CommandError(ExitCode.INVALID_INPUT, message, "correct the path") from error


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


def _build_row(event: TimelineEvent) -> tuple[object, ...]:
    time = datetime.fromtimestamp(event.time, UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3]
    fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
    name = f"{event.number} {event.name}"
    return f"{time}Z", event.zone, event.instance, event.version, name, fields
