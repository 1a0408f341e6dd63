"""Run the stand-in store: `python -m godwitpass_testkit.store --listen 127.0.0.1:PORT`."""

import argparse

from godwitpass_testkit.store.server import build_server
from godwitpass_testkit.store.state import StoreState


def main() -> None:
    """Serve the stand-in store until interrupted."""
    parser = argparse.ArgumentParser(prog="godwitpass_testkit.store")
    parser.add_argument("--listen", required=True, help="HOST:PORT")
    host, _, port = parser.parse_args().listen.rpartition(":")
    if not host or not port.isdigit():
        parser.error("--listen needs HOST:PORT, such as 127.0.0.1:2379")
    build_server(StoreState(), host, int(port)).run()


if __name__ == "__main__":
    main()
