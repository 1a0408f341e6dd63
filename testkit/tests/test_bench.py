from pathlib import Path

from godwitpass_testkit.bench.__main__ import CAPACITY_PAGE, MEASUREMENTS_FOLDER, read_results
from godwitpass_testkit.bench.bounds import Bound, find_breaches
from godwitpass_testkit.bench.capacity import derive_page, list_budget_lines
from godwitpass_testkit.bench.figures import derive_figures
from godwitpass_testkit.bench.plot_definitions import PLOTS
from godwitpass_testkit.bench.plots import draw_plots
from godwitpass_testkit.measurements import Row


class TestCapacityPage:
    def test_the_committed_page_matches_the_committed_measurements(self) -> None:
        page = derive_page(read_results(MEASUREMENTS_FOLDER))
        assert CAPACITY_PAGE.read_text(encoding="utf-8") == page

    def test_every_usage_on_the_page_was_measured(self) -> None:
        budget_lines = list_budget_lines(derive_figures(read_results(MEASUREMENTS_FOLDER)))
        assert [line.resource for line in budget_lines if line.usage is None] == []

    def test_a_usage_over_its_budget_is_marked_with_the_ratio(self) -> None:
        rows = [Row("latency.added", {"path": "edge", "percentile": 99.0}, 1.38, "ms")]
        page = derive_page(rows)
        assert "**no, 2.00 times**" in page
        assert "not measured" in page


class TestBounds:
    def test_a_row_over_its_bound_and_a_bound_without_a_row_are_breaches(self) -> None:
        bounds = [Bound("cpu", "4%", at_most=4.0), Bound("rss", "64 MB", at_most=64.0)]
        breaches = find_breaches([Row("cpu", {}, 4.5, "%"), Row("cpu", {}, 1.0, "%")], bounds)
        assert [(breach.bound.name, breach.row is None) for breach in breaches] == [
            ("cpu", False),
            ("rss", True),
        ]


class TestPlots:
    def test_every_plot_is_drawn_from_the_committed_measurements(self, tmp_path: Path) -> None:
        paths = draw_plots(read_results(MEASUREMENTS_FOLDER), tmp_path, PLOTS)
        assert [path.name for path in paths] == [plot.file_name for plot in PLOTS]
        assert all(path.stat().st_size > 0 for path in paths)
