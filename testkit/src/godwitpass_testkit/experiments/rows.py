"""Rows of figures that experiments write."""

from pathlib import Path

import msgspec


class Row(msgspec.Struct, frozen=True):
    """One figure, with the parameters it was measured under."""

    name: str
    params: dict[str, str | int | float]
    value: float
    unit: str


def write_rows(rows: list[Row], output: Path | None) -> None:
    """Print rows, and write them as JSON."""
    for row in rows:
        params = " ".join(f"{name}={value}" for name, value in row.params.items())
        print(f"{row.name:<32} {params:<44} {row.value:>12.4g} {row.unit}")
    if output is not None:
        output.write_bytes(msgspec.json.format(msgspec.json.encode(rows), indent=1) + b"\n")
