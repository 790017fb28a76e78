"""Upstreams that may get new work, peers of nodes, and leases."""

from ryelatch_core.membership import (
    TTL_SECONDS,
    Lease,
    Roster,
    Vm,
    choose_peers,
    may_send_command,
    release_lease,
    should_watch,
    take_lease,
)


def _vm(name: str, zone: str = 'z', *, leaving: bool = False) -> Vm:
    return Vm(name, 'engine', f'{name}:1', zone, leaving)


def test_any_word_of_leaving_is_enough() -> None:
    roster = Roster()
    roster.apply_list([_vm('a'), _vm('b'), _vm('c'), _vm('d')])
    assert roster.record_leaving('a')
    assert not roster.record_leaving('a')
    assert roster.apply_peer('peer', ['b']) == ('b',)
    change = roster.apply_list(
        [_vm('a'), _vm('b'), _vm('c', leaving=True), _vm('d')]
    )
    assert change.leaving == ('c',)
    assert [vm.name for vm in roster.list_role('engine')] == ['d']
    assert set(roster.list_leaving()) == {'a', 'c'}


def test_word_of_a_peer_ends_with_it() -> None:
    """An engine restarts after peers have reported that it leaves.

    If peers passed on each other's reports, two peers would keep the engine
    out of use for good.
    """
    roster = Roster()
    roster.apply_list([_vm('a')])
    roster.apply_peer('peer', ['a'])
    assert not roster.list_leaving()
    roster.apply_peer('peer', [])
    assert len(roster.list_role('engine')) == 1


def test_a_list_that_lacks_a_vm_for_a_moment() -> None:
    roster = Roster()
    roster.apply_list([_vm('a'), _vm('b')])
    assert roster.apply_list([_vm('a')]).left == ()
    assert roster.apply_list([_vm('a'), _vm('b')]).joined == ()
    assert [roster.apply_list([_vm('a')]).left for _ in range(3)] == [
        (),
        (),
        ('b',),
    ]
    assert roster.apply_list([], settled=True).left == ('a',)


def test_streams_grow_with_zones_not_with_nodes() -> None:
    nodes = [
        Vm(f'n{zone}-{index}', 'node', 'x:1', f'z{zone}')
        for zone in range(13)
        for index in range(108)
    ]
    chosen = choose_peers('n0-5', 'z0', nodes)
    assert len(chosen) == 8 + 2 * 12
    assert 'n0-5' not in {vm.name for vm in chosen}


def test_two_nodes_of_a_zone_watch() -> None:
    names = ['a', 'b', 'c', 'd']
    watching = [name for name in names if should_watch(name, names)]
    assert watching == ['a', 'b']
    assert should_watch('z', [])


def test_lease_is_taken_when_free_or_unchanged() -> None:
    assert take_lease(None, 'a', 0) == Lease('a', 1)
    held = Lease('a', 4)
    assert take_lease(held, 'b', TTL_SECONDS - 1) is None
    assert take_lease(held, 'b', TTL_SECONDS) == Lease('b', 5)
    assert take_lease(release_lease(held), 'b', 0) == Lease('b', 5)


def test_orders_of_two_holders_never_overlap() -> None:
    """The first holder is paused, and its lease expires unnoticed.

    The last moment at which it may send a command, plus the command's timeout,
    lies before the first moment at which the next holder may send one.
    """
    renewed = 100.0
    last = max(
        now / 10
        for now in range(1000, 1200)
        if may_send_command(renewed, 0, now / 10)
    )
    taken = renewed + TTL_SECONDS
    first = min(
        now / 10
        for now in range(1000, 1200)
        if may_send_command(taken, taken, now / 10)
    )
    assert last + 2 <= first
