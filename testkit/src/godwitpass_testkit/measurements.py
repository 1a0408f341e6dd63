"""Measured values: written by experiments, read by benches, plots and the capacity page."""

from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

Param = str | int | float | bool


class Row(msgspec.Struct, frozen=True):
    """A measured value with its unit and, in `params`, the conditions of the measurement."""

    name: str
    params: dict[str, Param]
    value: float
    unit: str


class FittedLine(msgspec.Struct, frozen=True):
    """Line fitted to measured values: `base + per_unit * x`."""

    base: float
    per_unit: float

    def at(self, x: float) -> float:
        """Return the value of the line at `x`.

        >>> fit_line([(0.0, 1.0), (2.0, 5.0)]).at(10.0)
        21.0
        """
        return self.base + self.per_unit * x


def write_rows(path: Path, rows: Sequence[Row]) -> None:
    """Write `rows` as indented JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(list(rows)), indent=1) + b"\n")


def publish_rows(rows: Sequence[Row], output: Path | None) -> None:
    """Print `rows`, and write them to `output` if given."""
    for row in rows:
        params = " ".join(f"{name}={value}" for name, value in row.params.items())
        print(f"{row.name:<32} {params:<44} {row.value:>12.4g} {row.unit}")
    if output is not None:
        write_rows(output, rows)


def read_rows(path: Path) -> list[Row]:
    """Read rows written by `write_rows`."""
    return msgspec.json.decode(path.read_bytes(), type=list[Row])


def select_rows(rows: Iterable[Row], name: str, **params: Param) -> list[Row]:
    """Return the rows named `name` whose conditions include `params`."""
    return [
        row
        for row in rows
        if row.name == name and all(row.params.get(key) == value for key, value in params.items())
    ]


def fit_line(points: Sequence[tuple[float, float]]) -> FittedLine:
    """Fit a line by least squares; `points` need at least two different x values."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    assert sum_squares_x > 0.0, "a line can't be fitted: all points have the same x value"
    per_unit = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x
    return FittedLine(mean_y - per_unit * mean_x, per_unit)
