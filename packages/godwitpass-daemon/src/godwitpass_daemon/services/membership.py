"""Who is in the mesh: each daemon writes a leased record and watches the others'."""

from collections.abc import Callable, Sequence

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitpass.errors import StoreError
from godwitpass.ids import NO_REVISION, InstanceId, LeaseId, Revision, ServiceName
from godwitpass.mesh import Member, MemberState, Upstream, UpstreamState
from godwitpass.store import Store
from godwitpass_daemon.settings import Settings

PREFIX = "members/"
LEASE_S = 10.0
WATCH_S = 10.0
RETRY_S = 0.5


class MembershipService:
    """Announces this daemon and knows the others."""

    def __init__(self, settings: Settings, store: Store) -> None:
        self._settings = settings
        self._store = store
        self._members: dict[InstanceId, Member] = {}
        self._callbacks: list[Callable[[], None]] = []
        self._lease: LeaseId | None = None
        self._state = UpstreamState.READY

    async def start(self, tasks: TaskGroup) -> None:
        """Announce and watch in the background."""
        tasks.start_soon(self._renew)
        tasks.start_soon(self._watch)

    async def stop(self) -> None:
        """Withdraw the announcement."""
        if self._lease is None:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except StoreError:
            return

    def members(self) -> Sequence[Member]:
        """Return the daemons believed alive."""
        return tuple(self._members.values())

    def upstreams(self, service: ServiceName) -> Sequence[Upstream]:
        """Return the upstreams of `service`."""
        found = (member.upstream for member in self._members.values())
        return tuple(item for item in found if item is not None and item.service == service)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""
        self._callbacks.append(callback)

    def announce(self, state: UpstreamState) -> None:
        """Change the announced state of the local upstream."""
        self._state = state

    def _describe(self) -> Member:
        settings = self._settings
        upstream = None
        if settings.upstream is not None:
            upstream = Upstream(
                settings.instance,
                settings.upstream.service,
                settings.upstream.address,
                settings.zone,
                settings.region,
                self._state,
                12,
            )
        return Member(
            settings.instance,
            settings.zone,
            settings.region,
            settings.listen.peer,
            0,
            0,
            MemberState.ALIVE,
            upstream,
        )

    async def _renew(self) -> None:
        while True:
            try:
                if self._lease is None or not await self._store.renew_lease(self._lease):
                    self._lease = await self._store.grant_lease(LEASE_S)
                record = msgspec.msgpack.encode(self._describe())
                key = PREFIX + self._settings.instance
                await self._store.put(key, record, None, self._lease)
            except StoreError:
                await anyio.sleep(RETRY_S)
                continue
            await anyio.sleep(LEASE_S / 3)

    async def _watch(self) -> None:
        after: Revision = NO_REVISION
        while True:
            try:
                result = await self._store.watch(PREFIX, after, WATCH_S)
            except StoreError:
                await anyio.sleep(RETRY_S)
                continue
            for entry in result.entries:
                instance = InstanceId(entry.key.removeprefix(PREFIX))
                if entry.value is None:
                    self._members.pop(instance, None)
                else:
                    self._members[instance] = msgspec.msgpack.decode(entry.value, type=Member)
            after = result.revision
            for callback in self._callbacks:
                callback()
