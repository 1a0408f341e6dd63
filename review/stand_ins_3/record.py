"""The record of a run, and the results that a script ends with."""

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins_3.machines import Machine

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 115.0


class Record:
    """Collects what was sent, answered and run, with the time since the start of the run."""

    def __init__(self) -> None:
        self._started_at = asyncio.get_running_loop().time()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line."""
        elapsed_s = asyncio.get_running_loop().time() - self._started_at
        self._lines.append(f"{elapsed_s:8.3f} {text}")

    def write(self, path: Path) -> None:
        """Write all lines to `path`."""
        path.write_text("\n".join(self._lines) + "\n")


class Run:
    """One run of a case; without `has_trouble`, it does the same without the disruption."""

    def __init__(self, folder: Path, has_trouble: bool) -> None:
        self.folder = folder
        self.has_trouble = has_trouble
        self.record = Record()
        self.machines: list[Machine] = []


def run_case(check: Callable[[Run], Awaitable[int]], has_trouble: bool) -> None:
    """Run `check` with a temporary folder, write the record, end all processes, and exit."""
    sys.exit(asyncio.run(_run(check, has_trouble)))


async def _run(check: Callable[[Run], Awaitable[int]], has_trouble: bool) -> int:
    with tempfile.TemporaryDirectory() as name:
        run = Run(Path(name), has_trouble)
        try:
            async with asyncio.timeout(MAX_RUN_S):
                result = await check(run)
        except Exception as error:
            # Without this, the interpreter would exit with the code of a broken rule.
            traceback.print_exc()
            run.record.add(f"the case could not run: {error!r}")
            result = NOT_RUN
        finally:
            for machine in run.machines:
                machine.kill()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for path in run.folder.iterdir():
                (Path(logs) / path.name).write_bytes(path.read_bytes())
    run.record.add(f"result: {('held', 'broken', 'not run')[result]}")
    run.record.write(Path(os.environ["RECORD"]))
    return result
