from godwitpass.ids import Address, InstanceId, RegionId, ZoneId
from godwitpass.internal.membership.messages import MemberMetadata, MemberUpdate, hash_instance
from godwitpass.internal.membership.records import Record, build_record
from godwitpass.internal.membership.table import Table
from godwitpass.mesh import MemberState


def build_update(name: str, address: str, incarnation: int) -> MemberUpdate:
    instance = InstanceId(name)
    content = MemberMetadata(instance, ZoneId("bergen"), RegionId("vest"), Address(address))
    return MemberUpdate(hash_instance(instance), incarnation, MemberState.ALIVE, 1, content)


def build_own() -> Record:
    record = build_record(build_update("own", "10.0.0.1:70", 100))
    assert record is not None
    return record


def list_names(table: Table) -> set[str]:
    return {member.instance for member in table.members()}


class TestAddressesUsedAgain:
    def test_the_later_member_takes_the_address_of_one_that_is_gone(self) -> None:
        table = Table(build_own(), max_gone=10)
        table.merge(build_update("old", "10.0.0.2:70", 100), 1.0)
        table.merge(build_update("new", "10.0.0.2:70", 103), 4.0)
        assert list_names(table) == {"own", "new"}

    def test_late_news_of_the_former_member_does_not_bring_it_back(self) -> None:
        table = Table(build_own(), max_gone=10)
        table.merge(build_update("new", "10.0.0.2:70", 103), 4.0)
        table.merge(build_update("old", "10.0.0.2:70", 100), 5.0)
        assert list_names(table) == {"own", "new"}
        found = table.find_address(Address("10.0.0.2:70"))
        assert found is not None and found.content.instance == "new"

    def test_nobody_else_has_the_own_address(self) -> None:
        table = Table(build_own(), max_gone=10)
        table.merge(build_update("other", "10.0.0.1:70", 200), 1.0)
        assert list_names(table) == {"own"}
