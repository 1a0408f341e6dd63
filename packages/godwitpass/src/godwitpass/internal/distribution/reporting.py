"""Reports holdings up the tree, and from its root to the other availability zones."""

import math
import random

from godwitpass.ids import NO_VERSION, Address
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.distribution.events import ZONE_CONVERGED
from godwitpass.internal.distribution.holdings import ZoneHoldingsTable
from godwitpass.internal.distribution.messages import Message, SubtreeHoldings, ZoneHoldings
from godwitpass.internal.distribution.pusher import Pusher
from godwitpass.internal.distribution.snapshot_cache import SnapshotCache
from godwitpass.internal.distribution.tuning import Tuning
from godwitpass.internal.distribution.view import View, compute_subtree_size

Actions = list[Send[Message] | RecordEvent]


class HoldingsReporter:
    """Decides when changed holdings are reported."""

    def __init__(
        self, own_address: Address, cache: SnapshotCache, pusher: Pusher, generator: random.Random
    ) -> None:
        self._own_address = own_address
        self._cache = cache
        self._pusher = pusher
        self._random = generator
        self._view: View | None = None
        self._last_report = SubtreeHoldings(NO_VERSION, 0)
        self._report_at = math.inf
        self._publish_at = math.inf
        self._report_target: Address | None = None
        self._parent: Address | None = None
        self.zones = ZoneHoldingsTable()

    @property
    def deadline(self) -> float:
        """Return the time of the next delayed report."""
        return min(self._report_at, self._publish_at)

    def change_view(self, view: View, parent: Address | None) -> None:
        """Report to the new `parent`; a report to the previous one no longer counts."""
        self._view = view
        self.zones.update_zones_in_view([view.zone, *view.remote_members])
        if parent is None or parent != self._parent:
            self._last_report = SubtreeHoldings(NO_VERSION, 0)
        self._parent = self._report_target = parent

    def summarize(self) -> SubtreeHoldings:
        """Return the holdings in the subtree of this daemon."""
        if self._cache.current is None:
            return SubtreeHoldings(NO_VERSION, 0)
        return self._pusher.summarize(self._cache.version)

    def acknowledge(self, sender: Address) -> Send[Message]:
        """Report to `sender`, which sent the newest version."""
        self._report_target = sender
        self._last_report = self.summarize()
        return Send(sender, self._last_report)

    def run_due(self, now: float, tuning: Tuning) -> Actions:
        """Report at once if the whole subtree holds the version, else after an interval."""
        if self._view is None or self._cache.current is None:
            return []
        position = self._view.find_position(self._own_address)
        if position is None:
            return []
        holdings = self.summarize()
        has_changed = (holdings.version, holdings.holder_count) != (
            self._last_report.version,
            self._last_report.holder_count,
        )
        subtree_root = 0 if self._pusher.acts_as_root else position
        is_complete = holdings.holder_count >= compute_subtree_size(
            subtree_root, len(self._view.ranked_members)
        )
        if now >= self._publish_at or (has_changed and is_complete):
            return self._report(holdings, has_changed and is_complete, now, tuning)
        if has_changed and now >= self._report_at:
            return self._report(holdings, False, now, tuning)
        if has_changed and self._report_at == math.inf:
            self._report_at = now + tuning.report_interval_s * self._random.uniform(0.75, 1.25)
        elif not has_changed:
            self._report_at = math.inf
        return []

    def handle_zone_holdings(self, sender: Address, holdings: ZoneHoldings, now: float) -> Actions:
        """Record the holdings of another zone, and forward them to the root of this one."""
        self.zones.record(holdings, now)
        if self._view is None or sender in self._view.positions or not self._view.ranked_members:
            return []
        root = self._view.ranked_members[0]
        return [Send(root, holdings)] if root != self._own_address else []

    def _report(
        self, holdings: SubtreeHoldings, is_newly_complete: bool, now: float, tuning: Tuning
    ) -> Actions:
        self._report_at, self._publish_at = math.inf, math.inf
        self._last_report = holdings
        if not self._pusher.acts_as_root:
            return [Send(self._report_target, holdings)] if self._report_target else []
        self._publish_at = now + tuning.publish_interval_s * self._random.uniform(0.75, 1.25)
        return self._publish(holdings, is_newly_complete, now)

    def _publish(self, holdings: SubtreeHoldings, is_newly_complete: bool, now: float) -> Actions:
        """Send the holdings of this availability zone to the others."""
        assert self._view is not None
        daemon_count = len(self._view.ranked_members)
        holder_count = min(holdings.holder_count, daemon_count)
        laggards = holdings.laggards if holder_count < daemon_count else ()
        zone_holdings = ZoneHoldings(
            self._view.zone, holdings.version, holder_count, daemon_count, laggards
        )
        self.zones.record(zone_holdings, now)
        root_addresses = [
            addresses[0] for addresses in self._view.remote_members.values() if addresses
        ]
        actions: Actions = [Send(root, zone_holdings) for root in root_addresses]
        if is_newly_complete:
            actions.append(RecordEvent(ZONE_CONVERGED, {"daemons": daemon_count}))
        return actions
