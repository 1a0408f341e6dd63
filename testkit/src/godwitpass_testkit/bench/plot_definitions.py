"""The plots that the bench draws."""

from godwitpass_testkit.bench.plots import Plot, Series
from godwitpass_testkit.measurements import Param


def _build_spread_series(label: str, **params: Param) -> Series:
    all_params: dict[str, Param] = {"change": "small", "quantile": "max", **params}
    return Series(label, "spread.convergence", "daemons", all_params)


PLOTS = (
    Plot(
        "convergence.png",
        "Convergence of a small change",
        "daemons",
        "seconds until all daemons hold it",
        (
            _build_spread_series(
                "distribution", system="distribution", favour="convergence", fault="none"
            ),
            _build_spread_series(
                "distribution, a third killed",
                system="distribution",
                favour="convergence",
                fault="third-killed",
            ),
            _build_spread_series(
                "distribution favouring bytes, a third killed",
                system="distribution",
                favour="bytes",
                fault="third-killed",
            ),
            _build_spread_series("polling", system="polling", fault="none"),
        ),
        is_x_logarithmic=True,
        is_y_logarithmic=True,
    ),
    Plot(
        "control-bytes.png",
        "Control traffic by distribution.favour, 300 daemons",
        "0 favours convergence, 1 favours bytes",
        "bytes per daemon",
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
        "Convergence by distribution.favour, 300 daemons",
        "0 favours convergence, 1 favours bytes",
        "seconds until all daemons hold it",
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
        "Goodput by offered load",
        "offered load as a multiple of the capacity",
        "good calls per second",
        (
            Series("edge", "goodput.good", "load", {"version": "ours"}),
            Series("naive baseline", "goodput.good", "load", {"version": "naive"}),
        ),
    ),
)
