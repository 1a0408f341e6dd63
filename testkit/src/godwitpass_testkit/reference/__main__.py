"""Writes the generated pages: `python -m godwitpass_testkit.reference FOLDER`."""

import sys
from pathlib import Path

from godwitpass_testkit.reference.pages import PAGES


def main() -> None:
    """Write every page into the folder given."""
    folder = Path(sys.argv[1])
    for name, render in PAGES.items():
        (folder / name).write_text(render(), encoding="utf-8")


if __name__ == "__main__":
    main()
