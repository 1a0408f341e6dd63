"""Measures what reading a document costs the daemon that accepts it.

Run `python -m godwitpass_testkit.experiments.validation --output validation.json`. Each case runs
in a process of its own; memory is its growth while reading, time is the processor's. The naive way
parses with the comments library and converts, without places or findings of more than one problem.
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

SIZES = (250, 1_000, 2_500)
ROUTES_PER_SERVICE = 2
POLICIES = 40
STATUS = Path("/proc/self/status")
KIB = 1024


def build_text(services: int, broken: bool = False) -> bytes:
    """Return a document of `services` services; broken ones have routes to unknown services."""
    suffix = "-unknown" if broken else ""
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
    """Return a text of the greatest size that is made of empty arrays."""
    return b'{"services": [' + b"[]," * (MAX_TEXT_BYTES // 3 - 10) + b"1]}"


def build_small_objects() -> bytes:
    """Return a text with about the greatest number of values, all misfits."""
    return b'{"services": [' + b'{"a":1},' * (MAX_VALUES // 2 - 10) + b"1]}"


def read_naively(content: bytes) -> None:
    """Parse and convert without places; the first misfit ends it."""
    msgspec.convert(jsonc.loads(content.decode()), Document)


def read_whole(content: bytes) -> None:
    """Read as the daemon does."""
    read_document(content)


WAYS: dict[str, Callable[[bytes], None]] = {"whole": read_whole, "naive": read_naively}
INPUTS: dict[str, Callable[[int], bytes]] = {
    "valid": build_text,
    "broken": lambda services: build_text(services, broken=True),
    "empty-arrays": lambda _: build_empty_arrays(),
    "small-objects": lambda _: build_small_objects(),
}


def measure_case(way: str, given: str, services: int, content: bytes) -> list[Row]:
    """Read one input in this process, which must be fresh."""
    before, began = _read_memory("VmRSS"), time.process_time()
    with contextlib.suppress(InvalidDocument, msgspec.ValidationError):
        WAYS[way](content)
    seconds, growth = time.process_time() - began, _read_memory("VmHWM") - before
    params: dict[str, Param] = {"way": way, "input": given, "services": services}
    return [
        Row("read_cpu", params, seconds, "s"),
        Row("read_memory", params, growth, "B"),
        Row("text_size", params, len(content), "B"),
    ]


def main() -> None:
    """Measure every case and write the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path)
    parser.add_argument("--case", nargs=3, metavar=("WAY", "INPUT", "SERVICES"))
    arguments = parser.parse_args()
    if arguments.case is not None:
        way, given, services = arguments.case
        rows = measure_case(way, given, int(services), sys.stdin.buffer.read())
        sys.stdout.buffer.write(msgspec.json.encode(rows))
        return
    cases = [(way, given, size) for way in WAYS for given in ("valid", "broken") for size in SIZES]
    cases += [("whole", given, 0) for given in ("empty-arrays", "small-objects")]
    rows = [row for case in cases for row in _run_case(*case)]
    for row in rows:
        print(f"{row.name:12} {row.params} {row.value:.4g} {row.unit}")
    if arguments.output is not None:
        write_rows(arguments.output, rows)


def _run_case(way: str, given: str, services: int) -> list[Row]:
    module = "godwitpass_testkit.experiments.validation"
    command = [sys.executable, "-m", module, "--case", way, given, str(services)]
    content = INPUTS[given](services)
    done = subprocess.run(command, input=content, check=True, stdout=subprocess.PIPE)
    return msgspec.json.decode(done.stdout, type=list[Row])


def _read_memory(name: str) -> int:
    found = re.search(rf"{name}:\s+(\d+) kB", STATUS.read_text())
    assert found is not None, "the kernel tells the resident memory and its peak"
    return int(found[1]) * KIB


if __name__ == "__main__":
    main()
