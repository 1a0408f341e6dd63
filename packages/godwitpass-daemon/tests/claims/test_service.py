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
LIMIT_S = 30
AN_OLDER_KEY_MS = 30_000
LATEST_KEY_PART = "-774b-bcce-b302099a8057"


def build_key(number: int) -> str:
    stamp = f"{int(time.time() * 1000) - number:012x}"
    return f"{stamp[:8]}-{stamp[8:]}{LATEST_KEY_PART}"


def build_facts(key: str, target: bytes = b"/approvals?x=1") -> RequestDescriptor:
    service, route = ServiceName("contracts-core"), RouteName("approvals")
    return RequestDescriptor(service, route, "POST", target, key, b"", timeout_s=LIMIT_S)


class MemoryPeers:
    def __init__(self, address: Address, network: dict[Address, Handler]) -> None:
        self.address = address
        self._network = network

    def send(self, channel: Channel, to: Address, payload: bytes) -> None:
        assert channel is Channel.CLAIMS
        if to in self._network:
            self._network[to](self.address, payload)

    def subscribe(self, channel: Channel, handler: Handler) -> None:
        self._network[self.address] = handler


class FixedMembership:
    def members(self) -> Sequence[Member]:
        zone, region, alive = ZoneId("lakes-a"), RegionId("great-lakes"), MemberState.ALIVE
        return [Member(InstanceId(a), zone, region, a, 0, 0, alive) for a in ADDRESSES]

    def subscribe(self, callback: Callable[..., None]) -> None:
        callback("a", "change")


class NoEvents:
    def emit(self, kind: EventKind, /, **fields: FieldValue) -> None:
        pass


Scenario = Callable[[StoreState, Sequence[ClaimsService]], Awaitable[None]]


def run_services(scenario: Scenario) -> None:
    async def run() -> None:
        state = StoreState()
        store = FakeStore(state, time.monotonic)
        network: dict[Address, Handler] = {}
        services = [
            ClaimsService(
                RegionId("great-lakes"),
                store,
                MemoryPeers(address, network),
                FixedMembership(),
                NoEvents(),
            )
            for address in ADDRESSES
        ]
        with anyio.fail_after(LIMIT_S):
            async with anyio.create_task_group() as tasks:
                for service in services:
                    await service.start(tasks)
                await scenario(state, services)
                tasks.cancel_scope.cancel()

    anyio.run(run)


async def claim_alone(service: ClaimsService, facts: RequestDescriptor) -> ClaimVerdict:
    """Claim through a service whose peers are all silent."""
    async with anyio.create_task_group() as tasks:
        await service.start(tasks)
        verdict = await service.claim(facts)
        tasks.cancel_scope.cancel()
    return verdict


async def claim_until_first(service: ClaimsService, facts: RequestDescriptor) -> None:
    while await service.claim(facts) is not ClaimVerdict.FIRST:
        await anyio.sleep(0.05)


class TestClaimsService:
    def test_it_is_the_guard_that_the_edge_looks_for(self) -> None:
        async def scenario(state: StoreState, services: Sequence[ClaimsService]) -> None:
            assert all(isinstance(service, ClaimGuard) for service in services)

        run_services(scenario)

    def test_many_sendings_of_a_key_at_once_run_once(self) -> None:
        async def scenario(state: StoreState, services: Sequence[ClaimsService]) -> None:
            verdicts: list[ClaimVerdict] = []
            facts = build_facts(build_key(0))

            async def send(service: ClaimsService) -> None:
                verdicts.append(await service.claim(facts))

            async with anyio.create_task_group() as tasks:
                for number in range(12):
                    tasks.start_soon(send, services[number % 3])
            assert sorted(verdict.value for verdict in verdicts) == ["first"] + ["repeated"] * 11

        run_services(scenario)

    def test_a_call_that_did_not_run_may_be_sent_again_and_one_that_did_may_not(self) -> None:
        async def scenario(state: StoreState, services: Sequence[ClaimsService]) -> None:
            facts = build_facts(build_key(0))
            assert await services[0].claim(facts) is ClaimVerdict.FIRST
            services[0].settle(facts, Outcome.NOT_RUN)
            await claim_until_first(services[1], facts)
            services[1].settle(facts, None)
            assert await services[2].claim(facts) is ClaimVerdict.REPEATED

        run_services(scenario)

    def test_a_key_stands_for_one_path_and_a_call_without_one_is_always_first(self) -> None:
        async def scenario(state: StoreState, services: Sequence[ClaimsService]) -> None:
            key = build_key(0)
            assert await services[0].claim(build_facts(key)) is ClaimVerdict.FIRST
            assert await services[0].claim(build_facts(key, b"/payments")) is ClaimVerdict.FIRST
            assert (
                await services[0].claim(build_facts(key, b"/payments?y")) is ClaimVerdict.REPEATED
            )
            assert await services[0].claim(build_facts("")) is ClaimVerdict.FIRST
            assert await services[0].claim(build_facts("order-17")) is ClaimVerdict.INVALID
            assert services[0].counts["granted"] == 2
            assert services[0].counts["invalid_key"] == 1

        run_services(scenario)

    def test_an_asker_that_goes_away_leaves_the_key_free(self) -> None:
        async def scenario(state: StoreState, services: Sequence[ClaimsService]) -> None:
            facts = build_facts(build_key(0))
            state.faults = Faults(delay_s=0.2)
            with anyio.move_on_after(0.05):
                await services[0].claim(facts)
            state.faults = Faults()
            await claim_until_first(services[1], facts)

        run_services(scenario)

    def test_a_store_that_is_down_or_loses_an_answer(self) -> None:
        async def scenario(state: StoreState, services: Sequence[ClaimsService]) -> None:
            facts = build_facts(build_key(0))
            state.faults = Faults(down=True)
            assert await services[0].claim(facts) is ClaimVerdict.UNAVAILABLE
            state.faults = Faults(lost_answers=1)
            await claim_until_first(services[0], facts)
            assert state.faults == Faults()
            assert await services[1].claim(facts) is ClaimVerdict.REPEATED

        run_services(scenario)

    def test_an_older_key_that_can_not_be_looked_up_is_never_called_not_run(self) -> None:
        async def scenario(state: StoreState, services: Sequence[ClaimsService]) -> None:
            facts = build_facts(build_key(AN_OLDER_KEY_MS))
            await claim_until_first(services[0], facts)
            # The daemon that sent it and the holder are gone with all that they remembered.
            state.faults = Faults(down=True)
            restarted = ClaimsService(
                RegionId("great-lakes"),
                FakeStore(state, time.monotonic),
                MemoryPeers(Address("10.0.0.9:7000"), {}),
                FixedMembership(),
                NoEvents(),
            )
            assert await claim_alone(restarted, facts) is ClaimVerdict.REPEATED
            fresh = build_facts(build_key(0))
            assert await claim_alone(restarted, fresh) is ClaimVerdict.UNAVAILABLE

        run_services(scenario)

    def test_messages_that_are_not_claims_are_dropped(self) -> None:
        async def scenario(state: StoreState, services: Sequence[ClaimsService]) -> None:
            for payload in (b"", b"\xc1", msgspec.msgpack.encode([1, 2]), b"x" * 1000):
                services[0]._receive(ADDRESSES[1], payload)
            assert await services[0].claim(build_facts(build_key(0))) is ClaimVerdict.FIRST

        run_services(scenario)
