"""Measures membership: traffic, failure detection, drains, mass starts, CPU time and memory."""

import argparse
from pathlib import Path

from godwitpass_testkit.experiments.membership_faults import (
    measure_cpu_time,
    measure_faults,
    measure_herd,
    measure_idle_and_churn,
    measure_loss,
    measure_zone_loss,
)
from godwitpass_testkit.experiments.membership_memory import measure_memory
from godwitpass_testkit.experiments.membership_regions import measure_regions
from godwitpass_testkit.measurements import Row, write_rows


def measure_all(members: int) -> list[Row]:
    """Run all measurements of one region with `members` daemons under virtual time."""
    rows: list[Row] = []
    for measure in (
        measure_idle_and_churn,
        measure_faults,
        measure_loss,
        measure_zone_loss,
        measure_cpu_time,
        measure_herd,
    ):
        for row in measure(members):
            rows.append(row)
            print(f"{row.name}: {row.value:.4g} {row.unit} {row.params}", flush=True)
    return rows


def main() -> None:
    """Run the measurements that the arguments select and write the rows as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--members", type=int, nargs="+", default=[], help="numbers of daemons to run in one region"
    )
    parser.add_argument(
        "--regions",
        type=int,
        nargs="+",
        default=[],
        help="numbers of daemons to run in each of nine regions",
    )
    parser.add_argument(
        "--full-detail",
        type=int,
        help="measure memory with full records of this many of 13,000 upstreams",
    )
    parser.add_argument("--output", type=Path, required=True)
    arguments = parser.parse_args()
    rows: list[Row] = []
    if arguments.full_detail is not None:
        # Runs first, while the process holds nothing else in memory.
        rows += measure_memory(arguments.full_detail)
    for members in arguments.members:
        rows += measure_all(members)
    for members in arguments.regions:
        rows += measure_regions(members)
    write_rows(arguments.output, rows)


if __name__ == "__main__":
    main()
