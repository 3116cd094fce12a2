import time
from contextlib import suppress

import pytest

from baobabwing.fleet.counters import DropReason
from baobabwing.fleet.host import MemberState
from baobabwing.fleet.link import open_udp_socket
from baobabwing.wire.authentication import seal
from baobabwing.wire.datagram import MAX_DATAGRAM_BYTES

TIMEOUT_S = 20.0
DEAD, LEFT = MemberState.DEAD, MemberState.LEFT


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "condition did not come true"
        time.sleep(0.01)


def test_all_members_detect_a_death(fleet):
    """A host stops without announcing that it leaves.

    Callers would be sent to it as long as it stays in the view. Its probes time out,
    other members confirm it, and all nodes declare it dead.
    """
    nodes = fleet.start("abcabc")
    nodes[1].membership.stop()
    others = [node for node in nodes if node is not nodes[1]]
    assert all(node.wait_for_state("b1", DEAD) for node in others)
    view = nodes[0].membership.view()
    assert not view.is_current("b1", 1)
    assert "b1" not in {host.name for host in view.serving()}
    assert all(node.wait_until_published(DEAD) for node in others)
    assert all(node.published_in_state(DEAD) == {"b1"} for node in others)


def test_frozen_node_refutes_its_death(fleet):
    """A process is paused, is declared dead, and then resumes.

    It is informed of its death by the first members that answer, refutes it and is
    alive again under the same incarnation, so keys bound to it stay valid. Its own
    probes timed out meanwhile, yet it must not declare any other member dead.
    """
    nodes = fleet.start("abcab")
    frozen, others = nodes[2], nodes[:2] + nodes[3:]
    frozen.socket.freeze()
    assert all(node.wait_for_state("c2", DEAD) for node in others)
    frozen.socket.unfreeze()
    assert fleet.all_become_alive()
    assert nodes[0].membership.view().is_current("c2", 1)
    assert frozen.published_in_state(DEAD) == set()


def test_leaving_host_is_taken_out_of_service(fleet):
    """An operator drains a host.

    It keeps answering so that its streams can finish, but receives no new work. At
    the end it announces that it has left, and no member declares it dead.
    """
    nodes = fleet.start("abc")
    nodes[0].membership.leave()
    assert all(node.wait_for_state("a0", MemberState.LEAVING) for node in nodes)
    view = nodes[1].membership.view()
    assert {host.name for host in view.serving()} == {"b1", "c2"}
    assert view.is_current("a0", 1)
    nodes[0].membership.stop()
    assert all(node.wait_for_state("a0", LEFT) for node in nodes[1:])
    assert all(node.published_in_state(DEAD) == set() for node in nodes)


def test_node_whose_link_is_cut_kills_nobody(fleet, network):
    """One host loses its network link and gets it back.

    To it, all other members are unresponsive at once. It must hold its decisions and
    mark its view as isolated, while the others declare it dead. Once the link is
    back, all members are alive again.
    """
    nodes = fleet.start("abcabc")
    isolated, others = nodes[0], nodes[1:]
    network.partition([isolated.port])
    assert all(node.wait_for_state("a0", DEAD) for node in others)
    assert isolated.wait_for_view(lambda view: view.isolated)
    network.partition([])
    assert fleet.all_become_alive()
    assert isolated.wait_for_view(lambda view: not view.isolated)
    assert isolated.published_in_state(DEAD) == set()
    assert all(node.wait_until_published(DEAD) for node in others)
    assert all(node.published_in_state(DEAD) == {"a0"} for node in others)


def test_zone_cut_off_is_declared_by_the_others_only(fleet, network):
    """One of three availability zones is partitioned and then reconnected.

    The other two zones confirm to each other that it is unresponsive. Inside the
    partitioned zone only members of that zone confirm, which is not sufficient.
    """
    nodes = fleet.start("abcabc")
    inside = [node for node in nodes if node.zone == "c"]
    outside = [node for node in nodes if node.zone != "c"]
    network.partition([node.port for node in inside])
    for node in outside:
        assert all(node.wait_for_state(host_node.name, DEAD) for host_node in inside)
    assert all(node.wait_for_view(lambda view: view.isolated) for node in inside)
    assert all(node.published_in_state(DEAD) == set() for node in inside)
    network.partition([])
    assert fleet.all_become_alive()


