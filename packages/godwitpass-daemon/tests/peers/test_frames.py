import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.ids import Address
from godwitpass_daemon.peers.channels import Channel
from godwitpass_daemon.peers.frames import DropReason, Frame, open_frame, seal_frame, validate_keys
from godwitpass_daemon.peers.replay import FRESHNESS_WINDOW_S, MAX_RECENT_TAGS, ReplayGuard

KEY, OTHER_KEY = b"k" * 32, b"o" * 32
ALICE, BOB, CAROL = Address("10.0.0.1:70"), Address("10.0.0.2:70"), Address("[fd00::3]:70")
NOW_US = 1_700_000_000_000_000


def seal(
    payload: bytes = b"payload", sent_us: int = NOW_US, key: bytes = KEY, to: Address = BOB
) -> bytes:
    return seal_frame(key, Channel.MEMBERSHIP, ALICE, to, sent_us, payload)


def open_sealed(data: bytes, receiver: Address = BOB) -> Frame:
    frame = open_frame((KEY,), receiver, data)
    assert isinstance(frame, Frame)
    return frame


class TestFrame:
    @settings(derandomize=True, max_examples=50, database=None)
    @given(st.binary(max_size=200), st.sampled_from(Channel), st.sampled_from([ALICE, CAROL]))
    def test_an_opened_frame_equals_what_was_sealed(
        self, payload: bytes, channel: Channel, sender: Address
    ) -> None:
        frame = open_sealed(seal_frame(KEY, channel, sender, BOB, NOW_US, payload))
        assert (frame.channel, frame.sender, frame.payload) == (channel, sender, payload)

    def test_a_frame_with_any_flipped_bit_is_rejected(self) -> None:
        data = seal()
        for position in range(len(data) * 8):
            changed = bytearray(data)
            changed[position // 8] ^= 1 << position % 8
            assert isinstance(open_frame((KEY,), BOB, bytes(changed)), DropReason)

    def test_a_truncated_frame_is_rejected(self) -> None:
        data = seal()
        for length in range(len(data)):
            assert isinstance(open_frame((KEY,), BOB, data[:length]), DropReason)

    @settings(derandomize=True, max_examples=200, database=None)
    @given(st.binary(max_size=120))
    def test_arbitrary_bytes_are_rejected(self, data: bytes) -> None:
        assert isinstance(open_frame((KEY,), BOB, data), DropReason)
        assert isinstance(open_frame((KEY,), BOB, b"\x01\x01" + data), DropReason)

    @pytest.mark.parametrize("receiver", [ALICE, CAROL])
    def test_a_frame_does_not_verify_at_its_sender_or_a_third_daemon(
        self, receiver: Address
    ) -> None:
        assert open_frame((KEY,), receiver, seal()) is DropReason.FORGED

    def test_during_a_key_rotation_frames_of_both_keys_are_accepted(self) -> None:
        for key in (KEY, OTHER_KEY):
            assert isinstance(open_frame((KEY, OTHER_KEY), BOB, seal(key=key)), Frame)
        assert open_frame((KEY,), BOB, seal(key=OTHER_KEY)) is DropReason.FORGED

    @pytest.mark.parametrize("keys", [[], [b"short"], [KEY] * 3, [b"x" * 65]])
    def test_keys_of_invalid_number_or_length_are_rejected(self, keys: list[bytes]) -> None:
        with pytest.raises(ValueError, match="peer key"):
            validate_keys(keys)


class TestReplayGuard:
    def test_a_frame_is_admitted_only_once(self) -> None:
        guard, frame = ReplayGuard(), open_sealed(seal())
        assert guard.admit(frame, NOW_US) is None
        for second in range(0, 10 * FRESHNESS_WINDOW_S, 7):
            assert guard.admit(frame, NOW_US + second * 1_000_000) is not None

    def test_a_frame_from_outside_the_window_is_stale(self) -> None:
        margin_us = (FRESHNESS_WINDOW_S + 1) * 1_000_000
        for sent_us in (NOW_US - margin_us, NOW_US + margin_us):
            frame = open_sealed(seal(sent_us=sent_us))
            assert ReplayGuard().admit(frame, NOW_US) is DropReason.STALE

    def test_with_a_full_memory_frames_are_dropped_until_tags_expire(self) -> None:
        guard = ReplayGuard()
        for number in range(MAX_RECENT_TAGS):
            frame = Frame(Channel.CLAIMS, ALICE, NOW_US, b"", number.to_bytes(12, "big"))
            assert guard.admit(frame, NOW_US) is None
        fresh = open_sealed(seal())
        assert guard.admit(fresh, NOW_US) is DropReason.OVERLOAD
        later_us = NOW_US + 2 * FRESHNESS_WINDOW_S * 1_000_000
        assert guard.admit(open_sealed(seal(sent_us=later_us)), later_us) is None
