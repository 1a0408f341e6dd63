"""Runs the `godwitctl` command for `python -m godwitpass_cli`."""

from godwitpass_cli.main import main

main()
