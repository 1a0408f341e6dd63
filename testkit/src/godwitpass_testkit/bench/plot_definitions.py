"""The plots that the bench draws."""

from godwitpass_testkit.bench.plots import Plot, Series
from godwitpass_testkit.measurements import Param


def _spread(label: str, **params: Param) -> Series:
    fixed: dict[str, Param] = {"change": "small", "quantile": "max", **params}
    return Series(label, "spread.convergence", "daemons", fixed)


PLOTS = (
    Plot(
        "convergence.png",
        "Convergence of a small change",
        "daemons",
        "seconds until all hold it",
        (
            _spread("distribution", system="distribution", favour="convergence", fault="none"),
            _spread(
                "distribution, a third killed",
                system="distribution",
                favour="convergence",
                fault="third-killed",
            ),
            _spread(
                "distribution, bytes favoured, a third killed",
                system="distribution",
                favour="bytes",
                fault="third-killed",
            ),
            _spread("polling", system="polling", fault="none"),
        ),
        logarithmic_x=True,
        logarithmic_y=True,
    ),
    Plot(
        "control-bytes.png",
        "Control bytes between the two ends of distribution.favour, 300 daemons",
        "0 favours convergence, 1 favours bytes",
        "bytes a daemon",
        (
            Series(
                "burst of 50 changes",
                "spread.curve_change_bytes",
                "at",
                {"change": "burst", "of": "mean"},
            ),
            Series(
                "small change, a third killed",
                "spread.curve_change_bytes",
                "at",
                {"change": "small", "of": "mean"},
            ),
        ),
    ),
    Plot(
        "curve-convergence.png",
        "Convergence between the two ends of distribution.favour, 300 daemons",
        "0 favours convergence, 1 favours bytes",
        "seconds until all hold it",
        (
            Series(
                "burst of 50 changes",
                "spread.curve_convergence",
                "at",
                {"change": "burst", "quantile": "max"},
            ),
            Series(
                "small change, a third killed",
                "spread.curve_convergence",
                "at",
                {"change": "small", "quantile": "max"},
            ),
        ),
    ),
    Plot(
        "goodput.png",
        "Goodput against offered load",
        "offered load, capacity = 1",
        "good calls a second",
        (
            Series("edge", "goodput.good", "load", {"version": "ours"}),
            Series("naive", "goodput.good", "load", {"version": "naive"}),
        ),
    ),
)
