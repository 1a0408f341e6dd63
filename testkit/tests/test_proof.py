import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
FOLDERS = ("packages", "testkit/tests", "tests")


def list_tests() -> set[str]:
    found: set[str] = set()
    for folder in FOLDERS:
        for path in (ROOT / folder).rglob("test_*.py"):
            found |= set(re.findall(r"def (test_\w+)", path.read_text(encoding="utf-8")))
    return found


class TestProofPage:
    def test_every_test_that_the_page_names_exists(self) -> None:
        page = (ROOT / "docs" / "PROOF.md").read_text(encoding="utf-8")
        named = set(re.findall(r"`(test_\w+)`", page))
        assert len(named) > 20
        assert named <= list_tests()
