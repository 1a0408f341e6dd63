"""Lets `python -m godwitpass_daemon` stand for `godwitd`."""

from godwitpass_daemon.main import main

main()
