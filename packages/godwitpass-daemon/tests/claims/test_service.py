import time
from collections.abc import Awaitable, Callable, Sequence

import anyio
import msgspec

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address, InstanceId, RegionId, RouteName, ServiceName, ZoneId
from godwitpass.internal.calls.outcomes import Outcome
from godwitpass.mesh import Member, MemberState
from godwitpass_daemon.edge.guards import ClaimGuard, ClaimVerdict, RequestDescriptor
from godwitpass_daemon.peers.channels import Channel, Handler
from godwitpass_daemon.services.claims import ClaimsService
from godwitpass_testkit.store import FakeStore, Faults, StoreState

ADDRESSES = tuple(Address(f"10.0.0.{host}:7000") for host in range(3))
TIMEOUT_S = 30
RETRY_KEY_AGE_MS = 30_000
KEY_SUFFIX = "-774b-bcce-b302099a8057"


def build_key(age_ms: int) -> str:
    timestamp = f"{int(time.time() * 1000) - age_ms:012x}"
    return f"{timestamp[:8]}-{timestamp[8:]}{KEY_SUFFIX}"


def build_request(key: str, target: bytes = b"/approvals?x=1") -> RequestDescriptor:
    service, route = ServiceName("contracts-core"), RouteName("approvals")
    return RequestDescriptor(service, route, "POST", target, key, b"", timeout_s=TIMEOUT_S)


class InMemoryPeers:
    def __init__(self, address: Address, handlers: dict[Address, Handler]) -> None:
        self.address = address
        self._handlers = handlers

    def send(self, channel: Channel, to: Address, payload: bytes) -> None:
        assert channel is Channel.CLAIMS
        if to in self._handlers:
            self._handlers[to](self.address, payload)

    def subscribe(self, channel: Channel, handler: Handler) -> None:
        self._handlers[self.address] = handler


class FixedMembership:
    def members(self) -> Sequence[Member]:
        zone, region, alive = ZoneId("lakes-a"), RegionId("great-lakes"), MemberState.ALIVE
        return [Member(InstanceId(a), zone, region, a, 0, 0, alive) for a in ADDRESSES]

    def subscribe(self, callback: Callable[..., None]) -> None:
        callback("a", "change")


class NullEvents:
    def emit(self, kind: EventKind, /, **fields: FieldValue) -> None:
        pass


Scenario = Callable[[StoreState, Sequence[ClaimsService]], Awaitable[None]]


def run_services(scenario: Scenario) -> None:
    async def run() -> None:
        store_state = StoreState()
        store = FakeStore(store_state, time.monotonic)
        handlers: dict[Address, Handler] = {}
        services = [
            ClaimsService(
                RegionId("great-lakes"),
                store,
                InMemoryPeers(address, handlers),
                FixedMembership(),
                NullEvents(),
            )
            for address in ADDRESSES
        ]
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for service in services:
                    await service.start(tasks)
                await scenario(store_state, services)
                tasks.cancel_scope.cancel()

    anyio.run(run)


async def claim_without_peers(service: ClaimsService, request: RequestDescriptor) -> ClaimVerdict:
    """Claim through a service that gets no messages from its peers."""
    async with anyio.create_task_group() as tasks:
        await service.start(tasks)
        verdict = await service.claim(request)
        tasks.cancel_scope.cancel()
    return verdict


async def claim_until_first(service: ClaimsService, request: RequestDescriptor) -> None:
    while await service.claim(request) is not ClaimVerdict.FIRST:
        await anyio.sleep(0.05)


