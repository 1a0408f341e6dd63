"""How network, store and calls behave in a simulation of claims."""

import msgspec


class Conditions(msgspec.Struct):
    """Delays and failure rates of network, store and calls; rates are probabilities.

    A call to the store may lose its request or its answer, or its request may be late, so that it
    takes effect after an unknown time. A cancelled call doesn't run; an unanswered call runs, but
    its answer is never known.
    """

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
