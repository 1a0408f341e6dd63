"""Plots of the measured rows."""

from collections.abc import Iterable, Sequence
from pathlib import Path

import matplotlib
import msgspec

matplotlib.use("Agg")

from matplotlib import pyplot

from godwitpass_testkit.measurements import Param, Row, select_rows

WIDTH_INCHES = 7.0
HEIGHT_INCHES = 4.5


class Series(msgspec.Struct, frozen=True):
    """Rows that make one line; `x` names the parameter on the horizontal axis."""

    label: str
    name: str
    x: str
    params: dict[str, Param] = {}


class Plot(msgspec.Struct, frozen=True):
    """One picture."""

    file: str
    title: str
    x_label: str
    y_label: str
    series: tuple[Series, ...]
    logarithmic_x: bool = False
    logarithmic_y: bool = False


def draw_plots(rows: Iterable[Row], folder: Path, plots: Sequence[Plot]) -> list[Path]:
    """Draw each plot that has rows and return the files written."""
    measured = list(rows)
    drawn = (draw_plot(plot, measured, folder) for plot in plots)
    return [path for path in drawn if path is not None]


def draw_plot(plot: Plot, rows: Sequence[Row], folder: Path) -> Path | None:
    """Draw one plot; None when nothing was measured for it."""
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    drawn = False
    for series in plot.series:
        points = sorted(
            (float(row.params[series.x]), row.value)
            for row in select_rows(rows, series.name, **series.params)
        )
        if points:
            axes.plot(*zip(*points, strict=True), marker="o", label=series.label)
            drawn = True
    axes.set(title=plot.title, xlabel=plot.x_label, ylabel=plot.y_label)
    if plot.logarithmic_x:
        axes.set_xscale("log")
    if plot.logarithmic_y:
        axes.set_yscale("log")
    path = folder / plot.file
    if drawn:
        axes.legend()
        figure.savefig(path, metadata={"Software": None})
    pyplot.close(figure)
    return path if drawn else None
