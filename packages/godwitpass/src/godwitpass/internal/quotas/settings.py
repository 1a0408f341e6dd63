"""Settings of customers' rate limits."""

import msgspec


class QuotaSettings(msgspec.Struct, frozen=True):
    """Bound on the calls of one customer at all daemons together in any `window_s` seconds.

    With a rate and a burst of the customer, (rate * `window_s` + burst) * (1 + `overage`) +
    `slack` calls may run.
    """

    window_s: float
    overage: float
    slack: float
