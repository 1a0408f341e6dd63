"""Compares scores of the users' deployments: `python -m godwitpass_testkit.scores [SITE ...]`.

Reads the journal that the users' bench keeps in the repository. For each site it prints the newest
complete score beside the complete score before it, or beside that of a commit.
"""

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Annotated

import msgspec
import typer

JOURNAL_FOLDER = Path("journal")
NO_VALUE = "-"
NOISE = 0.03
"""Difference of two scores of the same code that the bench calls noise."""


class DayScore(msgspec.Struct, frozen=True):
    """Result of one day; `worth` is the credit less prices, and `rules` the broken ones."""

    name: str
    slot: str
    worth: float = msgspec.field(name="G")
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    rules: dict[str, object] = msgspec.field(default_factory=dict)


class JournalEntry(msgspec.Struct, frozen=True):
    """One run of the bench; `at` holds its start and end as ISO 8601 texts in UTC."""

    id: str
    cmd: str
    head: str
    at: tuple[str, str]
    site: str | None = None
    argv: tuple[str, ...] = ()
    score: float | None = None
    figures: dict[str, float] | None = None
    days: tuple[DayScore, ...] | None = None

    @property
    def is_complete_score(self) -> bool:
        """Return whether this is a score of all standard days that ended."""
        is_partial = bool({"--quick", "--small", "--no-cpu"} & set(self.argv))
        return self.cmd == "score" and bool(self.days) and self.site is not None and not is_partial

    @property
    def has_passed(self) -> bool:
        """Return whether the site's gate passed."""
        return bool((self.figures or {}).get("gate"))


class Comparison(msgspec.Struct, frozen=True):
    """The newest score of a site, and the earlier one it is compared with, if there is one."""

    newest: JournalEntry
    earlier: JournalEntry | None


def read_journal(folder: Path) -> list[JournalEntry]:
    """Read all entries in `folder`, the oldest first; raises `ValueError` if one can't be read."""
    entries: list[JournalEntry] = []
    for path in folder.glob("*.json"):
        try:
            entries.append(msgspec.json.decode(path.read_bytes(), type=JournalEntry))
        except msgspec.MsgspecError as error:
            raise ValueError(f"{path} is not an entry of the journal: {error}") from error
    return sorted(entries, key=lambda entry: entry.at)


def compare_scores(entries: Iterable[JournalEntry], against: str = "") -> dict[str, Comparison]:
    """Return the comparison of each site; `against` is the start of a commit's hash."""
    scores_by_site: dict[str, list[JournalEntry]] = {}
    for entry in entries:
        if entry.is_complete_score and entry.site is not None:
            scores_by_site.setdefault(entry.site, []).append(entry)
    comparisons: dict[str, Comparison] = {}
    for site, scores in sorted(scores_by_site.items()):
        newest, earlier = scores[-1], scores[:-1]
        if against:
            earlier = [score for score in earlier if score.head.startswith(against)]
        comparisons[site] = Comparison(newest, earlier[-1] if earlier else None)
    return comparisons


def render_comparison(site: str, comparison: Comparison) -> str:
    """Return a Markdown section with one row for each standard day."""
    newest, earlier = comparison.newest, comparison.earlier
    earlier_days = {day.name: day for day in (earlier.days or ())} if earlier else {}
    lines = [
        f"## {site}: score {_format(earlier.score if earlier else None)} before, "
        f"{_format(newest.score)} now, gate {'passed' if newest.has_passed else 'failed'}",
        "",
        f"Commits {earlier.head[:7] if earlier else NO_VALUE} and {newest.head[:7]}.",
        "",
        "| Day | Worth before | Worth now | Served | Refused | Failed | Broken |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for day in newest.days or ():
        before = earlier_days.get(day.name)
        figures = [_format(value) for value in (day.worth, day.served, day.refused, day.failed)]
        broken = ", ".join(sorted(day.rules)) or "none"
        cells = [day.name, _format(before.worth if before else None), *figures, broken]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join([*lines, ""])


def find_losses(comparisons: dict[str, Comparison]) -> list[str]:
    """Return the sites whose score fell by more than noise, or whose gate failed."""
    losses: list[str] = []
    for site, comparison in comparisons.items():
        newest, earlier = comparison.newest, comparison.earlier
        has_fallen = earlier is not None and (newest.score or 0.0) < (earlier.score or 0.0) - NOISE
        if has_fallen or not newest.has_passed:
            losses.append(site)
    return losses


def main(
    sites: Annotated[list[str] | None, typer.Argument(help="Sites; all if omitted.")] = None,
    journal: Annotated[Path, typer.Option(help="Folder of the journal.")] = JOURNAL_FOLDER,
    against: Annotated[str, typer.Option(help="Commit to compare with.")] = "",
) -> None:
    """Print the newest scores beside earlier ones; exit with 1 if one has fallen or failed."""
    comparisons = compare_scores(read_journal(journal), against)
    wanted: Sequence[str] = sites or list(comparisons)
    unknown = [site for site in wanted if site not in comparisons]
    if unknown:
        raise typer.BadParameter(
            f"no complete score of {', '.join(unknown)} in {journal}; "
            f"there are scores of {', '.join(comparisons) or 'no site'}"
        )
    selected = {site: comparisons[site] for site in wanted}
    for site, comparison in selected.items():
        typer.echo(render_comparison(site, comparison))
    losses = find_losses(selected)
    if losses:
        typer.echo(f"Fallen by more than {NOISE}, or failed: {', '.join(losses)}")
        raise typer.Exit(1)


def _format(value: float | None) -> str:
    return NO_VALUE if value is None else f"{value:.3f}"


if __name__ == "__main__":
    typer.run(main)
