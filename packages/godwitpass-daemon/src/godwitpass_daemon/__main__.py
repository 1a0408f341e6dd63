"""Runs the `godwitd` command for `python -m godwitpass_daemon`."""

from godwitpass_daemon.main import main

main()
