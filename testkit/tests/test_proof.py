import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
TEST_FOLDERS = ("packages", "testkit/tests", "tests")


def list_test_names() -> set[str]:
    names: set[str] = set()
    for folder in TEST_FOLDERS:
        for path in (ROOT / folder).rglob("test_*.py"):
            names |= set(re.findall(r"def (test_\w+)", path.read_text(encoding="utf-8")))
    return names


class TestProofPage:
    def test_every_test_named_on_the_page_exists(self) -> None:
        page = (ROOT / "docs" / "PROOF.md").read_text(encoding="utf-8")
        named_tests = set(re.findall(r"`(test_\w+)`", page))
        assert len(named_tests) > 20
        assert named_tests <= list_test_names()
