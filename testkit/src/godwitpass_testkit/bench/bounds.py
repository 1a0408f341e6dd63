"""Bounds on measured rows, taken from the requirements and never from earlier measurements."""

from collections.abc import Iterable

import msgspec

from godwitpass_testkit.measurements import Param, Row, select_rows


class Bound(msgspec.Struct, frozen=True):
    """Limits for every row called `name` whose conditions include `params`.

    `requirement` states in words what the limits ensure.
    """

    name: str
    requirement: str
    at_most: float = float("inf")
    at_least: float = float("-inf")
    params: dict[str, Param] = {}


class Breach(msgspec.Struct, frozen=True):
    """A row outside its bound; `row` is None if no row matches the bound."""

    bound: Bound
    row: Row | None

    def render(self) -> str:
        """Return the breach as one line.

        >>> Breach(Bound("cpu", "4% of a core", at_most=4.0), Row("cpu", {}, 5.0, "%")).render()
        'cpu {}: 5 %, bound -inf to 4 (4% of a core)'
        """
        limits = (
            f"bound {self.bound.at_least:g} to {self.bound.at_most:g} ({self.bound.requirement})"
        )
        if self.row is None:
            return f"{self.bound.name} {self.bound.params}: not measured, {limits}"
        row = self.row
        return f"{row.name} {row.params}: {row.value:.4g} {row.unit}, {limits}"


def find_breaches(rows: Iterable[Row], bounds: Iterable[Bound]) -> list[Breach]:
    """Return a breach for each row outside its bound and each bound without a row."""
    all_rows = list(rows)
    breaches: list[Breach] = []
    for bound in bounds:
        selected = select_rows(all_rows, bound.name, **bound.params)
        if not selected:
            breaches.append(Breach(bound, None))
        breaches += [
            Breach(bound, row)
            for row in selected
            if not bound.at_least <= row.value <= bound.at_most
        ]
    return breaches
