"""Measures the memory of one daemon that holds a full document and knows the whole mesh.

The measured process runs all services of a daemon; a second daemon accepts the document. Once the
measured daemon holds it, the members and summaries of the target size are installed into its
membership.
"""

import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from godwitpass_testkit.deployment import Deployment, call_admin, run_deployment
from godwitpass_testkit.experiments.membership_memory import (
    TARGET_SERVICES,
    TARGET_UPSTREAMS,
)
from godwitpass_testkit.experiments.processes import build_document
from godwitpass_testkit.measurements import Param, Row, publish_rows

BYTES_PER_MB = 1_000_000
STAGES = ("before start", "document held", "document and mesh held")


def main(
    output: Annotated[Path | None, typer.Option(help="File to write the rows to.")] = None,
) -> None:
    """Measure the resident memory and write the rows."""
    with (
        tempfile.TemporaryDirectory(prefix="godwitpass-memory-") as folder,
        run_deployment(Path(folder)) as deployment,
    ):
        publish_rows(measure(deployment), output)


def measure(deployment: Deployment) -> list[Row]:
    """Let one daemon accept the document and measure another that holds it and the whole mesh."""
    accepting_node = deployment.add_node(
        "accepting", "zone-00", "region-0", "desk", has_upstream=False
    )
    deployment.wait_until(
        "the accepting daemon answers",
        lambda: call_admin(accepting_node, "GET", "/v1/status") is not None,
    )
    document = msgspec.json.encode(build_document(TARGET_SERVICES - 1, 0))
    answer = call_admin(accepting_node, "PUT", "/v1/document", document)
    assert answer is not None and answer.status == 200, answer
    settings = deployment.write_settings("measured", "zone-01", "region-0")
    module = "godwitpass_testkit.experiments.memory_daemon"
    command = [sys.executable, "-m", module, str(settings)]
    finished = subprocess.run(command, check=True, capture_output=True, text=True)
    params: dict[str, Param] = {"services": TARGET_SERVICES, "upstreams": TARGET_UPSTREAMS}
    return [
        Row("resident", {**params, "at": stage}, int(resident_bytes) / BYTES_PER_MB, "MB")
        for stage, resident_bytes in zip(STAGES, finished.stdout.split(), strict=True)
    ]


if __name__ == "__main__":
    typer.run(main)
