from pathlib import Path

from godwitpass_testkit.bench.__main__ import CAPACITY_PAGE, MEASUREMENTS_FOLDER, read_folder
from godwitpass_testkit.bench.bounds import Bound, find_breaches
from godwitpass_testkit.bench.capacity import derive_page, list_budget_lines
from godwitpass_testkit.bench.figures import read_figures
from godwitpass_testkit.bench.plot_definitions import PLOTS
from godwitpass_testkit.bench.plots import draw_plots
from godwitpass_testkit.measurements import Row


class TestCapacityPage:
    def test_the_committed_page_is_what_the_recorded_rows_give(self) -> None:
        page = derive_page(read_folder(MEASUREMENTS_FOLDER))
        assert CAPACITY_PAGE.read_text(encoding="utf-8") == page

    def test_every_sum_of_the_page_was_measured(self) -> None:
        lines = list_budget_lines(read_figures(read_folder(MEASUREMENTS_FOLDER)))
        assert [line.what for line in lines if line.spent is None] == []

    def test_a_sum_over_its_allowance_says_no_with_the_factor(self) -> None:
        rows = [Row("latency.added", {"path": "edge", "percentile": 99.0}, 1.38, "ms")]
        page = derive_page(rows)
        assert "**no, 2.00 times**" in page
        assert "not measured" in page


class TestBounds:
    def test_a_row_over_its_bound_and_a_missing_row_are_breaches(self) -> None:
        bounds = [Bound("cpu", "4%", at_most=4.0), Bound("rss", "64 MB", at_most=64.0)]
        breaches = find_breaches([Row("cpu", {}, 4.5, "%"), Row("cpu", {}, 1.0, "%")], bounds)
        assert [(each.bound.name, each.row is None) for each in breaches] == [
            ("cpu", False),
            ("rss", True),
        ]


class TestPlots:
    def test_every_plot_is_drawn_from_the_recorded_rows(self, tmp_path: Path) -> None:
        drawn = draw_plots(read_folder(MEASUREMENTS_FOLDER), tmp_path, PLOTS)
        assert [path.name for path in drawn] == [picture.file for picture in PLOTS]
        assert all(path.stat().st_size > 0 for path in drawn)
