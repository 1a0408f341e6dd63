"""Which daemons and upstreams exist: discovery, failure detection and dissemination.

Daemons of a region know one another in full; of other regions they know sums with a few contacts.
"""

from godwitpass.internal.membership.core import Membership
from godwitpass.internal.membership.inputs import Announce, Identity, Leave, Start
from godwitpass.internal.membership.tuning import Tuning

__all__ = ["Announce", "Identity", "Leave", "Membership", "Start", "Tuning"]
