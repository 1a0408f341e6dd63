"""Lets `python -m godwitpass_cli` stand for `godwitctl`."""

from godwitpass_cli.main import main

main()