def test_two_nodes_behind_a_failed_switch_declare_no_deaths(fleet, network):
    """Two hosts of a fleet with one availability zone share a failed switch.

    Each confirms to the other that all remaining members are unresponsive. Since
    most of the members they probe do not answer, they must not declare any dead.
    """
    nodes = fleet.start("aaaaaaa")
    network.partition([node.port for node in nodes[:2]])
    assert all(
        n.wait_for_state("a0", DEAD) and n.wait_for_state("a1", DEAD) for n in nodes[2:]
    )
    assert nodes[0].wait_for_view(lambda view: view.isolated)
    network.partition([])
    assert fleet.all_become_alive()
    assert all(n.wait_for_view(lambda view: not view.isolated) for n in nodes[:2])
    assert all(n.published_in_state(DEAD) <= {"a0", "a1"} for n in nodes)


def test_packet_loss_causes_no_lasting_false_death(fleet, network):
    """One datagram in five is lost.

    Some probes fail, so members are suspected now and then. Their refutations must
    get through, and a member that is declared dead nonetheless must return.
    """
    fleet.start("abcabc")
    network.set_loss(0.2)
    before = len(network.sent)
    wait_until(lambda: len(network.sent) > before + 1500)
    assert fleet.all_become_alive()


def test_restart_replaces_the_old_incarnation_at_once(fleet):
    """A host is restarted before any member noticed that it had stopped.

    Keys of the old process must not be attributed to the new one.
    """
    nodes = fleet.start("abc")
    nodes[1].membership.stop()
    restarted = fleet.add("b1", "b", incarnation=2)
    restarted.membership.start()
    others = [nodes[0], nodes[2]]
    assert all(n.wait_for_view(lambda view: view.is_current("b1", 2)) for n in others)
    assert not any(n.membership.view().is_current("b1", 1) for n in others)
    assert nodes[0].membership.view().find("b1").host == restarted.membership.me


def test_old_process_of_a_restarted_host_is_ignored(fleet):
    """A host is restarted while its old process still runs.

    Both claim to be b1. The later incarnation wins, whatever the older one sends.
    """
    nodes = fleet.start("abc")
    restarted = fleet.add("b1", "b", incarnation=2)
    restarted.membership.start()
    assert nodes[0].wait_for_view(lambda view: view.is_current("b1", 2))
    counters = nodes[0].membership.counters
    wait_until(lambda: counters.dropped().get(DropReason.STALE, 0) > 3)
    wait_until(lambda: nodes[1].membership.superseded)
    assert nodes[0].membership.view().is_current("b1", 2)


def failing_seeds():
    raise OSError("platform is down")


@pytest.mark.parametrize("seeds", [failing_seeds, list])
def test_wrong_or_missing_list_kills_nobody(fleet, seeds):
    """The platform's list of hosts cannot be read, or it is empty.

    Known members must stay, since the list only names candidates.
    """
    nodes = fleet.start("abc")
    for node in nodes:
        node._seeds = seeds
    reads = [node.seed_reads for node in nodes]
    wait_until(
        lambda: all(n.seed_reads > r + 3 for n, r in zip(nodes, reads, strict=True))
    )
    assert fleet.all_become_alive()
    assert all(node.published_in_state(DEAD) == set() for node in nodes)