class TestClaimsService:
    def test_it_implements_the_claim_guard_of_the_edge(self) -> None:
        async def scenario(store_state: StoreState, services: Sequence[ClaimsService]) -> None:
            assert all(isinstance(service, ClaimGuard) for service in services)

        run_services(scenario)

    def test_concurrent_attempts_with_one_key_run_once(self) -> None:
        async def scenario(store_state: StoreState, services: Sequence[ClaimsService]) -> None:
            verdicts: list[ClaimVerdict] = []
            request = build_request(build_key(0))

            async def send(service: ClaimsService) -> None:
                verdicts.append(await service.claim(request))

            async with anyio.create_task_group() as tasks:
                for attempt in range(12):
                    tasks.start_soon(send, services[attempt % 3])
            assert sorted(verdict.value for verdict in verdicts) == ["first"] + ["repeated"] * 11

        run_services(scenario)

    def test_a_call_may_be_retried_if_it_did_not_run_but_not_if_it_was_answered(self) -> None:
        async def scenario(store_state: StoreState, services: Sequence[ClaimsService]) -> None:
            request = build_request(build_key(0))
            assert await services[0].claim(request) is ClaimVerdict.FIRST
            services[0].settle(request, Outcome.NOT_RUN)
            await claim_until_first(services[1], request)
            services[1].settle(request, None)
            assert await services[2].claim(request) is ClaimVerdict.REPEATED

        run_services(scenario)

    def test_a_key_is_scoped_to_its_path_and_a_call_without_a_key_is_always_first(self) -> None:
        async def scenario(store_state: StoreState, services: Sequence[ClaimsService]) -> None:
            key = build_key(0)
            assert await services[0].claim(build_request(key)) is ClaimVerdict.FIRST
            assert await services[0].claim(build_request(key, b"/payments")) is ClaimVerdict.FIRST
            assert (
                await services[0].claim(build_request(key, b"/payments?y")) is ClaimVerdict.REPEATED
            )
            assert await services[0].claim(build_request("")) is ClaimVerdict.FIRST
            assert await services[0].claim(build_request("order-17")) is ClaimVerdict.INVALID
            assert services[0].counts["granted"] == 2
            assert services[0].counts["invalid_key"] == 1

        run_services(scenario)

    def test_a_cancelled_claim_releases_its_key(self) -> None:
        async def scenario(store_state: StoreState, services: Sequence[ClaimsService]) -> None:
            request = build_request(build_key(0))
            store_state.faults = Faults(delay_s=0.2)
            with anyio.move_on_after(0.05):
                await services[0].claim(request)
            store_state.faults = Faults()
            await claim_until_first(services[1], request)

        run_services(scenario)

    def test_a_call_is_not_sent_while_the_store_is_down_and_runs_once_after_a_lost_answer(
        self,
    ) -> None:
        async def scenario(store_state: StoreState, services: Sequence[ClaimsService]) -> None:
            request = build_request(build_key(0))
            store_state.faults = Faults(down=True)
            assert await services[0].claim(request) is ClaimVerdict.UNAVAILABLE
            store_state.faults = Faults(lost_answers=1)
            await claim_until_first(services[0], request)
            assert store_state.faults == Faults()
            assert await services[1].claim(request) is ClaimVerdict.REPEATED

        run_services(scenario)

    def test_a_retry_that_cannot_be_looked_up_is_not_reported_as_not_run(self) -> None:
        async def scenario(store_state: StoreState, services: Sequence[ClaimsService]) -> None:
            request = build_request(build_key(RETRY_KEY_AGE_MS))
            await claim_until_first(services[0], request)
            # The daemon that sent the call and the shard owner are gone, with their memory.
            store_state.faults = Faults(down=True)
            replacement = ClaimsService(
                RegionId("great-lakes"),
                FakeStore(store_state, time.monotonic),
                InMemoryPeers(Address("10.0.0.9:7000"), {}),
                FixedMembership(),
                NullEvents(),
            )
            assert await claim_without_peers(replacement, request) is ClaimVerdict.REPEATED
            new_request = build_request(build_key(0))
            assert await claim_without_peers(replacement, new_request) is ClaimVerdict.UNAVAILABLE

        run_services(scenario)

    def test_malformed_messages_are_dropped(self) -> None:
        async def scenario(store_state: StoreState, services: Sequence[ClaimsService]) -> None:
            for payload in (b"", b"\xc1", msgspec.msgpack.encode([1, 2]), b"x" * 1000):
                services[0]._receive(ADDRESSES[1], payload)
            assert await services[0].claim(build_request(build_key(0))) is ClaimVerdict.FIRST

        run_services(scenario)
