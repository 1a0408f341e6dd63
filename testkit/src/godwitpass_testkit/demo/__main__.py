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

CALLS_A_ROUND = 60
ROUND_S = 1.0
TIMELINE_LINES = 25
READ_PATHS = ("/status/42", "/histories/7", "/grants/7")


def main(
    seconds: Annotated[float, typer.Option(help="End by itself after this time; 0: Ctrl-C.")] = 0,
    folder: Annotated[Path | None, typer.Option(help="Keep settings and logs here.")] = None,
) -> None:
    """Run store, upstreams and daemons, apply a document, send calls, show the time line."""
    signal.signal(signal.SIGTERM, _interrupt)
    with tempfile.TemporaryDirectory(prefix="godwitpass-demo-") as scratch:
        try:
            with run_deployment(folder or Path(scratch)) as deployment:
                _demonstrate(deployment, seconds)
        except KeyboardInterrupt:
            print("\nstopped; every process that the demonstration started has ended")


def _interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


def _demonstrate(deployment: Deployment, seconds: float) -> None:
    document = EXAMPLES / "lakeshore" / "document.json"
    print(f"starting a stand-in store, {LAKESHORE.size} upstreams and as many daemons ...")
    nodes = start_fleet(deployment, LAKESHORE)
    print(f"folder with settings and logs: {deployment.folder}\n")
    _run_ctl(nodes[0], "apply", str(document), "--wait", "30")
    deployment.wait_until("all hold version 1", lambda: count_holders(nodes, 1) == len(nodes))
    _run_ctl(nodes[0], "status")
    _send_round(nodes)
    print("\nrolling back to the same content, as version 2 ...")
    _run_ctl(nodes[1], "rollback", "1", "--wait", "30")
    deployment.wait_until("all hold version 2", lambda: count_holders(nodes, 2) == len(nodes))
    _run_ctl(nodes[1], "status")
    print(f"\nlast {TIMELINE_LINES} events over all processes:")
    _show_timeline(nodes)
    print("\nsending calls each second; Ctrl-C ends everything")
    asyncio.run(_send_rounds(nodes, seconds))
    print("done; every process that the demonstration started is being ended")


def _run_ctl(node: Settings, *arguments: str) -> None:
    print(f"$ godwitctl {' '.join(arguments)}", flush=True)
    subprocess.run([*_build_ctl(node), *arguments], check=True)


def _build_ctl(*nodes: Settings) -> list[str]:
    addresses = [part for node in nodes for part in ("--address", node.listen.admin)]
    return [sys.executable, "-m", "godwitpass_cli", *addresses, "--token", ADMIN_TOKEN]


def _show_timeline(nodes: list[Settings]) -> None:
    shown = subprocess.run(
        [*_build_ctl(*nodes), "timeline"], check=True, capture_output=True, text=True
    )
    print("\n".join(shown.stdout.splitlines()[-TIMELINE_LINES:]))


def _send_round(nodes: list[Settings]) -> None:
    print(f"\n{CALLS_A_ROUND} calls, spread over all daemons: {asyncio.run(_count_calls(nodes))}")


async def _send_rounds(nodes: list[Settings], seconds: float) -> None:
    rounds = int(seconds / ROUND_S)
    done = 0
    while not seconds or done < rounds:
        print(await _count_calls(nodes), flush=True)
        await asyncio.sleep(ROUND_S)
        done += 1


async def _count_calls(nodes: list[Settings]) -> str:
    calls = [
        request(nodes[index % len(nodes)].listen.outer, READ_PATHS[index % len(READ_PATHS)])
        for index in range(CALLS_A_ROUND)
    ]
    answers = await asyncio.gather(*calls)
    counts = Counter(f"{answer.status} {answer.outcome}".strip() for answer in answers)
    return ", ".join(f"{count} x {outcome}" for outcome, count in counts.most_common())


if __name__ == "__main__":
    typer.run(main)