def test_groups_that_started_separately_merge(fleet):
    """Two groups start with lists of hosts that do not name each other.

    Once the list of a single node names a member of the other group, they merge.
    """
    left = [fleet.add("a0"), fleet.add("a1")]
    left_seeds = [node.membership.me for node in left]
    right = [fleet.add(name, seeds=lambda: right_seeds) for name in ("b0", "b1")]
    right_seeds = [node.membership.me for node in right]
    for node in left:
        node._seeds = lambda: left_seeds
    for node in fleet.nodes:
        node.membership.start()
    assert fleet.all_become_alive(left)
    assert fleet.all_become_alive(right)
    assert left[0].membership.view().find("b0") is None
    left[1]._seeds = lambda: right_seeds
    assert fleet.all_become_alive()


def test_configuration_version_reaches_all_nodes(fleet):
    nodes = fleet.start("abcab")
    nodes[3].version = 7
    nodes[3].membership.announce()
    wait_until(lambda: all(node.version == 7 for node in nodes))
    assert nodes[0].reported_versions[0][0] == 7


def test_secrets_can_be_rotated(fleet):
    """Secrets are changed host by host; meanwhile both must be accepted."""
    fleet.add("a0", secrets=(b"old", b"new"))
    fleet.add("a1", secrets=(b"new", b"old"))
    for node in fleet.nodes:
        node.membership.start()
    assert fleet.all_become_alive()


def test_stranger_with_a_wrong_secret_stays_out(fleet):
    nodes = fleet.start("ab")
    unauthenticated = fleet.add("c9", "c", secrets=(b"wrong",))
    unauthenticated.membership.start()
    counters = [node.membership.counters for node in nodes]
    wait_until(lambda: all(c.dropped().get(DropReason.FORGED, 0) for c in counters))
    assert all(node.state_of("c9") is None for node in nodes)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"x", DropReason.FORGED),
        (b"x" * 100, DropReason.FORGED),
        (b"x" * (MAX_DATAGRAM_BYTES + 1), DropReason.OVERSIZED),
        (b"x" * 60000, DropReason.OVERSIZED),
        (
            seal((b"s1",), b"\xff" * 50, purpose=b"membership"),
            DropReason.MALFORMED,
        ),
    ],
)
def test_bad_datagrams_are_counted_and_harm_nothing(fleet, data, reason):
    nodes = fleet.start("ab")
    sock = open_udp_socket("127.0.0.1:0")
    with sock:
        sock.sendto(data, ("127.0.0.1", nodes[0].port))
    counters = nodes[0].membership.counters
    wait_until(lambda: counters.dropped().get(reason, 0) == 1)
    received = counters.received
    wait_until(lambda: counters.received > received + 5)
    assert fleet.all_become_alive()


def test_recorded_datagrams_are_refused(fleet, network):
    """An attacker records datagrams and sends them again later.

    They may report a death that was refuted since, so all must be refused.
    """
    nodes = fleet.start("ab")
    target = nodes[0].port
    recorded = [data for _, port, data in list(network.sent) if port == target][:20]
    counters = nodes[0].membership.counters
    sock = open_udp_socket("127.0.0.1:0")
    with sock:
        for data in recorded:
            sock.sendto(data, ("127.0.0.1", target))
    wait_until(lambda: counters.dropped().get(DropReason.REPLAYED, 0) >= len(recorded))


def test_failing_callback_does_not_end_the_protocol(fleet):
    """A callback of the node raises while it handles a view or a version.

    If that ended the protocol's threads, the node would be declared dead.
    """

    def fail(*args):
        raise RuntimeError("error in the callback")

    broken = fleet.add("a0")
    broken.membership._publisher._on_view = fail
    broken.membership._receiver._on_configuration = fail
    other = fleet.add("b1", "b")
    other.version = 3
    for node in fleet.nodes:
        node.membership.start()
    assert fleet.all_become_alive()
    received = broken.membership.counters.received
    wait_until(lambda: broken.membership.counters.received > received + 10)
    assert other.state_of("a0") is MemberState.ALIVE


def test_stop_twice_is_harmless(fleet):
    node = fleet.start("a")[0]
    with suppress(OSError):
        node.membership.stop()
    node.membership.stop()
