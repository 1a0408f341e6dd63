"""Runs and evaluates the experiments: `python -m godwitpass_testkit.bench COMMAND`."""

import subprocess
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from godwitpass_testkit.bench.bounds import find_breaches
from godwitpass_testkit.bench.capacity import derive_page
from godwitpass_testkit.bench.catalogue import EXPERIMENTS, find_experiment
from godwitpass_testkit.bench.plot_definitions import PLOTS
from godwitpass_testkit.bench.plots import draw_plots
from godwitpass_testkit.bench.target_bounds import BOUNDS
from godwitpass_testkit.measurements import Row, read_rows

ROOT = Path(__file__).parents[4]
MEASUREMENTS_FOLDER = ROOT / "docs" / "measurements"
CAPACITY_PAGE = ROOT / "docs" / "CAPACITY.md"
BOUND_BREACHED_EXIT_CODE = 1

app = typer.Typer(help=__doc__, no_args_is_help=True, add_completion=False)

ResultsFolder = Annotated[
    Path, typer.Option(help="Folder with one JSON result file per experiment.")
]


@app.command()
def run(
    folder: ResultsFolder = MEASUREMENTS_FOLDER,
    only: Annotated[list[str] | None, typer.Option(help="Run only this experiment.")] = None,
    quick: Annotated[bool, typer.Option(help="Use small sizes; takes about a minute.")] = False,
) -> None:
    """Run the experiments, each next to its naive baseline, and write their rows."""
    folder.mkdir(parents=True, exist_ok=True)
    selected = [find_experiment(name) for name in only] if only else EXPERIMENTS
    for experiment in selected:
        module = f"godwitpass_testkit.experiments.{experiment.module}"
        arguments = experiment.quick if quick else experiment.arguments
        output = folder / f"{experiment.name}.json"
        print(f"== {experiment.name}", flush=True)
        subprocess.run(
            [sys.executable, "-m", module, *arguments, "--output", str(output)], check=True
        )


@app.command()
def check(folder: ResultsFolder = MEASUREMENTS_FOLDER) -> None:
    """Compare the results with the bounds; exit with code 1 if one is breached."""
    breaches = find_breaches(read_results(folder), BOUNDS)
    for breach in breaches:
        print(breach.render())
    print(f"{len(BOUNDS)} bounds, {len(breaches)} breaches")
    if breaches:
        raise typer.Exit(BOUND_BREACHED_EXIT_CODE)


@app.command()
def plot(folder: ResultsFolder = MEASUREMENTS_FOLDER) -> None:
    """Draw the plots into the folder of the results."""
    for path in draw_plots(read_results(folder), folder, PLOTS):
        print(path)


@app.command()
def capacity(folder: ResultsFolder = MEASUREMENTS_FOLDER, page: Path = CAPACITY_PAGE) -> None:
    """Derive the capacity page from the results."""
    page.write_text(derive_page(read_results(folder)), encoding="utf-8")


def read_results(folder: Path) -> list[Row]:
    """Return the rows of all result files in `folder`, named `experiment.row`."""
    return [
        qualify_row(path.stem, row)
        for path in sorted(folder.glob("*.json"))
        for row in read_rows(path)
    ]


def qualify_row(experiment: str, row: Row) -> Row:
    """Return `row` with its name prefixed by `experiment`, unless it has the prefix already."""
    if row.name.startswith(f"{experiment}."):
        return row
    return msgspec.structs.replace(row, name=f"{experiment}.{row.name}")


if __name__ == "__main__":
    app()
