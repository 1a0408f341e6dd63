"""Messages about roll-outs between daemons."""

from typing import Annotated

import msgspec

from godwitpass.ids import InstanceId, Revision, RouteName, ServiceName, SoftwareVersion
from godwitpass.internal.rollouts.records import Phase, Step

BUCKET_COUNT = 40
"""Buckets of a histogram, half an octave each from 1 ms on; the last starts at 741 s."""

MAX_ROUTES = 64
"""Routes in a report; the calls of others are counted under the empty name."""

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
Nonce = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


class RouteCounts(msgspec.Struct, frozen=True, array_like=True):
    """Responses of one server on one route; `histogram` counts durations by bucket."""

    route: RouteName
    responses: Count = 0
    failures: Count = 0
    histogram: Annotated[tuple[Count, ...], msgspec.Meta(max_length=BUCKET_COUNT)] = ()


class Report(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """What an agent tells the controller; answered by an `Answer` with the same nonce.

    `target` and `order` identify the roll-out on which the agent acts. `epoch` changes when its
    counts start again. `is_closed`: the agent refuses calls, has none in progress and none has
    arrived lately. `is_stopped`: the target server failed so often that the agent refuses calls.
    """

    nonce: Nonce
    service: ServiceName
    instance: InstanceId
    version: SoftwareVersion
    target: SoftwareVersion
    order: Revision
    phase: Phase
    elapsed_ms: Milliseconds
    epoch: Nonce
    calls_in_progress: Count
    is_closed: bool
    is_stopped: bool
    routes: Annotated[tuple[RouteCounts, ...], msgspec.Meta(max_length=MAX_ROUTES + 1)] = ()


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """What the controller tells an agent.

    `is_acting` tells whether the sender controls the service, else only `has_store` is
    meaningful: it read the store and found neither order nor record. A daemon beside a server of
    the target version may run calls if `permits`, and announces `share`. One beside another server
    refuses new calls if `closes`.
    """

    nonce: Nonce
    service: ServiceName
    is_acting: bool
    has_store: bool
    phase: Phase = Phase.NONE
    step: Step = Step.CANARY
    target: SoftwareVersion = SoftwareVersion("")
    order: Revision = Revision(0)
    permits: bool = False
    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    closes: bool = False


class Poke(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks an agent to report to the sender; tells other candidates that the sender controls."""

    service: ServiceName


Message = Report | Answer | Poke

_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message for `Channel.ROLLOUTS`."""
    return msgspec.msgpack.encode(message)


def decode_message(payload: bytes) -> Message:
    """Decode a message; raises `msgspec.DecodeError` if it is malformed."""
    message: Message = _DECODER.decode(payload)
    return message
