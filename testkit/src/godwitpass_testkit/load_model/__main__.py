"""Command of the load model: `python -m godwitpass_testkit.load_model PATTERN`."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from godwitpass_testkit.load_model.experiment import (
    InvalidExperiment,
    read_experiment,
    scale_experiment,
)
from godwitpass_testkit.load_model.report import draw_plot, render_report
from godwitpass_testkit.load_model.simulation import simulate

PATTERNS_FOLDER = Path(__file__).parent / "patterns"


def list_patterns() -> list[str]:
    """Return the names of the patterns that come with the model."""
    return sorted(path.stem for path in PATTERNS_FOLDER.glob("*.toml"))


def main(
    pattern: Annotated[str, typer.Argument(help="Name of a pattern, or path of a TOML file.")],
    seed: Annotated[int, typer.Option(help="Seed of arrivals and service times.")] = 1,
    daemons: Annotated[
        int | None, typer.Option(min=1, help="Scale the pattern to about so many daemons.")
    ] = None,
    extra_request_share: Annotated[
        float | None, typer.Option(min=0, max=1, help="Share of calls that may get one.")
    ] = None,
    plot: Annotated[Path | None, typer.Option(help="File for a plot over time.")] = None,
) -> None:
    """Play a load pattern through the daemon's own relay in virtual time."""
    known = PATTERNS_FOLDER / f"{pattern}.toml"
    path = known if known.exists() else Path(pattern)
    try:
        experiment = read_experiment(path)
    except InvalidExperiment as error:
        raise typer.BadParameter(
            f"{error}; known patterns: {', '.join(list_patterns())}"
        ) from error
    if daemons is not None:
        experiment = scale_experiment(experiment, daemons)
    if extra_request_share is not None:
        experiment = msgspec.structs.replace(experiment, extra_request_share=extra_request_share)
    result = simulate(experiment, seed)
    typer.echo(render_report(result))
    if plot is not None:
        draw_plot(result, plot)


if __name__ == "__main__":
    typer.run(main)
