"""Measures membership: bytes, messages, detection, drains, a herd, processor time and memory."""

import argparse
from pathlib import Path

from godwitpass_testkit.experiments.membership_faults import (
    measure_faults,
    measure_herd,
    measure_idle_and_churn,
    measure_loss,
    measure_lost_zone,
    measure_processor_time,
)
from godwitpass_testkit.experiments.membership_memory import measure_memory
from godwitpass_testkit.experiments.membership_regions import measure_regions
from godwitpass_testkit.measurements import Row, write_rows


def measure_all(members: int) -> list[Row]:
    """Run all measurements under virtual time with `members` daemons in one region."""
    rows: list[Row] = []
    for measure in (
        measure_idle_and_churn,
        measure_faults,
        measure_loss,
        measure_lost_zone,
        measure_processor_time,
        measure_herd,
    ):
        for row in measure(members):
            rows.append(row)
            print(f"{row.name}: {row.value:.4g} {row.unit} {row.params}", flush=True)
    return rows


def main() -> None:
    """Measure and write the rows as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, nargs="+", default=[], help="in one region")
    parser.add_argument("--regions", type=int, nargs="+", default=[], help="in each of nine")
    parser.add_argument("--full-detail", type=int, help="of 13,000 upstreams; measures memory")
    parser.add_argument("--output", type=Path, required=True)
    options = parser.parse_args()
    rows: list[Row] = []
    if options.full_detail is not None:
        # First, while the process holds nothing else.
        rows += measure_memory(options.full_detail)
    for members in options.members:
        rows += measure_all(members)
    for members in options.regions:
        rows += measure_regions(members)
    write_rows(options.output, rows)


if __name__ == "__main__":
    main()
