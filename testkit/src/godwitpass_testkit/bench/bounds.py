"""Bounds on measured rows; each comes from the stated target, never from a measured figure."""

from collections.abc import Iterable

import msgspec

from godwitpass_testkit.measurements import Param, Row, select_rows


class Bound(msgspec.Struct, frozen=True):
    """Every row called `name` with `params` lies between `at_least` and `at_most`."""

    name: str
    target: str
    at_most: float = float("inf")
    at_least: float = float("-inf")
    params: dict[str, Param] = {}


class Breach(msgspec.Struct, frozen=True):
    """A row outside its bound; `row` is None where no row was measured."""

    bound: Bound
    row: Row | None

    def render(self) -> str:
        """Return the breach as one line.

        >>> Breach(Bound("cpu", "4% of a core", at_most=4.0), Row("cpu", {}, 5.0, "%")).render()
        'cpu {}: 5 %, bound -inf to 4 (4% of a core)'
        """
        limits = f"bound {self.bound.at_least:g} to {self.bound.at_most:g} ({self.bound.target})"
        if self.row is None:
            return f"{self.bound.name} {self.bound.params}: not measured, {limits}"
        row = self.row
        return f"{row.name} {row.params}: {row.value:.4g} {row.unit}, {limits}"


def find_breaches(rows: Iterable[Row], bounds: Iterable[Bound]) -> list[Breach]:
    """Return every row outside its bound, and every bound that no row answers."""
    measured = list(rows)
    breaches: list[Breach] = []
    for bound in bounds:
        selected = select_rows(measured, bound.name, **bound.params)
        if not selected:
            breaches.append(Breach(bound, None))
        breaches += [
            Breach(bound, row)
            for row in selected
            if not bound.at_least <= row.value <= bound.at_most
        ]
    return breaches
