"""Passes versions on along the tree and gathers the holdings below.

Every push is acknowledged by a `Holding`, so a lost one is repeated, and a silent daemon is
bypassed: its children become targets of this daemon. At most one push to a target is
unanswered; versions that arrive meanwhile are folded into the next one.
"""

import math

from godwitpass.ids import NO_VERSION, Address, InstanceId, Version
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.distribution.snapshot_cache import SnapshotCache
from godwitpass.internal.distribution.events import PEER_SILENT
from godwitpass.internal.distribution.messages import MAX_LAGGARDS, Announce, SubtreeHoldings, Message
from godwitpass.internal.distribution.push_target import Role, PushTarget
from godwitpass.internal.distribution.tuning import MAX_TRIES, ZONE_LINKS, Tuning
from godwitpass.internal.distribution.view import (
    View,
    list_child_positions,
    find_parent_position,
    compute_subtree_size,
)

Actions = list[Send[Message] | RecordEvent]


class Pusher:
    """Sends the newest version to the targets of one daemon."""

    def __init__(self, own: Address, contents: SnapshotCache) -> None:
        self._own = own
        self._contents = contents
        self._view: View | None = None
        self._targets: dict[Address, PushTarget] = {}
        self._next_push_at = -math.inf
        self._push_at = math.inf
        self._previous = NO_VERSION
        self._upwards = False

    @property
    def deadline(self) -> float:
        """Return the time of the next repetition or folded push."""
        unanswered = (target.deadline for target in self._targets.values())
        return min(self._push_at, min(unanswered, default=math.inf))

    @property
    def acts_as_root(self) -> bool:
        """Tell whether this daemon is the root of its tree, or the first after silent ones."""
        position = self._position()
        if not position or self._view is None:
            return position == 0
        root = self._targets.get(self._view.ranked_members[0])
        return root is not None and all(
            target.silent for target in self._targets.values() if self._precedes(target, position)
        )

    def change_view(self, view: View) -> Actions:
        """Take over new members and tell them of the version; the others are known already.

        A version that came just before a member did was pushed without it.
        """
        self._view = view
        known, self._targets = self._targets, {}
        for target in self._duties(self._position()):
            self._targets[target.address] = target
            target.inherit(known.get(target.address))
        for target in list(self._targets.values()):
            if target.silent and target.role is not Role.ZONE:
                for adopted in self._adopt_duties(target):
                    adopted.inherit(known.get(adopted.address))
        if self._contents.version == NO_VERSION:
            return []
        announce = Announce(self._contents.version, self._contents.digest)
        return [Send(address, announce) for address in self._targets if address not in known]

    def start_push(self, previous: Version, upwards: bool, now: float, tuning: Tuning) -> Actions:
        """Pass on the newest version, at once or when the fold time is over.

        `upwards` is set when the version did not come from the parent, who may lack it then.
        """
        if self._push_at == math.inf:
            self._previous = previous
        self._upwards = upwards
        self._push_at = max(now, self._next_push_at)
        return self.run(now, tuning)

    def run(self, now: float, tuning: Tuning) -> Actions:
        """Send what is due at `now`."""
        actions: Actions = []
        if now >= self._push_at:
            self._push_at = math.inf
            self._next_push_at = now + tuning.push_interval_s
            self._contents.mark_pushed()
            for target in list(self._targets.values()):
                if self._upwards or not target.upwards:
                    actions += self._push(target, now, tuning)
        for target in list(self._targets.values()):
            if now >= target.deadline:
                actions += self._repeat(target, now, tuning)
        return actions

    def record_heard(self, sender: Address, version: Version) -> None:
        """Note that `sender` lives and holds `version`."""
        target = self._targets.get(sender)
        if target is None:
            return
        target.held = max(target.held, version)
        target.tries = 0
        if target.silent:
            target.silent = False
            self._release_duties(target)

    def record_holding(
        self, sender: Address, holding: SubtreeHoldings, now: float, tuning: Tuning
    ) -> Actions:
        """Take in an acknowledgement; push again if a later version came meanwhile."""
        self.record_heard(sender, holding.version)
        target = self._targets.get(sender)
        if target is None:
            return []
        target.deadline = math.inf
        if holding.version < self._contents.version:
            return self._push(target, now, tuning) if self._push_at == math.inf else []
        target.holder_count, target.laggards = holding.holder_count, holding.laggards
        return []

    def record_fetch(self, sender: Address, bases: tuple[Version, ...]) -> None:
        """Note that `sender` is being served; its acknowledgement follows."""
        self.record_heard(sender, max(bases, default=NO_VERSION))

    def ask_incomplete(self) -> Actions:
        """Ask the children whose part of the tree is not known to hold the newest version."""
        version = self._contents.version
        if self._view is None or version == NO_VERSION:
            return []
        size = len(self._view.ranked_members)
        announce = Announce(version, self._contents.digest, acknowledge=True)
        return [
            Send(target.address, announce)
            for target in self._counted()
            if target.held < version or target.holder_count < compute_subtree_size(target.position, size)
        ]

    def summarize(self, version: Version) -> SubtreeHoldings:
        """Return the holdings of `version` at and below this daemon."""
        holder_count, laggards = 1, list[InstanceId]()
        for target in self._counted():
            if target.held >= version:
                holder_count += target.holder_count
                laggards += target.laggards
            elif self._view and (instance := self._view.instances.get(target.address)):
                laggards.append(instance)
        return SubtreeHoldings(version, holder_count, tuple(dict.fromkeys(laggards))[:MAX_LAGGARDS])

    def _counted(self) -> list[PushTarget]:
        """Return the children whose holdings this daemon sums up.

        Those of a silent parent are counted by whoever took its place, so that none counts twice.
        """
        as_root = self.acts_as_root
        targets = self._targets.values()
        children = (target for target in targets if target.role is Role.CHILD)
        return [target for target in children if as_root or not target.upwards]

    def _precedes(self, target: PushTarget, position: int) -> bool:
        return target.role is not Role.ZONE and target.position < position

    def _position(self) -> int | None:
        return self._view.find_position(self._own) if self._view else None

    def _duties(self, position: int | None) -> list[PushTarget]:
        """Return the targets of the daemon at `position` of this availability zone."""
        if self._view is None or position is None:
            return []
        view, ranked_members = self._view, self._view.ranked_members
        children = list_child_positions(position, len(ranked_members))
        targets = [PushTarget(ranked_members[child], Role.CHILD, view.zone, child) for child in children]
        parent = find_parent_position(position)
        if parent is not None:
            targets.append(PushTarget(ranked_members[parent], Role.PARENT, view.zone, parent))
        else:
            zones = view.list_following_zones(ZONE_LINKS)
            targets += [PushTarget(view.remote[zone][0], Role.ZONE, zone, 0) for zone in zones]
        return targets

    def _adopt_duties(self, silent: PushTarget) -> list[PushTarget]:
        adopted = []
        for duty in self._duties(silent.position):
            if duty.address != self._own and duty.address not in self._targets:
                duty.upwards = duty.upwards or silent.upwards
                self._targets[duty.address] = duty
                adopted.append(duty)
        return adopted

    def _release_duties(self, target: PushTarget) -> None:
        """Leave the duties of a daemon that answers again to itself."""
        own = {duty.address for duty in self._duties(self._position())}
        for duty in self._duties(target.position):
            if duty.address not in own and target.role is not Role.ZONE:
                self._targets.pop(duty.address, None)

    def _push(self, target: PushTarget, now: float, tuning: Tuning) -> Actions:
        version = self._contents.version
        if target.held >= version:
            return []
        if target.deadline < math.inf:
            return []
        target.holder_count, target.laggards = 0, ()
        target.tries = 1
        target.deadline = now + tuning.ack_timeout_s
        return self._send(target, tuning)

    def _repeat(self, target: PushTarget, now: float, tuning: Tuning) -> Actions:
        """Send again to a daemon that did not answer; bypass it after a few tries."""
        target.deadline = math.inf
        if target.held >= self._contents.version:
            return []
        actions: Actions = []
        tries = 1 if target.role is Role.ZONE else MAX_TRIES
        if target.tries >= tries and not target.silent:
            target.silent = True
            actions.append(RecordEvent(PEER_SILENT, {"peer": target.address}))
            actions += self._bypass(target, now, tuning)
        if target.tries < tuning.tries:
            target.tries += 1
            # Only a daemon that is bypassed already is left more time: every pause before that
            # delays all daemons below it.
            pauses = target.tries if target.silent else 1
            target.deadline = now + tuning.ack_timeout_s * pauses
            actions += self._send(target, tuning)
        return actions

    def _bypass(self, target: PushTarget, now: float, tuning: Tuning) -> Actions:
        if target.role is Role.ZONE:
            return self._try_next_rank(target, now, tuning)
        actions: Actions = []
        self._adopt_duties(target)
        for duty in self._duties(target.position):
            adopted = self._targets.get(duty.address)
            if adopted is not None:
                actions += self._push(adopted, now, tuning)
        return actions

    def _try_next_rank(self, target: PushTarget, now: float, tuning: Tuning) -> Actions:
        """Tell the next daemon of another availability zone whose first ones are silent."""
        ranked = self._view.remote.get(target.zone, ()) if self._view else ()
        following = target.position + 1
        if following >= len(ranked) or ranked[following] in self._targets:
            return []
        replacement = PushTarget(ranked[following], Role.ZONE, target.zone, following)
        self._targets[replacement.address] = replacement
        return self._push(replacement, now, tuning)

    def _send(self, target: PushTarget, tuning: Tuning) -> Actions:
        announce = Announce(self._contents.version, self._contents.digest, acknowledge=True)
        if target.role is not Role.CHILD or target.silent:
            return [Send(target.address, announce)]
        base = target.held if self._contents.find(target.held) else self._previous
        if self._contents.find(base) is None:
            return [Send(target.address, announce)]
        update = self._contents.build_update(base)
        if len(update.body) > tuning.max_push_bytes:
            return [Send(target.address, announce)]
        return [Send(target.address, update)]
