"""The experiments that the bench runs."""

import msgspec


class Experiment(msgspec.Struct, frozen=True):
    """A module of `godwitpass_testkit.experiments` with its arguments.

    `quick` replaces `arguments` where a run of a minute is wanted. A `timed` experiment reads the
    wall clock, so its figures vary with the machine; the others are counts under virtual time.
    """

    module: str
    arguments: tuple[str, ...] = ()
    quick: tuple[str, ...] = ()
    timed: bool = False


EXPERIMENTS = (
    Experiment(
        "spread",
        arguments=("--daemons", "30", "300", "3000"),
        quick=("--daemons", "30", "100"),
    ),
    Experiment(
        "membership",
        arguments=("--members", "30", "300", "1450"),
        quick=("--members", "30", "100"),
    ),
    Experiment("claims"),
    Experiment("goodput", timed=True),
    Experiment("latency", timed=True),
    Experiment(
        "processes",
        arguments=("--daemons", "12", "--daemons", "48", "--daemons", "150"),
        quick=("--daemons", "6", "--changes", "4", "--idle-seconds", "5"),
        timed=True,
    ),
)


def find_experiment(module: str) -> Experiment:
    """Return the experiment in `module`.

    >>> find_experiment("claims").timed
    False
    """
    for experiment in EXPERIMENTS:
        if experiment.module == module:
            return experiment
    known = ", ".join(experiment.module for experiment in EXPERIMENTS)
    raise ValueError(f"no experiment {module!r}; choose from: {known}")
