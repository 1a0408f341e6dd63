"""The capacity page, derived from measured rows."""

from collections.abc import Sequence

import msgspec

from godwitpass_testkit.bench.figures import Figures, read_figures
from godwitpass_testkit.bench.roles import render_roles
from godwitpass_testkit.bench.target import TARGET
from godwitpass_testkit.measurements import Row

HEADER = """# Capacity at the target size

This page is written by `python -m godwitpass_testkit.bench capacity` from the rows in
`docs/measurements`, so no figure in it was typed by hand. Every file there is the output of
`python -m godwitpass_testkit.bench run --only EXPERIMENT`. Counts under virtual time repeat
exactly; figures of real processes (`processes`, `latency`) vary with the machine.

The target: {daemons:,} servers, each with its daemon, in {services:,} services; {regions} regions
with {zones} availability zones; {changes:,} changes a day in force everywhere within
{convergence:g} s; {calls:,} calls a second, {latency:g} ms added for 99 in 100; for control at most
{cpu:g}% of a core, {memory:g} MB and {bytes:,} B/s a daemon.
"""


class BudgetLine(msgspec.Struct, frozen=True):
    """One line of the table of sums: what is spent against what is allowed."""

    what: str
    spent: float | None
    allowed: float
    unit: str
    source: str
    remedy: str = ""

    def render(self) -> str:
        """Return the line as a row of a Markdown table."""
        if self.spent is None:
            allowed = f"{self.allowed:g} {self.unit}"
            return f"| {self.what} | not measured | {allowed} | unknown | {self.source} |"
        verdict = "yes" if self.spent <= self.allowed else f"**no, {self.factor:.2f} times**"
        return (
            f"| {self.what} | {self.spent:.3g} {self.unit} | {self.allowed:g} {self.unit} "
            f"| {verdict} | {self.source} |"
        )

    @property
    def factor(self) -> float:
        """Return how many times the allowance is spent."""
        assert self.spent is not None, "a line without a figure has no factor"
        return self.spent / self.allowed


def derive_page(rows: Sequence[Row]) -> str:
    """Return the page in Markdown."""
    figures = read_figures(rows)
    lines = list_budget_lines(figures)
    header = HEADER.format(
        daemons=TARGET.daemons,
        services=TARGET.services,
        regions=TARGET.regions,
        zones=TARGET.zones,
        changes=TARGET.changes_per_day,
        convergence=TARGET.convergence_s,
        calls=TARGET.calls_per_s,
        latency=TARGET.added_latency_ms,
        cpu=TARGET.cpu_percent,
        memory=TARGET.memory_mb,
        bytes=TARGET.bytes_per_s,
    )
    parts = [header, "\n## Roles\n\n", render_roles(), _render_sums(lines)]
    parts += [_render_shortfalls(lines), _render_slopes(figures)]
    return "".join(parts)


def list_budget_lines(figures: Figures) -> list[BudgetLine]:
    """Return what a daemon and the store spend at the target."""
    return [
        BudgetLine(
            "control bytes a daemon, mean",
            figures.control_bytes_per_s,
            TARGET.bytes_per_s,
            "B/s",
            "membership at a region's size, digests, and the day's changes",
        ),
        BudgetLine(
            "control bytes while all return at once",
            figures.herd_bytes_per_s,
            TARGET.bytes_per_s,
            "B/s",
            "membership, mean over the return",
            "A slower join would fit the budget and hold calls up for longer; the budget is taken "
            "as one for running, the excess lasts for the return only",
        ),
        BudgetLine(
            "processor time for control, idle",
            figures.cpu_idle_percent,
            TARGET.cpu_percent,
            "% of a core",
            "the largest fleet of real daemons",
        ),
        BudgetLine(
            "processor time for control, with the day's changes",
            figures.cpu_percent,
            TARGET.cpu_percent,
            "% of a core",
            "the same, and a document of all services",
        ),
        BudgetLine(
            "memory of a daemon that holds all services",
            figures.memory_mb,
            TARGET.memory_mb,
            "MB",
            "a real daemon that holds them, the records of a region and sums of the others",
            "The libraries alone take about 45 MB, of which gRPC 10: without it, or without the "
            "bases kept for deltas, the rest fits",
        ),
        BudgetLine(
            "memory of the daemon that accepts changes",
            figures.memory_accepting_mb,
            TARGET.memory_mb,
            "MB",
            "real daemons, highest while a change a second is accepted, and the same records",
            "Checking and encoding a whole document is what adds; it could go by parts",
        ),
        BudgetLine(
            "convergence, small change, 99 in 100",
            figures.convergence_p99_s,
            TARGET.convergence_s,
            "s",
            "spread, line through the sizes",
        ),
        BudgetLine(
            "convergence, a third of the daemons killed unnoticed, 99 in 100",
            figures.convergence_killed_s,
            TARGET.convergence_s,
            "s",
            "spread, line through the sizes",
        ),
        BudgetLine(
            "the same with `distribution.favour` on bytes",
            figures.convergence_killed_bytes_s,
            TARGET.convergence_s,
            "s",
            "spread, line through the sizes",
        ),
        BudgetLine(
            "convergence of real daemons, a third killed, 99 in 100",
            figures.process_convergence_killed_s,
            TARGET.convergence_s,
            "s",
            "the largest fleet of real daemons",
        ),
        BudgetLine(
            "store calls for configuration",
            figures.store_calls_per_s,
            TARGET.store_reads_per_s / 2,
            "calls/s",
            "spread idle, line through the sizes, and waiting watches",
        ),
        BudgetLine(
            "store writes for 3,000 at-most-once calls a second",
            figures.claim_writes_per_s,
            TARGET.store_writes_per_s / 2,
            "writes/s",
            "claims, batched",
        ),
        BudgetLine(
            "latency added to a call, 99 in 100",
            figures.added_latency_ms,
            TARGET.added_latency_ms,
            "ms",
            "latency, beside direct calls in one run",
            "What is left is the interpreter's time a call; see docs/design/edge.md for the layers",
        ),
    ]


def _render_sums(lines: Sequence[BudgetLine]) -> str:
    head = "\n## Sums\n\n| What | Spent at the target | Allowed | Fits | From |\n"
    head += "|---|---|---|---|---|\n"
    return head + "".join(f"{line.render()}\n" for line in lines)


def _render_shortfalls(lines: Sequence[BudgetLine]) -> str:
    short = [line for line in lines if line.spent is not None and line.spent > line.allowed]
    if not short:
        return "\nEvery measured sum fits.\n"
    listed = "".join(
        f"- **{line.what}**: {line.factor:.2f} times the allowance. "
        f"{line.remedy or 'No way to close it is known yet.'}\n"
        for line in short
    )
    return f"\n## Where the sum says no, and what would close it\n\n{listed}"


def _render_slopes(figures: Figures) -> str:
    head = "\n## Slopes and single figures\n\n| Figure | Value |\n|---|---|\n"
    named = msgspec.structs.asdict(figures)
    return head + "".join(
        f"| `{name}` | {'not measured' if value is None else f'{value:.4g}'} |\n"
        for name, value in named.items()
    )
