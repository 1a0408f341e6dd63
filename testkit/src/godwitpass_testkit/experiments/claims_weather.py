"""What the network, the store and the callers' calls do in a world of claims."""

import msgspec


class Weather(msgspec.Struct):
    """How the network and the store behave from now on; delays in seconds, shares from 0 to 1."""

    peer_delay: float = 0.001
    peer_jitter: float = 0.001
    message_loss: float = 0.0
    message_repeat: float = 0.0
    store_delay: float = 0.003
    lost_requests: float = 0.0
    late_requests: float = 0.0
    lost_answers: float = 0.0
    cancelled_calls: float = 0.1
    unanswered_calls: float = 0.2
