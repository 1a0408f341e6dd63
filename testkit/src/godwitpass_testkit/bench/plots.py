"""Draws plots of measured rows as image files."""

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
    """Rows drawn as one line; `x_param` names the parameter on the horizontal axis."""

    label: str
    name: str
    x_param: str
    params: dict[str, Param] = {}


class Plot(msgspec.Struct, frozen=True):
    """One image file with a line for each series."""

    file_name: str
    title: str
    x_label: str
    y_label: str
    series: tuple[Series, ...]
    is_x_logarithmic: bool = False
    is_y_logarithmic: bool = False


def draw_plots(rows: Iterable[Row], folder: Path, plots: Sequence[Plot]) -> list[Path]:
    """Draw each plot that has rows into `folder` and return the files written."""
    all_rows = list(rows)
    paths = (draw_plot(plot, all_rows, folder) for plot in plots)
    return [path for path in paths if path is not None]


def draw_plot(plot: Plot, rows: Sequence[Row], folder: Path) -> Path | None:
    """Draw one plot and return its file; None if no row was measured for it."""
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    has_points = False
    for series in plot.series:
        points = sorted(
            (float(row.params[series.x_param]), row.value)
            for row in select_rows(rows, series.name, **series.params)
        )
        if points:
            axes.plot(*zip(*points, strict=True), marker="o", label=series.label)
            has_points = True
    axes.set(title=plot.title, xlabel=plot.x_label, ylabel=plot.y_label)
    if plot.is_x_logarithmic:
        axes.set_xscale("log")
    if plot.is_y_logarithmic:
        axes.set_yscale("log")
    path = folder / plot.file_name
    if has_points:
        axes.legend()
        figure.savefig(path, metadata={"Software": None})
    pyplot.close(figure)
    return path if has_points else None
