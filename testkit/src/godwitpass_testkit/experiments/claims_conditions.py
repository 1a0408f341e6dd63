"""What the network, the store and the callers' calls do in a world of claims."""

import msgspec


class Conditions(msgspec.Struct):
    """How the network and the store behave from now on; delays in seconds, shares from 0 to 1."""

    peer_delay_s: float = 0.001
    peer_jitter_s: float = 0.001
    message_loss_rate: float = 0.0
    message_duplication_rate: float = 0.0
    store_delay_s: float = 0.003
    lost_request_rate: float = 0.0
    late_request_rate: float = 0.0
    lost_answer_rate: float = 0.0
    cancelled_call_rate: float = 0.1
    unanswered_call_rate: float = 0.2
