"""Runs the demonstration: `python -m godwitpass_testkit.demo [--seconds N]`."""

import asyncio
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer

from godwitpass_daemon.settings import Settings
from godwitpass_testkit.caller import request
from godwitpass_testkit.demo.fleet import EXAMPLES, LAKESHORE, count_holders, start_fleet
from godwitpass_testkit.deployment import ADMIN_TOKEN, Deployment, run_deployment

CALLS_PER_ROUND = 60
ROUND_INTERVAL_S = 1.0
MAX_TIMELINE_LINES = 25
READ_PATHS = ("/status/42", "/histories/7", "/grants/7")


def main(
    seconds: Annotated[
        float, typer.Option(help="Stop after about this time; 0 runs until Ctrl-C.")
    ] = 0,
    folder: Annotated[
        Path | None, typer.Option(help="Folder in which to keep settings and logs.")
    ] = None,
) -> None:
    """Run a store, upstreams and daemons, apply a document, send calls and show the timeline."""
    signal.signal(signal.SIGTERM, _interrupt)
    with tempfile.TemporaryDirectory(prefix="godwitpass-demo-") as temporary_folder:
        try:
            with run_deployment(folder or Path(temporary_folder)) as deployment:
                _run_demo(deployment, seconds)
        except KeyboardInterrupt:
            print("\nstopped; all processes of the demonstration have ended")


def _interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


def _run_demo(deployment: Deployment, seconds: float) -> None:
    document = EXAMPLES / "lakeshore" / "document.json"
    print(f"starting a stand-in store, {LAKESHORE.size} upstreams and as many daemons ...")
    nodes = start_fleet(deployment, LAKESHORE)
    print(f"folder with settings and logs: {deployment.folder}\n")
    _run_godwitctl(nodes[0], "apply", str(document), "--wait", "30")
    deployment.wait_until(
        "all daemons hold version 1", lambda: count_holders(nodes, 1) == len(nodes)
    )
    _run_godwitctl(nodes[0], "status")
    _send_round(nodes)
    print("\nrolling back to version 1, which creates version 2 with its content ...")
    _run_godwitctl(nodes[1], "rollback", "1", "--wait", "30")
    deployment.wait_until(
        "all daemons hold version 2", lambda: count_holders(nodes, 2) == len(nodes)
    )
    _run_godwitctl(nodes[1], "status")
    print(f"\nlast {MAX_TIMELINE_LINES} events of all daemons:")
    _show_timeline(nodes)
    print("\nsending calls every second; press Ctrl-C to stop")
    asyncio.run(_send_rounds(nodes, seconds))
    print("done; stopping all processes of the demonstration")


def _run_godwitctl(node: Settings, *arguments: str) -> None:
    print(f"$ godwitctl {' '.join(arguments)}", flush=True)
    subprocess.run([*_build_godwitctl_command(node), *arguments], check=True)


def _build_godwitctl_command(*nodes: Settings) -> list[str]:
    addresses = [argument for node in nodes for argument in ("--address", node.listen.admin)]
    return [sys.executable, "-m", "godwitpass_cli", *addresses, "--token", ADMIN_TOKEN]


def _show_timeline(nodes: list[Settings]) -> None:
    finished = subprocess.run(
        [*_build_godwitctl_command(*nodes), "timeline"], check=True, capture_output=True, text=True
    )
    print("\n".join(finished.stdout.splitlines()[-MAX_TIMELINE_LINES:]))


def _send_round(nodes: list[Settings]) -> None:
    print(f"\n{CALLS_PER_ROUND} calls, spread over all daemons: {asyncio.run(_count_calls(nodes))}")


async def _send_rounds(nodes: list[Settings], seconds: float) -> None:
    rounds = int(seconds / ROUND_INTERVAL_S)
    sent_rounds = 0
    while not seconds or sent_rounds < rounds:
        print(await _count_calls(nodes), flush=True)
        await asyncio.sleep(ROUND_INTERVAL_S)
        sent_rounds += 1


async def _count_calls(nodes: list[Settings]) -> str:
    calls = [
        request(nodes[index % len(nodes)].listen.outer, READ_PATHS[index % len(READ_PATHS)])
        for index in range(CALLS_PER_ROUND)
    ]
    answers = await asyncio.gather(*calls)
    counts = Counter(f"{answer.status} {answer.outcome}".strip() for answer in answers)
    return ", ".join(f"{count} x {outcome}" for outcome, count in counts.most_common())


if __name__ == "__main__":
    typer.run(main)
