"""Tables and plots of a simulation's result."""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path

import matplotlib
from matplotlib.figure import Figure

from godwitpass_testkit.load_model.simulation import CallResult, Outcome, Result

WINDOW_S = 1.0
"""Resolution of the plot."""


def compute_worth(result: Result, calls: Iterable[CallResult]) -> float:
    """Return the share of the worth of `calls` that was earned, 1 if there are none."""
    classes = {spec.name: spec for spec in result.experiment.classes}
    earned = owed = 0.0
    for call in calls:
        spec = classes[call.class_name]
        owed += spec.worth
        if call.outcome is Outcome.IN_TIME:
            earned += spec.worth
        elif call.outcome is Outcome.LATE:
            earned += spec.late_worth
    return earned / owed if owed else 1.0


def render_report(result: Result) -> str:
    """Return the tables by class, availability zone and service as Markdown."""
    calls = result.calls
    lines = [
        f"{result.experiment.shows}",
        "",
        f"worth {compute_worth(result, calls):.3f}, {len(calls)} calls, "
        f"{result.handovers} sent on to another upstream, {result.extra_requests} extra requests",
        "",
        "| Class | Calls | In time | Late | Refused | Failed | Worth | p50 s | p99 s |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for spec in result.experiment.classes:
        own = [call for call in calls if call.class_name == spec.name]
        if own:
            lines.append(_render_row(result, spec.name, own))
    lines += ["", "| Zone | Calls | Worth |", "| --- | --- | --- |"]
    for zone in result.experiment.zones:
        own = [call for call in calls if call.zone == zone]
        lines.append(f"| {zone} | {len(own)} | {compute_worth(result, own):.3f} |")
    lines += ["", "| Service | Arrivals | Runs | Busiest / mean |", "| --- | --- | --- | --- |"]
    for service, runs in result.runs_by_service.items():
        mean_runs = sum(runs) / len(runs)
        uneven = max(runs) / mean_runs if mean_runs else 0.0
        arrivals = result.arrivals_by_service[service]
        lines.append(f"| {service} | {arrivals} | {sum(runs)} | {uneven:.2f} |")
    return "\n".join([*lines, ""])


def draw_plot(result: Result, path: Path) -> None:
    """Draw the outcomes of all calls over the time at which they started."""
    matplotlib.use("Agg")
    figure = Figure(figsize=(8, 4), layout="constrained")
    axes = figure.add_subplot()
    window_count = int(result.experiment.duration_s / WINDOW_S)
    starts = [WINDOW_S * window for window in range(window_count)]
    counts = {outcome: [0] * window_count for outcome in Outcome}
    for call in result.calls:
        counts[call.outcome][min(int(call.started_at / WINDOW_S), window_count - 1)] += 1
    axes.stackplot(starts, *counts.values(), labels=[outcome.value for outcome in counts])
    axes.set_title(result.experiment.shows, fontsize=9)
    axes.set_xlabel("second of the call's start")
    axes.set_ylabel(f"calls in {WINDOW_S:g} s")
    axes.legend(loc="lower left")
    figure.savefig(path)


def _render_row(result: Result, name: str, calls: list[CallResult]) -> str:
    outcomes = Counter(call.outcome for call in calls)
    took_s = sorted(
        call.took_s for call in calls if call.outcome in (Outcome.IN_TIME, Outcome.LATE)
    )
    cells = [name, str(len(calls)), *(str(outcomes[outcome]) for outcome in Outcome)]
    cells.append(f"{compute_worth(result, calls):.3f}")
    cells += [f"{_find_percentile(took_s, share):.3f}" for share in (0.5, 0.99)]
    return "| " + " | ".join(cells) + " |"


def _find_percentile(ordered: list[float], share: float) -> float:
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0
