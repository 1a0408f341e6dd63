"""Reports holdings up the tree, and from its root to the other availability zones."""

import math
import random

from godwitpass.ids import NO_VERSION, Address
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.distribution.snapshot_cache import SnapshotCache
from godwitpass.internal.distribution.events import ZONE_CONVERGED
from godwitpass.internal.distribution.holdings import ZoneHoldingsTable
from godwitpass.internal.distribution.messages import SubtreeHoldings, Message, ZoneHoldings
from godwitpass.internal.distribution.pusher import Pusher
from godwitpass.internal.distribution.tuning import Tuning
from godwitpass.internal.distribution.view import View, compute_subtree_size

Actions = list[Send[Message] | RecordEvent]


class HoldingsReporter:
    """Decides when grown holdings are worth a message."""

    def __init__(
        self, own: Address, contents: SnapshotCache, pusher: Pusher, generator: random.Random
    ) -> None:
        self._own = own
        self._contents = contents
        self._pusher = pusher
        self._random = generator
        self._view: View | None = None
        self._reported = SubtreeHoldings(NO_VERSION, 0)
        self._report_at = math.inf
        self._publish_at = math.inf
        self._report_to: Address | None = None
        self._tree_parent: Address | None = None
        self.zones = ZoneHoldingsTable()

    @property
    def deadline(self) -> float:
        """Return the time of the next report that is put off."""
        return min(self._report_at, self._publish_at)

    def change_view(self, view: View, parent: Address | None) -> None:
        """Report anew to the daemon now above."""
        self._view = view
        self.zones.change_view([view.zone, *view.remote])
        if parent is None or parent != self._tree_parent:
            self._reported = SubtreeHoldings(NO_VERSION, 0)
        self._tree_parent = self._report_to = parent

    def summarize(self) -> SubtreeHoldings:
        """Return the holdings at and below this daemon."""
        if self._contents.current is None:
            return SubtreeHoldings(NO_VERSION, 0)
        return self._pusher.summarize(self._contents.version)

    def acknowledge(self, sender: Address) -> Send[Message]:
        """Report to `sender`, from whom the newest version came."""
        self._report_to = sender
        self._reported = self.summarize()
        return Send(sender, self._reported)

    def run(self, now: float, tuning: Tuning) -> Actions:
        """Report at once when all below hold the version, else after a while."""
        if self._view is None or self._contents.current is None:
            return []
        position = self._view.find_position(self._own)
        if position is None:
            return []
        holding = self.summarize()
        is_new = (holding.version, holding.holder_count) != (
            self._reported.version,
            self._reported.holder_count,
        )
        below = 0 if self._pusher.acts_as_root else position
        complete = holding.holder_count >= compute_subtree_size(below, len(self._view.ranked_members))
        if now >= self._publish_at or (is_new and complete):
            return self._report(holding, is_new and complete, now, tuning)
        if is_new and now >= self._report_at:
            return self._report(holding, False, now, tuning)
        if is_new and self._report_at == math.inf:
            self._report_at = now + tuning.report_interval_s * self._random.uniform(0.75, 1.25)
        elif not is_new:
            self._report_at = math.inf
        return []

    def handle_zone_holdings(self, sender: Address, holdings: ZoneHoldings, now: float) -> Actions:
        """Take in another availability zone's holdings, which may reach any daemon of this one."""
        self.zones.record(holdings, now)
        if self._view is None or sender in self._view.positions or not self._view.ranked_members:
            return []
        root = self._view.ranked_members[0]
        return [Send(root, holdings)] if root != self._own else []

    def _report(self, holding: SubtreeHoldings, completed: bool, now: float, tuning: Tuning) -> Actions:
        self._report_at, self._publish_at = math.inf, math.inf
        self._reported = holding
        if not self._pusher.acts_as_root:
            return [Send(self._report_to, holding)] if self._report_to else []
        self._publish_at = now + tuning.publish_interval_s * self._random.uniform(0.75, 1.25)
        return self._publish(holding, completed, now)

    def _publish(self, holding: SubtreeHoldings, completed: bool, now: float) -> Actions:
        """Tell the other availability zones what this one holds."""
        assert self._view is not None
        daemon_count = len(self._view.ranked_members)
        holder_count = min(holding.holder_count, daemon_count)
        laggards = holding.laggards if holder_count < daemon_count else ()
        sums = ZoneHoldings(self._view.zone, holding.version, holder_count, daemon_count, laggards)
        self.zones.record(sums, now)
        roots = [addresses[0] for addresses in self._view.remote.values() if addresses]
        actions: Actions = [Send(root, sums) for root in roots]
        if completed:
            actions.append(RecordEvent(ZONE_CONVERGED, {"daemons": daemon_count}))
        return actions
