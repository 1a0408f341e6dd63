import re
import shlex
from collections import Counter
from pathlib import Path

import pytest

from godwitpass.document import read_document
from godwitpass.ids import Address
from godwitpass_cli.main import run
from godwitpass_daemon.settings import read_settings, report_settings
from godwitpass_testkit.administration import ADMIN_TOKEN, FakeDaemon, run_admin
from godwitpass_testkit.demo.fleet import EXAMPLES, GUILD, LAKESHORE, FleetPlan
from godwitpass_testkit.deployment import call_admin, run_deployment
from godwitpass_testkit.ports import AddressAllocator
from godwitpass_testkit.reference.catalogue import list_events
from godwitpass_testkit.reference.pages import PAGES

DOCS = EXAMPLES.parent / "docs"
COMMAND = re.compile(r"^\$ (godwitctl|godwitd) (.*?)(?: # exits with (\d))?$", re.MULTILINE)
ADMIN_ADDRESS = re.compile(r"127\.\d+\.\d+\.\d+:7003")
PAGES_WITH_COMMANDS = [
    path.stem
    for path in sorted((DOCS / "operators").glob("*.md"))
    if COMMAND.search(path.read_text(encoding="utf-8"))
]


class TestPages:
    @pytest.mark.parametrize("name", PAGES)
    def test_a_committed_page_is_what_the_types_say(self, name: str) -> None:
        committed = (DOCS / name).read_text(encoding="utf-8")
        assert committed == PAGES[name](), "run scripts/generate-docs"

    def test_events_of_every_area_have_numbers_of_their_own(self) -> None:
        numbers = [kind.number for kind in list_events()]
        assert numbers == sorted(set(numbers)) and {100, 600} <= set(numbers)


class TestExamples:
    @pytest.mark.parametrize(("folder", "plan"), [("lakeshore", LAKESHORE), ("guild", GUILD)])
    def test_settings_and_document_are_valid_and_of_the_size_of_the_deployment(
        self, folder: str, plan: FleetPlan
    ) -> None:
        document = read_document((EXAMPLES / folder / "document.json").read_bytes())
        settings = [read_settings(path) for path in (EXAMPLES / folder / "settings").iterdir()]
        counts = Counter(item.upstream.service for item in settings if item.upstream is not None)
        assert counts == {service.name: service.upstreams for service in plan.services}
        assert counts.keys() == {service.name for service in document.services}
        assert {(item.region, item.zone) for item in settings} == {
            (plan.region, zone) for zone in plan.zones
        }
        addresses = [address for item in settings for address in (item.listen.admin, item.instance)]
        assert len(set(addresses)) == 2 * len(settings)


def prepare_folder(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("GODWITCTL_TOKEN", ADMIN_TOKEN)
    monkeypatch.chdir(folder)
    (folder / "examples").symlink_to(EXAMPLES)
    for log in ("status-desk-1.log", "status-desk-2.log"):
        (folder / log).touch()


def run_page(page: str, admin: Address) -> list[str]:
    """Run the commands of a page against the daemon at `admin`; return those that ended wrongly."""
    wrong: list[str] = []
    text = (DOCS / "operators" / f"{page}.md").read_text(encoding="utf-8")
    for program, line, code in COMMAND.findall(text):
        arguments = shlex.split(ADMIN_ADDRESS.sub(admin, line))
        if program == "godwitctl":
            given = run(["--address", admin, *arguments])
        else:
            given = 0 if report_settings(Path(arguments[1])) else 2
        if given != int(code or 0):
            wrong.append(f"{program} {line}: {given}")
    return wrong


class TestOperatorsPages:
    def test_the_pages_of_the_shell_have_commands(self) -> None:
        assert {"first-day", "status", "timeline"} <= set(PAGES_WITH_COMMANDS)

    @pytest.mark.parametrize("page", PAGES_WITH_COMMANDS)
    def test_every_command_of_a_page_ends_as_the_page_says(
        self, page: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        prepare_folder(tmp_path, monkeypatch)
        admin = AddressAllocator().allocate()
        with run_admin(FakeDaemon(), admin):
            assert run_page(page, admin) == []

    def test_the_first_day_goes_as_its_page_says_with_a_real_daemon_and_store(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        prepare_folder(tmp_path, monkeypatch)
        with run_deployment(tmp_path) as deployment:
            node = deployment.add_node("status-desk-1", "lakes-a", "great-lakes", "status-desk")
            deployment.wait_until(
                "the daemon answers", lambda: call_admin(node, "GET", "/v1/history") is not None
            )
            assert run_page("first-day", node.listen.admin) == []
