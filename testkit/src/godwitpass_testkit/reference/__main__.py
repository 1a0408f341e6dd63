"""Writes the reference pages: `python -m godwitpass_testkit.reference FOLDER`."""

import sys
from pathlib import Path

from godwitpass_testkit.reference.pages import PAGES


def main() -> None:
    """Write all pages into the folder that the first argument names."""
    folder = Path(sys.argv[1])
    for name, render_page in PAGES.items():
        (folder / name).write_text(render_page(), encoding="utf-8")


if __name__ == "__main__":
    main()
