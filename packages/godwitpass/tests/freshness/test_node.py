"""Guards against proofs from messages that are late, forged or of an earlier process."""

import random
from typing import Any

import msgspec
import pytest

from godwitpass.ids import Address, InstanceId, RegionId, Revision, Version, ZoneId
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.distribution.view import build_view
from godwitpass.internal.freshness.events import PROOF_EXPIRED, PROOF_RENEWED
from godwitpass.internal.freshness.messages import (
    MAX_AGE_MS,
    Message,
    ProofRequest,
    ProofResponse,
    decode_message,
)
from godwitpass.internal.freshness.node import (
    FreshnessNode,
    HolderFound,
    MembersChanged,
    ReadStore,
    VersionHeld,
    VersionRead,
)
from godwitpass.internal.freshness.settings import FreshnessSettings
from godwitpass.internal.requests import Confirm, Confirmed, RequestFailed
from godwitpass.mesh import Member, MemberState

SETTINGS = FreshnessSettings(2.5, 5.0)
ZONE = ZoneId("a")
ADDRESSES = [Address(f"10.0.0.{number}:1") for number in range(4)]
VIEW = build_view(
    [
        Member(InstanceId(address), ZONE, RegionId("r"), address, 0, 0, MemberState.ALIVE)
        for address in ADDRESSES
    ],
    ZONE,
)
PARENT, LEAF = VIEW.ranked_members[0], VIEW.ranked_members[-1]
V7 = Version(7)


def build_node(address: Address = LEAF, needs_proofs: bool = True) -> tuple[FreshnessNode, Any]:
    node = FreshnessNode(address, "key", SETTINGS, random.Random(1))
    node.handle(MembersChanged(VIEW), 0.0)
    return node, node.handle(VersionHeld(V7, needs_proofs), 0.0)


def find_request(actions: list[Any]) -> ProofRequest:
    (request,) = [
        action.message
        for action in actions
        if isinstance(action, Send) and action.to == PARENT and action.message.may_wait
    ]
    assert isinstance(request, ProofRequest)
    return request


def find_responses(actions: list[Any]) -> list[ProofResponse]:
    messages = [action.message for action in actions if isinstance(action, Send)]
    return [message for message in messages if isinstance(message, ProofResponse)]


def test_a_proof_counts_from_the_moment_the_request_was_sent() -> None:
    node, actions = build_node()
    request = find_request(actions)
    node.handle(MessageReceived(PARENT, ProofResponse(request.nonce, V7, 500)), 3.0)
    assert node.compute_age(V7, 3.0) == 3.5
    assert node.compute_age(Version(8), 3.0) == 3.5
    assert node.compute_age(Version(6), 3.0) is None


@pytest.mark.parametrize(
    ("sender", "nonce_change", "age_ms"),
    [(PARENT, 1, 0), (LEAF, 0, 0), (PARENT, 0, -1_001)],
    ids=["nonce of an earlier process", "another sender", "a moment still to come"],
)
def test_an_answer_that_matches_no_request_is_ignored(
    sender: Address, nonce_change: int, age_ms: int
) -> None:
    node, actions = build_node()
    nonce = find_request(actions).nonce + nonce_change
    node.handle(MessageReceived(sender, ProofResponse(nonce, V7, age_ms)), 1.0)
    assert node.compute_age(V7, 1.0) is None


def test_a_proof_of_a_later_version_counts_once_that_version_is_held() -> None:
    node, actions = build_node()
    response = ProofResponse(find_request(actions).nonce, Version(9), 0)
    actions = node.handle(MessageReceived(PARENT, response), 0.1)
    assert HolderFound(PARENT, Version(9)) in actions
    assert node.compute_age(V7, 0.1) is None
    node.handle(VersionHeld(Version(9), True), 0.2)
    assert node.compute_age(Version(9), 0.5) == 0.5


def test_a_reader_confirms_what_it_read_and_reads_again_after_a_mismatch() -> None:
    node, _ = build_node(PARENT)
    (confirm,) = [
        action
        for action in node.handle(VersionRead(Revision(40), V7), 1.0)
        if isinstance(action, Confirm)
    ]
    assert confirm.revision == 40
    node.handle(Confirmed(confirm.tag, True), 2.0)
    assert node.compute_age(V7, 2.0) == 1.0
    actions = node.handle(Confirmed(confirm.tag, True), 4.0)
    assert node.compute_age(V7, 4.0) == 3.0
    (confirm,) = [action for action in actions if isinstance(action, Confirm)]
    assert ReadStore() in node.handle(Confirmed(confirm.tag, False), 4.1)
    node.handle(RequestFailed(confirm.tag), 4.2)
    assert node.compute_age(V7, 4.0) == 3.0


def test_a_request_waits_until_there_is_news_and_its_age_may_be_negative() -> None:
    node, _ = build_node(PARENT)
    request: MessageReceived[Message] = MessageReceived(LEAF, ProofRequest(5, MAX_AGE_MS, True))
    assert not find_responses(node.handle(request, 1.0))
    actions = node.handle(VersionRead(Revision(40), V7), 1.4)
    (confirm,) = [action for action in actions if isinstance(action, Confirm)]
    actions = node.handle(Confirmed(confirm.tag, True), 1.6)
    (response,) = find_responses(actions)
    assert (response.nonce, response.version) == (5, V7)
    assert -400 <= response.age_ms <= -399
    current: MessageReceived[Message] = MessageReceived(LEAF, ProofRequest(6, 200, True))
    assert not find_responses(node.handle(current, 1.6))
    # An expired proof is of no use to anyone.
    assert not find_responses(node.handle(request, 9.0))


def test_expiry_and_renewal_are_reported_once() -> None:
    node, actions = build_node()
    kinds = [action.kind for action in actions if isinstance(action, RecordEvent)]
    for step in range(20):
        actions = node.handle(TimerFired(), step * 0.1)
        kinds += [action.kind for action in actions if isinstance(action, RecordEvent)]
    request = find_request(node.handle(TimerFired(), 9.0))
    actions = node.handle(MessageReceived(PARENT, ProofResponse(request.nonce, V7, 0)), 9.0)
    kinds += [action.kind for action in actions if isinstance(action, RecordEvent)]
    assert kinds == [PROOF_EXPIRED, PROOF_RENEWED]


def test_a_node_that_needs_no_proofs_sends_nothing() -> None:
    node, actions = build_node(needs_proofs=False)
    actions += node.handle(VersionRead(Revision(40), V7), 1.0)
    for step in range(20):
        actions += node.handle(TimerFired(), float(step))
    assert actions == []
    assert not any(isinstance(action, SetTimer) for action in actions)


@pytest.mark.parametrize(
    "content", [None, 1, [], [3, 1], [1, -1, 0, True], [1, 1, 70_000, True], [2, 1, 1, 1e300]]
)
def test_a_malformed_message_raises_only_the_error_that_the_transport_drops(content: Any) -> None:
    with pytest.raises(msgspec.MsgspecError):
        decode_message(msgspec.msgpack.encode(content))
