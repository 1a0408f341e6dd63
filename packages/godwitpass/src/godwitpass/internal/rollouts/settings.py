"""Settings of roll-outs."""

import msgspec


class RolloutSettings(msgspec.Struct, frozen=True):
    """Bounds on what a version that turns out to be bad may receive.

    At most `exposure_share` of the calls to the service and `exposure_slack` more reach it, and
    none later than `rollback_s` seconds after its 50th bad response.
    """

    exposure_share: float
    exposure_slack: float
    rollback_s: float
