"""Experiments of the load model, read from checked TOML files."""

from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]


class InvalidExperiment(Exception):
    """An experiment's file can't be used; the message says how to mend it."""


class FaultKind(Enum):
    """What a fault does while it lasts.

    BURST multiplies the arrivals by `strength`. SLOW multiplies the service times of a `share` of a
    service's upstreams. SHED makes them refuse, and FAIL fail, the part `strength` of what arrives.
    """

    BURST = "burst"
    SLOW = "slow"
    SHED = "shed"
    FAIL = "fail"


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service; its upstreams take the `speeds` in turn, 1 being that of the classes' times.

    With `resets_when_full`, an upstream closes the connection of a call beyond its slots without a
    response. It notices that a caller has left after `close_delay_s` and works on until then.
    """

    name: str
    instances: Count
    slots: Count
    speeds: Annotated[tuple[Positive, ...], Meta(min_length=1)] = (1.0,)
    resets_when_full: bool = False
    close_delay_s: NotNegative = 0.0


class NestedCalls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls that an upstream makes one after the other, for a `share` of its runs."""

    name: str
    share: Share = 1.0
    times: Count = 1


class ClassSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of calls; times in seconds, `rate_per_s` of all callers, 0 for nested calls only.

    `spread` is the standard deviation of the logarithm of the service time. A response after
    `objective_s` is worth `late_worth`, one after `deadline_s` nothing. `timeout_s` is the timeout
    of its route, 0 for the deadline.
    """

    name: str
    service: str
    rate_per_s: NotNegative
    service_time_s: Positive
    objective_s: Positive
    deadline_s: Positive
    spread: NotNegative = 0.5
    is_idempotent: bool = True
    worth: NotNegative = 1.0
    late_worth: NotNegative = 0.5
    priority: int = 1
    attempts: Count = 3
    retries: Annotated[int, Meta(ge=0)] = 2
    calls: tuple[NestedCalls, ...] = ()
    timeout_s: NotNegative = 0.0


class FaultSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault from `at_s` on for `for_s` seconds; `service` is empty for a burst."""

    kind: FaultKind
    at_s: NotNegative
    for_s: Positive
    strength: Positive
    service: str = ""
    share: Share = 1.0


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One load pattern; `shows` says in one sentence what it is for.

    Delays are one way, in seconds: from callers to their daemon, and between daemons in a zone and
    in different ones. `retry_slack` is that of all daemons together.
    """

    shows: str
    zones: Annotated[tuple[str, ...], Meta(min_length=1)]
    services: Annotated[tuple[ServiceSpec, ...], Meta(min_length=1)]
    classes: Annotated[tuple[ClassSpec, ...], Meta(min_length=1)]
    faults: tuple[FaultSpec, ...] = ()
    duration_s: Positive = 20.0
    caller_delay_s: NotNegative = 0.008
    zone_delay_s: NotNegative = 0.0002
    cross_zone_delay_s: NotNegative = 0.001
    retry_ratio: NotNegative = 0.2
    retry_window_s: Positive = 10.0
    retry_slack: NotNegative = 64.0
    extra_request_share: Share = 0.0

    @property
    def instance_count(self) -> int:
        """Return the number of upstreams, each with a daemon."""
        return sum(service.instances for service in self.services)


def read_experiment(path: Path) -> Experiment:
    """Read and check the experiment at `path`; raises `InvalidExperiment`."""
    try:
        experiment = msgspec.toml.decode(path.read_bytes(), type=Experiment)
    except OSError as error:
        raise InvalidExperiment(f"{path} can't be read: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise InvalidExperiment(f"{path}: {error}") from error
    problem = _find_problem(experiment)
    if problem:
        raise InvalidExperiment(f"{path}: {problem}")
    return experiment


def scale_experiment(experiment: Experiment, daemons: int) -> Experiment:
    """Return `experiment` with about `daemons` upstreams, and arrivals and slack in proportion."""
    factor = daemons / experiment.instance_count
    return msgspec.structs.replace(
        experiment,
        services=tuple(
            msgspec.structs.replace(service, instances=max(1, round(factor * service.instances)))
            for service in experiment.services
        ),
        classes=tuple(
            msgspec.structs.replace(spec, rate_per_s=factor * spec.rate_per_s)
            for spec in experiment.classes
        ),
        retry_slack=factor * experiment.retry_slack,
    )


def _find_problem(experiment: Experiment) -> str:
    services = {service.name for service in experiment.services}
    classes = {spec.name for spec in experiment.classes}
    for spec in experiment.classes:
        if spec.service not in services:
            return f"class {spec.name!r} names the unknown service {spec.service!r}"
        if spec.objective_s > spec.deadline_s:
            return f"class {spec.name!r} has an objective after its deadline"
        for nested in spec.calls:
            if nested.name not in classes:
                return f"class {spec.name!r} calls the unknown class {nested.name!r}"
            if nested.name == spec.name:
                return f"class {spec.name!r} calls itself"
    for fault in experiment.faults:
        if fault.kind is not FaultKind.BURST and fault.service not in services:
            return f"a fault {fault.kind.value!r} names the unknown service {fault.service!r}"
        if fault.kind in (FaultKind.SHED, FaultKind.FAIL) and fault.strength > 1:
            return f"a fault {fault.kind.value!r} has a strength over 1, which is a part of calls"
    return ""
