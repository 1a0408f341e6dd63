from godwitpass.ids import Address, InstanceId, RegionId, ZoneId
from godwitpass.internal.membership.messages import MemberMetadata, MemberUpdate, hash_instance
from godwitpass.internal.membership.records import MemberRecord, build_record
from godwitpass.internal.membership.table import MemberTable
from godwitpass.mesh import MemberState


def build_update(name: str, address: str, incarnation: int) -> MemberUpdate:
    instance = InstanceId(name)
    metadata = MemberMetadata(instance, ZoneId("bergen"), RegionId("vest"), Address(address))
    return MemberUpdate(hash_instance(instance), incarnation, MemberState.ALIVE, 1, metadata)


def build_own() -> MemberRecord:
    record = build_record(build_update("own", "10.0.0.1:70", 100))
    assert record is not None
    return record


def list_names(table: MemberTable) -> set[str]:
    return {member.instance for member in table.members()}


class TestReusedAddresses:
    def test_a_newer_member_replaces_the_older_one_at_its_address(self) -> None:
        table = MemberTable(build_own(), max_gone_members=10)
        table.merge(build_update("old", "10.0.0.2:70", 100), 1.0)
        table.merge(build_update("new", "10.0.0.2:70", 103), 4.0)
        assert list_names(table) == {"own", "new"}

    def test_a_late_update_of_a_replaced_member_does_not_bring_it_back(self) -> None:
        table = MemberTable(build_own(), max_gone_members=10)
        table.merge(build_update("new", "10.0.0.2:70", 103), 4.0)
        table.merge(build_update("old", "10.0.0.2:70", 100), 5.0)
        assert list_names(table) == {"own", "new"}
        found = table.find_by_address(Address("10.0.0.2:70"))
        assert found is not None and found.metadata.instance == "new"

    def test_no_other_member_gets_the_address_of_this_daemon(self) -> None:
        table = MemberTable(build_own(), max_gone_members=10)
        table.merge(build_update("other", "10.0.0.1:70", 200), 1.0)
        assert list_names(table) == {"own"}
