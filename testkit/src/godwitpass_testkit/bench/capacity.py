"""The capacity page, derived from measured rows."""

from collections.abc import Sequence

from godwitpass_testkit.bench.bounds import Bound
from godwitpass_testkit.measurements import Row

BOUNDS: tuple[Bound, ...] = ()


def derive_page(rows: Sequence[Row]) -> str:
    """Return the page in Markdown."""
    return f"# Capacity\n\n{len(rows)} rows\n"
