"""The experiments that the bench runs."""

import msgspec


class Experiment(msgspec.Struct, frozen=True):
    """A module of `godwitpass_testkit.experiments` with its arguments; results go to `name`.

    `quick` replaces `arguments` in a quick run. An experiment with `is_timed` reads the wall clock,
    so its figures vary with the machine; the others count under virtual time.
    """

    name: str
    module: str
    arguments: tuple[str, ...] = ()
    quick: tuple[str, ...] = ()
    is_timed: bool = False


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
    Experiment("goodput_processes", "goodput_processes", is_timed=True),
    Experiment("calls", "calls", is_timed=True),
    Experiment("latency", "latency", is_timed=True),
    Experiment("memory", "memory", is_timed=True),
    Experiment("validation", "validation", is_timed=True),
    Experiment("eventlog", "eventlog", is_timed=True),
    Experiment(
        "processes",
        "processes",
        arguments=("--daemons", "12", "--daemons", "48", "--daemons", "150"),
        quick=("--daemons", "6", "--changes", "4", "--idle-seconds", "5"),
        is_timed=True,
    ),
)


def find_experiment(name: str) -> Experiment:
    """Return the experiment called `name`.

    >>> find_experiment("claims").is_timed
    False
    """
    for experiment in EXPERIMENTS:
        if experiment.name == name:
            return experiment
    known = ", ".join(experiment.name for experiment in EXPERIMENTS)
    raise ValueError(f"no experiment {name!r}; choose from: {known}")
