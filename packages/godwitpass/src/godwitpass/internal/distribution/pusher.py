"""Pushes versions down the tree of an availability zone and gathers the holdings of the subtrees.

Every push is acknowledged by a `SubtreeHoldings`. A lost push is repeated, and a daemon that does
not answer is bypassed: its children become targets of this daemon. At most one push to a target is
unacknowledged at a time; versions that arrive in the meantime are combined into the next push.
"""

import math

from godwitpass.ids import NO_VERSION, Address, InstanceId, Version
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.distribution.events import PEER_SILENT
from godwitpass.internal.distribution.messages import (
    MAX_LAGGARDS,
    Announce,
    Message,
    SubtreeHoldings,
)
from godwitpass.internal.distribution.push_target import PushTarget, Role
from godwitpass.internal.distribution.snapshot_cache import SnapshotCache
from godwitpass.internal.distribution.tuning import ANNOUNCED_ZONES, ATTEMPTS_BEFORE_BYPASS, Tuning
from godwitpass.internal.distribution.view import (
    View,
    compute_subtree_size,
    find_parent_position,
    list_child_positions,
)

MAX_REPEATED_BYTES = 1024
"""Larger updates are pushed once, and then announced."""

Actions = list[Send[Message] | RecordEvent]


class Pusher:
    """Pushes the newest version to the targets of one daemon."""

    def __init__(self, own_address: Address, cache: SnapshotCache) -> None:
        self._own_address = own_address
        self._cache = cache
        self._view: View | None = None
        self._targets: dict[Address, PushTarget] = {}
        self._earliest_push_at = -math.inf
        self._scheduled_push_at = math.inf
        self._previous_version = NO_VERSION
        self._include_upward = False

    @property
    def deadline(self) -> float:
        """Return the time of the next repeated or delayed push."""
        ack_deadlines = (target.deadline for target in self._targets.values())
        return min(self._scheduled_push_at, min(ack_deadlines, default=math.inf))

    @property
    def acts_as_root(self) -> bool:
        """Return whether this daemon is the root, or all its targets ahead of it are silent."""
        position = self._find_own_position()
        if not position or self._view is None:
            return position == 0
        root = self._targets.get(self._view.ranked_members[0])
        return root is not None and all(
            target.is_silent
            for target in self._targets.values()
            if self._is_ahead(target, position)
        )

    def change_view(self, view: View) -> Actions:
        """Update the targets, and announce the current version to new ones.

        A version that arrived just before a member joined was not pushed to it.
        """
        self._view = view
        previous_targets, self._targets = self._targets, {}
        for target in self._list_direct_targets(self._find_own_position()):
            self._targets[target.address] = target
            target.copy_state_from(previous_targets.get(target.address))
        for target in list(self._targets.values()):
            if target.is_silent and target.role is not Role.REMOTE:
                for adopted_target in self._adopt_targets(target):
                    adopted_target.copy_state_from(previous_targets.get(adopted_target.address))
        if self._cache.version == NO_VERSION:
            return []
        announce = Announce(self._cache.version, self._cache.digest)
        return [
            Send(address, announce) for address in self._targets if address not in previous_targets
        ]

    def start_push(
        self, previous_version: Version, include_upward: bool, now: float, tuning: Tuning
    ) -> Actions:
        """Push the newest version, at once or when the interval between two pushes is over.

        `include_upward` is set if the version did not come from above in the tree, so that the
        parent may lack it.
        """
        if self._scheduled_push_at == math.inf:
            self._previous_version = previous_version
        self._include_upward = include_upward
        self._scheduled_push_at = max(now, self._earliest_push_at)
        return self.run_due(now, tuning)

    def run_due(self, now: float, tuning: Tuning) -> Actions:
        """Send the pushes and repetitions that are due at `now`."""
        actions: Actions = []
        if now >= self._scheduled_push_at:
            self._scheduled_push_at = math.inf
            self._earliest_push_at = now + tuning.push_interval_s
            self._cache.mark_pushed()
            for target in list(self._targets.values()):
                if self._include_upward or not target.is_upward:
                    actions += self._push(target, now, tuning)
        for target in list(self._targets.values()):
            if now >= target.deadline:
                actions += self._resend(target, now, tuning)
        return actions

    def record_contact(self, sender: Address, version: Version) -> None:
        """Record that `sender` is alive and holds `version`."""
        target = self._targets.get(sender)
        if target is None:
            return
        target.known_version = max(target.known_version, version)
        if target.is_awaited:
            # It is alive, but what was pushed to it may not arrive.
            return
        target.attempts = 0
        if target.is_silent:
            target.is_silent = False
            self._release_targets(target)

    def record_holdings(
        self, sender: Address, holdings: SubtreeHoldings, now: float, tuning: Tuning
    ) -> Actions:
        """Record an acknowledgement; push again if a later version arrived in the meantime."""
        self.record_contact(sender, holdings.version)
        target = self._targets.get(sender)
        if target is None:
            return []
        if target.is_awaited:
            return []
        target.deadline = math.inf
        if holdings.version < self._cache.version:
            return self._push(target, now, tuning) if self._scheduled_push_at == math.inf else []
        target.holder_count, target.laggards = holdings.holder_count, holdings.laggards
        return []

    def record_fetch(self, sender: Address, bases: tuple[Version, ...]) -> None:
        """Record the version that `sender` holds; it acknowledges the update that it fetches."""
        self.record_contact(sender, max(bases, default=NO_VERSION))

    def probe_incomplete_children(self) -> Actions:
        """Ask for the holdings of children whose subtree may lack the newest version."""
        version = self._cache.version
        if self._view is None or version == NO_VERSION:
            return []
        size = len(self._view.ranked_members)
        announce = Announce(version, self._cache.digest, wants_reply=True)
        return [
            Send(target.address, announce)
            for target in self._list_counted_children()
            if target.known_version < version
            or target.holder_count < compute_subtree_size(target.position, size)
        ]

    def summarize(self, version: Version) -> SubtreeHoldings:
        """Return the holdings of `version` in the subtree of this daemon."""
        holder_count, laggards = 1, list[InstanceId]()
        for target in self._list_counted_children():
            if target.known_version >= version:
                holder_count += target.holder_count
                laggards += target.laggards
            elif self._view and (instance := self._view.instances.get(target.address)):
                laggards.append(instance)
        return SubtreeHoldings(version, holder_count, tuple(dict.fromkeys(laggards))[:MAX_LAGGARDS])

    def _list_counted_children(self) -> list[PushTarget]:
        """Return the children whose holdings this daemon adds up.

        The children of a silent parent are counted only by the daemon that acts as root, so that
        none is counted twice.
        """
        as_root = self.acts_as_root
        targets = self._targets.values()
        children = (target for target in targets if target.role is Role.CHILD)
        return [target for target in children if as_root or not target.is_upward]

    def _is_ahead(self, target: PushTarget, position: int) -> bool:
        return target.role is not Role.REMOTE and target.position < position

    def _find_own_position(self) -> int | None:
        return self._view.find_position(self._own_address) if self._view else None

    def _list_direct_targets(self, position: int | None) -> list[PushTarget]:
        """Return the regular targets of the daemon at `position` in this availability zone."""
        if self._view is None or position is None:
            return []
        view, ranked_members = self._view, self._view.ranked_members
        children = list_child_positions(position, len(ranked_members))
        targets = [
            PushTarget(ranked_members[child], Role.CHILD, view.zone, child) for child in children
        ]
        parent = find_parent_position(position)
        if parent is not None:
            targets.append(PushTarget(ranked_members[parent], Role.PARENT, view.zone, parent))
        else:
            zones = view.list_following_zones(ANNOUNCED_ZONES)
            targets += [
                PushTarget(view.remote_members[zone][0], Role.REMOTE, zone, 0) for zone in zones
            ]
        return targets

    def _adopt_targets(self, silent_target: PushTarget) -> list[PushTarget]:
        adopted_targets = []
        for adopted_target in self._list_direct_targets(silent_target.position):
            if (
                adopted_target.address != self._own_address
                and adopted_target.address not in self._targets
            ):
                adopted_target.is_upward = adopted_target.is_upward or silent_target.is_upward
                self._targets[adopted_target.address] = adopted_target
                adopted_targets.append(adopted_target)
        return adopted_targets

    def _release_targets(self, target: PushTarget) -> None:
        """Drop the targets that were adopted from a daemon that answers again."""
        own_targets = {own.address for own in self._list_direct_targets(self._find_own_position())}
        for adopted_target in self._list_direct_targets(target.position):
            if adopted_target.address not in own_targets and target.role is not Role.REMOTE:
                self._targets.pop(adopted_target.address, None)

    def _push(self, target: PushTarget, now: float, tuning: Tuning) -> Actions:
        version = self._cache.version
        if target.known_version >= version:
            return []
        if target.deadline < math.inf:
            return []
        target.holder_count, target.laggards = 0, ()
        target.pushed_version = version
        target.attempts = 1
        target.deadline = now + tuning.ack_timeout_s
        return self._send(target, tuning)

    def _resend(self, target: PushTarget, now: float, tuning: Tuning) -> Actions:
        """Repeat a push that was not acknowledged; bypass the daemon after a few attempts."""
        target.deadline = math.inf
        if target.known_version >= self._cache.version:
            return []
        actions: Actions = []
        max_attempts = 1 if target.role is Role.REMOTE else ATTEMPTS_BEFORE_BYPASS
        if target.attempts >= max_attempts and not target.is_silent:
            target.is_silent = True
            actions.append(RecordEvent(PEER_SILENT, {"peer": target.address}))
            actions += self._bypass(target, now, tuning)
        if target.attempts < tuning.push_attempts:
            target.attempts += 1
            target.pushed_version = self._cache.version
            # The timeout grows only once a daemon is bypassed: until then, waiting delays all
            # daemons below it.
            timeout_factor = target.attempts if target.is_silent else 1
            target.deadline = now + tuning.ack_timeout_s * timeout_factor
            actions += self._send(target, tuning)
        return actions

    def _bypass(self, target: PushTarget, now: float, tuning: Tuning) -> Actions:
        if target.role is Role.REMOTE:
            return self._push_to_next_member(target, now, tuning)
        actions: Actions = []
        self._adopt_targets(target)
        for direct_target in self._list_direct_targets(target.position):
            adopted_target = self._targets.get(direct_target.address)
            if adopted_target is not None:
                actions += self._push(adopted_target, now, tuning)
        return actions

    def _push_to_next_member(self, target: PushTarget, now: float, tuning: Tuning) -> Actions:
        """Push to the next member of another availability zone, since those before are silent."""
        zone_members = self._view.remote_members.get(target.zone, ()) if self._view else ()
        next_rank = target.position + 1
        if next_rank >= len(zone_members) or zone_members[next_rank] in self._targets:
            return []
        replacement = PushTarget(zone_members[next_rank], Role.REMOTE, target.zone, next_rank)
        self._targets[replacement.address] = replacement
        return self._push(replacement, now, tuning)

    def _send(self, target: PushTarget, tuning: Tuning) -> Actions:
        announce = Announce(self._cache.version, self._cache.digest, wants_reply=True)
        if target.role is not Role.CHILD or target.is_silent:
            return [Send(target.address, announce)]
        base = (
            target.known_version
            if self._cache.find(target.known_version)
            else self._previous_version
        )
        if self._cache.find(base) is None:
            return [Send(target.address, announce)]
        update = self._cache.build_update(base)
        if len(update.body) > tuning.max_push_bytes:
            return [Send(target.address, announce)]
        if target.attempts > 1 and len(update.body) > MAX_REPEATED_BYTES:
            # The first one may be on its way; if not, the daemon fetches the version.
            return [Send(target.address, announce)]
        return [Send(target.address, update)]
