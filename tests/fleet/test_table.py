from hypothesis import given, settings
from hypothesis import strategies as st

from baobabwing.fleet.host import Host, MemberState
from baobabwing.fleet.table import ChangeKind, MemberTable
from baobabwing.wire.datagram import MemberRecord

ME = Host(name="me", incarnation=5, zone="a", region="r", peer="p:1", http="h:1")
STATES = [
    MemberState.ALIVE,
    MemberState.LEAVING,
    MemberState.DEAD,
    MemberState.LEFT,
]


def record(name="x", incarnation=1, state=MemberState.ALIVE, refutation=0, peer="p:2"):
    return MemberRecord(
        name=name,
        incarnation=incarnation,
        state=state,
        refutation=refutation,
        peer=peer,
    )


def table_with(*records):
    table = MemberTable(me=ME)
    for entry in records:
        table.apply(entry, now=0.0)
    return table


updates = st.lists(
    st.builds(
        record,
        name=st.sampled_from(["x", "y"]),
        incarnation=st.integers(1, 3),
        state=st.sampled_from(STATES),
        refutation=st.integers(0, 2),
    ),
    max_size=8,
)


@settings(derandomize=True, max_examples=150)
@given(updates=updates, data=st.data())
def test_order_of_updates_does_not_matter(updates, data):
    """Two nodes receive the same updates in different orders.

    If the order mattered, their views would differ permanently. Both know x and y
    from the start, since a brief record does not add a member.
    """
    initial = [record("x", 0), record("y", 0)]
    shuffled = data.draw(st.permutations(updates))
    table, shuffled_table = (
        table_with(*initial, *updates),
        table_with(*initial, *shuffled),
    )
    assert table.view().members == shuffled_table.view().members
    assert table.digest == shuffled_table.digest


def test_own_death_is_refuted_without_a_new_incarnation():
    """Keys name the incarnation, so a refutation must not change it."""
    table = table_with()
    change = table.apply(record("me", 5, MemberState.DEAD, 3), now=0.0)
    assert change.kind is ChangeKind.OWN_REFUTED
    assert (change.record.incarnation, change.record.refutation) == (5, 4)
    assert table.me.state is MemberState.ALIVE


def test_leaving_node_refutes_its_death_as_leaving():
    table = table_with()
    table.mark_leaving()
    change = table.apply(record("me", 5, MemberState.DEAD), now=0.0)
    assert change.record.state == MemberState.LEAVING


def test_later_process_with_the_own_name_is_reported():
    change = table_with().apply(record("me", 6), now=0.0)
    assert change.kind is ChangeKind.OWN_SUPERSEDED


def test_brief_record_adds_no_member():
    assert table_with(record(peer="")).find("x") is None


def test_brief_record_of_a_new_incarnation_is_ignored():
    table = table_with(record(incarnation=1))
    assert table.apply(record(incarnation=2, peer=""), now=0.0) is None


def test_dead_members_are_dropped_after_the_retention_time():
    table = table_with(record(), record(state=MemberState.DEAD))
    assert table.forget(now=5.0, dead_kept_s=9.0, left_kept_s=1.0) == set()
    assert table.forget(now=9.1, dead_kept_s=9.0, left_kept_s=1.0) == {"x"}
    assert table.find("x") is None


def test_samples_cover_the_whole_table():
    names = [f"n{i}" for i in range(20)]
    table = table_with(*(record(name) for name in names))
    sampled = {entry.name for _ in range(20) for entry in table.samples(4)}
    assert sampled == {"me", *names}


def test_digest_depends_on_leaving_but_not_on_suspicion():
    table = table_with(record())
    digest = table.digest
    table.suspect("x")
    assert table.digest == digest
    assert table.view().find("x").state is MemberState.SUSPECT
    table.apply(record(state=MemberState.LEAVING), now=0.0)
    assert table.digest != digest
