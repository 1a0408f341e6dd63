"""Commands that look at daemons, and the one that drains an upstream."""

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer

from godwitpass.administration import DrainResult, Status, Timeline
from godwitpass.events import Level, TimelineEvent, list_levels
from godwitpass.ids import Address
from godwitpass.timeline import concerns_request, merge_timelines, parse_timeline
from godwitpass_cli.client import Call
from godwitpass_cli.exit_codes import ExitCode
from godwitpass_cli.errors import CommandError
from godwitpass_cli.options import Output, find_session
from godwitpass_cli.session import OutputForm, Session

DEFAULT_EVENTS = 200


def status(context: typer.Context, output: Output = OutputForm.TABLE) -> None:
    """Show how far the newest version has spread, and why the rest lag."""
    session = find_session(context)
    found = session.connect().call(Call("GET", "/v1/status"), Status)
    if session.print_message(found):
        return
    spread = found.spread
    session.print_text(
        f"version {spread.version}: held by {spread.holding} of {spread.total} daemons"
        f" (asked {found.instance} in {found.zone}, which holds {found.version})"
    )
    if spread.zones:
        rows = [(zone.zone, zone.region, zone.holding, zone.total) for zone in spread.zones]
        session.print_table(("ZONE", "REGION", "HOLDING", "DAEMONS"), rows)
    if spread.lagging:
        lags = [(lag.instance, lag.zone, lag.version, lag.reason) for lag in spread.lagging]
        session.print_table(("WAITING FOR", "ZONE", "HOLDS", "REASON"), lags)


def timeline(
    context: typer.Context,
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs in JSON form; without any, all given daemons are asked."),
    ] = None,
    instance: Annotated[str | None, typer.Option(help="Only events of this instance.")] = None,
    kind: Annotated[str | None, typer.Option(help="Only events of this number or name.")] = None,
    level: Annotated[
        Level,
        typer.Option(case_sensitive=False, help="Least severity of the events, without --kind."),
    ] = Level.INFO,
    last: Annotated[int, typer.Option(min=1, help="How many events to show.")] = DEFAULT_EVENTS,
    output: Output = OutputForm.TABLE,
) -> None:
    """Merge the events of many processes into one ordered picture."""
    session = find_session(context)
    sources = [_read_log(path) for path in files] if files else _ask_daemons(session)
    levels = list_levels(level)
    events = [
        event
        for event in merge_timelines(sources)
        if instance in (None, event.instance)
        and kind in (None, event.name, str(event.number))
        and (kind is not None or event.level in levels)
    ][-last:]
    if not session.print_message(Timeline(tuple(events))):
        headings = ("TIME", "ZONE", "INSTANCE", "VERSION", "EVENT", "FIELDS")
        session.print_table(headings, [_list_cells(event) for event in events])


def explain(
    context: typer.Context,
    request: Annotated[str, typer.Argument(help="Id of a request, as its caller sent it.")],
    files: Annotated[list[Path], typer.Argument(help="Logs of the daemons, in JSON form.")],
    output: Output = OutputForm.TABLE,
) -> None:
    """Show what became of one request and of the calls that its run made, in order."""
    session = find_session(context)
    events = [
        event
        for event in merge_timelines(_read_log(path) for path in files)
        if concerns_request(event, request)
    ]
    if not events:
        message = f"no event of request {request!r} in {len(files)} logs"
        remedy = "check the id and the time of the logs; of good requests one in 16 is logged"
        raise CommandError(ExitCode.NOT_FOUND, message, remedy)
    if not session.print_message(Timeline(tuple(events))):
        headings = ("TIME", "ZONE", "INSTANCE", "VERSION", "EVENT", "FIELDS")
        session.print_table(headings, [_list_cells(event) for event in events])


def drain(
    context: typer.Context,
    address: Annotated[str, typer.Argument(help="Administration address of the daemon beside it.")],
    output: Output = OutputForm.TABLE,
) -> None:
    """Let an upstream finish its calls and give it no new ones."""
    session = find_session(context)
    call = Call("POST", "/v1/drain")
    result = session.connect().call_daemon(Address(address), call, DrainResult)
    if not session.print_message(result):
        session.print_text(f"upstream of {result.instance} is {result.state.name.lower()}")


def _read_log(path: Path) -> list[TimelineEvent]:
    try:
        return parse_timeline(path.read_bytes(), str(path))
    except OSError as error:
        message = f"{path} can't be read: {error.strerror}"
        raise CommandError(ExitCode.INVALID_INPUT, message, "correct the path") from error


def _ask_daemons(session: Session) -> list[list[TimelineEvent]]:
    """Return the events of each daemon that answers; fail only if none does."""
    client, sources = session.connect(), []
    failure: CommandError | None = None
    for address in client.addresses:
        try:
            found = client.call_daemon(address, Call("GET", "/v1/timeline"), Timeline)
            sources.append(list(found.events))
        except CommandError as error:
            failure = error
            sys.stderr.write(f"godwitctl: left out: {error.message}\n")
    if failure is not None and not sources:
        raise failure
    return sources


def _list_cells(event: TimelineEvent) -> tuple[object, ...]:
    time = datetime.fromtimestamp(event.time, UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3]
    fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
    name = f"{event.number} {event.name}"
    return f"{time}Z", event.zone, event.instance, event.version, name, fields
