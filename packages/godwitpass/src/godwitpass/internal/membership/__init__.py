"""Membership of the mesh: discovery, failure detection and gossip.

A daemon knows every daemon of its own region. Of each other region it knows summaries only: per
service the number of ready upstreams, their slots and a few contacts.
"""

from godwitpass.internal.membership.core import Membership
from godwitpass.internal.membership.inputs import Announce, Identity, Leave, Start
from godwitpass.internal.membership.tuning import Tuning

__all__ = ["Announce", "Identity", "Leave", "Membership", "Start", "Tuning"]
