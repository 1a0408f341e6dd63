from pathlib import Path
from typing import Any

import msgspec
import pytest
from typer import Typer
from typer.testing import CliRunner

from godwitpass_testkit.scores import (
    compare_scores,
    find_losses,
    main,
    read_journal,
    render_comparison,
)


def write_entry(folder: Path, number: int, **fields: Any) -> None:
    entry: dict[str, Any] = {
        "id": f"{number:08x}",
        "cmd": "score",
        "head": f"{number:040x}",
        "at": [f"2026-01-01T00:00:{number:02}Z", f"2026-01-01T00:01:{number:02}Z"],
        "site": "park",
        "argv": [],
        "score": 0.5,
        "figures": {"gate": 1.0},
        "days": [{"name": "quiet-1", "slot": "quiet", "G": 0.8, "served": 0.99}],
        "something_new": {"ignored": True},
    }
    (folder / f"{number}.json").write_bytes(msgspec.json.encode({**entry, **fields}))


class TestComparison:
    def test_the_newest_score_is_compared_with_the_one_before_it(self, tmp_path: Path) -> None:
        for number, score in enumerate((0.3, 0.4, 0.6)):
            write_entry(tmp_path, number, score=score)
        comparison = compare_scores(read_journal(tmp_path))["park"]
        assert comparison.newest.score == 0.6
        assert comparison.earlier is not None and comparison.earlier.score == 0.4

    def test_a_commit_selects_the_earlier_score(self, tmp_path: Path) -> None:
        write_entry(tmp_path, 1, head="abc1", score=0.3)
        write_entry(tmp_path, 2, head="def2", score=0.4)
        write_entry(tmp_path, 3, head="fed3", score=0.6)
        comparison = compare_scores(read_journal(tmp_path), against="abc")["park"]
        assert comparison.earlier is not None and comparison.earlier.score == 0.3

    @pytest.mark.parametrize(
        "fields",
        [
            {"argv": ["--quick"]},
            {"argv": ["--small"]},
            {"cmd": "hunt"},
            {"days": []},
            {"days": None, "site": None, "score": None, "figures": None},
        ],
    )
    def test_a_run_that_is_no_complete_score_is_left_out(
        self, tmp_path: Path, fields: dict[str, Any]
    ) -> None:
        write_entry(tmp_path, 1)
        write_entry(tmp_path, 2, **fields)
        assert compare_scores(read_journal(tmp_path))["park"].newest.id == "00000001"

    def test_a_table_shows_worth_before_and_now_and_the_broken_rules(self, tmp_path: Path) -> None:
        day = {"name": "quiet-1", "slot": "quiet", "G": 0.7, "served": 0.9}
        write_entry(tmp_path, 1)
        write_entry(tmp_path, 2, days=[{**day, "rules": {"LOST": 2}}], figures={"gate": 0.0})
        table = render_comparison("park", compare_scores(read_journal(tmp_path))["park"])
        assert "| quiet-1 | 0.800 | 0.700 | 0.900 | 0.000 | 0.000 | LOST |" in table
        assert "gate failed" in table

    def test_an_unreadable_entry_is_named(self, tmp_path: Path) -> None:
        (tmp_path / "bad.json").write_text("{")
        with pytest.raises(ValueError, match=r"bad\.json"):
            read_journal(tmp_path)


class TestLosses:
    @pytest.mark.parametrize(
        ("before", "now", "gate", "is_loss"),
        [(0.5, 0.48, 1.0, False), (0.5, 0.46, 1.0, True), (0.5, 0.6, 0.0, True)],
    )
    def test_a_fall_beyond_noise_and_a_failed_gate_are_losses(
        self, tmp_path: Path, before: float, now: float, gate: float, is_loss: bool
    ) -> None:
        write_entry(tmp_path, 1, score=before)
        write_entry(tmp_path, 2, score=now, figures={"gate": gate})
        losses = find_losses(compare_scores(read_journal(tmp_path)))
        assert losses == (["park"] if is_loss else [])


class TestCommand:
    def run_command(self, *arguments: str) -> tuple[int, str]:
        application = Typer()
        application.command()(main)
        result = CliRunner().invoke(application, list(arguments))
        return result.exit_code, result.output

    def test_it_exits_with_1_after_a_loss(self, tmp_path: Path) -> None:
        write_entry(tmp_path, 1, score=0.5)
        write_entry(tmp_path, 2, score=0.2)
        exit_code, output = self.run_command("park", "--journal", str(tmp_path))
        assert exit_code == 1
        assert "score 0.500 before, 0.200 now" in output

    def test_an_unknown_site_is_answered_with_the_known_ones(self, tmp_path: Path) -> None:
        write_entry(tmp_path, 1)
        exit_code, output = self.run_command("elsewhere", "--journal", str(tmp_path))
        assert exit_code == 2
        assert "park" in output
