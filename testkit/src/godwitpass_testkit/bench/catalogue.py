"""The experiments that the bench runs."""

import msgspec


class Experiment(msgspec.Struct, frozen=True):
    """A module of `godwitpass_testkit.experiments` with its arguments; `name` names its results.

    `quick` replaces `arguments` where a run of a minute is wanted. A `timed` experiment reads the
    wall clock, so its figures vary with the machine; the others are counts under virtual time.
    """

    name: str
    module: str
    arguments: tuple[str, ...] = ()
    quick: tuple[str, ...] = ()
    timed: bool = False


EXPERIMENTS = (
    Experiment(
        "spread",
        "spread",
        arguments=("--daemons", "30", "300", "3000"),
        quick=("--daemons", "30", "100"),
    ),
    Experiment(
        "membership",
        "membership",
        arguments=("--members", "30", "300", "1450"),
        quick=("--members", "30", "100"),
    ),
    Experiment(
        "membership_regions",
        "membership",
        arguments=("--regions", "30", "--full-detail", "1450"),
        quick=("--regions", "6"),
    ),
    Experiment("claims", "claims"),
    Experiment("claims_crashes", "claims_crashes"),
    Experiment("goodput", "goodput"),
    Experiment("goodput_processes", "goodput_processes", timed=True),
    Experiment("calls", "calls", timed=True),
    Experiment("latency", "latency", timed=True),
    Experiment("memory", "memory", timed=True),
    Experiment("validation", "validation", timed=True),
    Experiment("eventlog", "eventlog", timed=True),
    Experiment(
        "processes",
        "processes",
        arguments=("--daemons", "12", "--daemons", "48", "--daemons", "150"),
        quick=("--daemons", "6", "--changes", "4", "--idle-seconds", "5"),
        timed=True,
    ),
)


def find_experiment(name: str) -> Experiment:
    """Return the experiment called `name`.

    >>> find_experiment("claims").timed
    False
    """
    for experiment in EXPERIMENTS:
        if experiment.name == name:
            return experiment
    known = ", ".join(experiment.name for experiment in EXPERIMENTS)
    raise ValueError(f"no experiment {name!r}; choose from: {known}")
