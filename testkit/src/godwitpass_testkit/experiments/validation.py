"""Measures what reading a document costs the daemon that accepts it.

Run `python -m godwitpass_testkit.experiments.validation --output validation.json`. Each case runs
in a process of its own; memory is its growth while reading, time is CPU time. The naive baseline
parses with the library for JSON with comments and converts the result; it reports no locations and
only the first problem.
"""

import argparse
import contextlib
import json
import re
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import jsonc
import msgspec

from godwitpass.document import Document, read_document
from godwitpass.errors import InvalidDocument
from godwitpass.internal.validation.text import MAX_TEXT_BYTES, MAX_VALUES
from godwitpass_testkit.measurements import Param, Row, write_rows

SERVICE_COUNTS = (250, 1_000, 2_500)
ROUTES_PER_SERVICE = 2
POLICIES = 40
PROCESS_STATUS_FILE = Path("/proc/self/status")
BYTES_PER_KIB = 1024


def build_text(services: int, is_broken: bool = False) -> bytes:
    """Return a document of `services` services; `is_broken` lets routes name unknown ones."""
    suffix = "-unknown" if is_broken else ""
    routes = [
        {
            "name": f"route-{number}",
            "path_prefix": f"/area-{number % 50}/item-{number}",
            "service": f"service-{number % services}{suffix}",
            "policy": f"policy-{number % POLICIES}",
            "methods": ["GET", "HEAD"],
        }
        for number in range(services * ROUTES_PER_SERVICE)
    ]
    document = {
        "format": 1,
        "services": [{"name": f"service-{number}"} for number in range(services)],
        "routes": routes,
        "policies": [{"name": f"policy-{number}"} for number in range(POLICIES)],
    }
    return json.dumps(document, indent=1).encode()


def build_empty_arrays() -> bytes:
    """Return a text of about the maximum size that consists of empty arrays."""
    return b'{"services": [' + b"[]," * (MAX_TEXT_BYTES // 3 - 10) + b"1]}"


def build_small_objects() -> bytes:
    """Return a text with about the maximum number of values, none of which fits the types."""
    return b'{"services": [' + b'{"a":1},' * (MAX_VALUES // 2 - 10) + b"1]}"


def read_with_naive_parser(content: bytes) -> None:
    """Parse and convert without locations, up to the first problem."""
    msgspec.convert(jsonc.loads(content.decode()), Document)


def read_as_daemon(content: bytes) -> None:
    """Read and validate as the daemon does."""
    read_document(content)


READERS: dict[str, Callable[[bytes], None]] = {
    "whole": read_as_daemon,
    "naive": read_with_naive_parser,
}
INPUT_BUILDERS: dict[str, Callable[[int], bytes]] = {
    "valid": build_text,
    "broken": lambda services: build_text(services, is_broken=True),
    "empty-arrays": lambda _: build_empty_arrays(),
    "small-objects": lambda _: build_small_objects(),
}


def measure_case(reader_name: str, input_name: str, services: int, content: bytes) -> list[Row]:
    """Measure reading one input in this process, which must not have read another one."""
    before_bytes, started_at = _read_memory_bytes("VmRSS"), time.process_time()
    with contextlib.suppress(InvalidDocument, msgspec.ValidationError):
        READERS[reader_name](content)
    cpu_s, growth_bytes = (
        time.process_time() - started_at,
        _read_memory_bytes("VmHWM") - before_bytes,
    )
    params: dict[str, Param] = {"way": reader_name, "input": input_name, "services": services}
    return [
        Row("read_cpu", params, cpu_s, "s"),
        Row("read_memory", params, growth_bytes, "B"),
        Row("text_size", params, len(content), "B"),
    ]


def main() -> None:
    """Measure every case and write the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path)
    parser.add_argument("--case", nargs=3, metavar=("WAY", "INPUT", "SERVICES"))
    arguments = parser.parse_args()
    if arguments.case is not None:
        reader_name, input_name, services = arguments.case
        rows = measure_case(reader_name, input_name, int(services), sys.stdin.buffer.read())
        sys.stdout.buffer.write(msgspec.json.encode(rows))
        return
    cases = [
        (reader_name, input_name, services)
        for reader_name in READERS
        for input_name in ("valid", "broken")
        for services in SERVICE_COUNTS
    ]
    cases += [("whole", input_name, 0) for input_name in ("empty-arrays", "small-objects")]
    rows = [row for case in cases for row in _run_case(*case)]
    for row in rows:
        print(f"{row.name:12} {row.params} {row.value:.4g} {row.unit}")
    if arguments.output is not None:
        write_rows(arguments.output, rows)


def _run_case(reader_name: str, input_name: str, services: int) -> list[Row]:
    module = "godwitpass_testkit.experiments.validation"
    command = [sys.executable, "-m", module, "--case", reader_name, input_name, str(services)]
    content = INPUT_BUILDERS[input_name](services)
    finished = subprocess.run(command, input=content, check=True, stdout=subprocess.PIPE)
    return msgspec.json.decode(finished.stdout, type=list[Row])


def _read_memory_bytes(name: str) -> int:
    match = re.search(rf"{name}:\s+(\d+) kB", PROCESS_STATUS_FILE.read_text())
    assert (
        match is not None
    ), "/proc/self/status lacks the line with the resident memory or its peak"
    return int(match[1]) * BYTES_PER_KIB


if __name__ == "__main__":
    main()
