"""The `godwitd` command, which runs the daemon or checks its settings."""

import signal
import sys
from pathlib import Path

import anyio
import click

from godwitpass.errors import GodwitpassError
from godwitpass_daemon.composition import build_kernel
from godwitpass_daemon.kernel import Kernel
from godwitpass_daemon.settings import Settings, read_settings, report_settings

EXIT_INVALID_SETTINGS = 2


@click.group()
def main() -> None:
    """Run the godwitpass daemon, or check its settings."""


@main.command("check-settings")
@click.argument("file", type=click.Path(path_type=Path))
def check_settings(file: Path) -> None:
    """Check the settings in FILE and print every finding."""
    if not report_settings(file):
        sys.exit(EXIT_INVALID_SETTINGS)


@main.command("run")
@click.argument("file", type=click.Path(path_type=Path))
def run(file: Path) -> None:
    """Run the daemon with the settings in FILE until SIGTERM or SIGINT."""
    settings = _read_settings_or_exit(file)
    anyio.run(_run_daemon, settings, backend_options={"use_uvloop": True})


def _read_settings_or_exit(file: Path) -> Settings:
    try:
        return read_settings(file)
    except GodwitpassError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)


async def _run_daemon(settings: Settings) -> None:
    kernel = build_kernel(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, kernel)
        await kernel.run()
        tasks.cancel_scope.cancel()


async def _stop_on_signal(kernel: Kernel) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            kernel.request_stop()


if __name__ == "__main__":
    main()
