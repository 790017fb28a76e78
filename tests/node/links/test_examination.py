"""By when a node knows that its links are lost, and when it concludes nothing.

In virtual time, with fakes for the connections to replicas and for the nodes
that are asked.
"""

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

from ryelatch_core.events import LineLog
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Hub
from ryelatch_core.links import Contacts, LinkGroup
from ryelatch_core.membership import compute_departure_bounds
from ryelatch_node.links._examination import Examiner, make_examiner
from ryelatch_node.links._prober import LinkProber
from ryelatch_node.links._state import LinkState
from ryelatch_node.views import ReplicaView
from virtual.loop import VirtualClock, VirtualLoop, run

MAX_PROBE_SECONDS = 0.17
"""Longest time for the probes of replicas that don't respond."""

_WITNESS_SECONDS = 0.02
_GROUPS = [LinkGroup('model', 'a'), LinkGroup('model', 'b')]
_REPLICAS = [
    Replica(f'{group.zone}-{number}', group.service, f'{group}:1', group.zone)
    for group in _GROUPS
    for number in range(8)
]


def _make(
    reaches: Callable[[Replica], bool],
    witnessed: set[LinkGroup],
    blocked: float = 0,
    *,
    held: bool = False,
) -> Examiner:
    """Make an examiner.

    :param reaches: whether a connection to a replica is established.
    :param witnessed: groups that another node reaches.
    :param blocked: seconds for which each connection blocks the process.
    :param held: whether established connections are held without an end.
    """

    async def hold_connection(
        replica: Replica, hold: Callable[[], Awaitable[None]]
    ) -> bool:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.freeze(blocked)
        if reaches(replica) and not held:
            await asyncio.sleep(0.012)
            return True
        if held:
            await hold()
        return await asyncio.Event().wait()

    async def ask(groups: frozenset[LinkGroup]) -> dict[LinkGroup, str]:
        await asyncio.sleep(_WITNESS_SECONDS)
        return dict.fromkeys(groups & witnessed, 'node-b')

    clock = VirtualClock()
    log = LineLog('node-a', clock, len)
    hub = Hub()
    view = ReplicaView(log, clock, hub, compute_departure_bounds(2, 3))
    for replica in _REPLICAS:
        view.put(replica)
    commands: Any = SimpleNamespace(hold_connection=hold_connection)
    witnesses: Any = SimpleNamespace(ask=ask)
    prober = LinkProber(clock, commands, lambda: 0.5)
    state = LinkState(log, clock, hub, view)
    return make_examiner(state, prober, witnesses, Contacts())


def _examine(
    reaches: Callable[[Replica], bool],
    witnessed: set[LinkGroup],
    blocked: float = 0,
    *,
    held: bool = False,
    again: bool = False,
) -> tuple[frozenset[LinkGroup], float]:
    """Examine the links once; returns the lost groups and the seconds.

    :param again: whether another examination may begin at once.
    """

    async def play() -> None:
        examiner = _make(reaches, witnessed, blocked, held=held)
        started = asyncio.get_running_loop().time()
        assert examiner.begin()
        await examiner.run(started)
        assert examiner.begin() is again
        seconds = asyncio.get_running_loop().time() - started
        results.append((examiner.state.lost.groups, seconds))

    results: list[tuple[frozenset[LinkGroup], float]] = []
    run(play())
    return results[0]


def test_lost_links_are_known_in_time() -> None:
    """Callers are refused for longer than the sum of the terms allows."""
    lost, seconds = _examine(lambda _: False, set(_GROUPS))
    assert lost == set(_GROUPS)
    assert seconds <= MAX_PROBE_SECONDS + _WITNESS_SECONDS


def test_one_zone_is_told_from_the_other() -> None:
    """All links count as lost as those to one availability zone are."""
    lost, _ = _examine(lambda replica: replica.zone == 'a', set(_GROUPS))
    assert lost == {_GROUPS[1]}


def test_replicas_that_nobody_reaches_are_lost() -> None:
    """A zone without power is taken for lost links."""
    lost, _ = _examine(lambda replica: replica.zone == 'a', set())
    assert not lost


def test_late_process_reaches_its_replicas() -> None:
    """A node without processor time takes its own pause for lost links."""
    lost, _ = _examine(lambda _: True, set(_GROUPS), blocked=0.05)
    assert not lost


def test_late_process_finds_its_lost_links() -> None:
    """A node that is short of processor time never finds its lost links."""
    lost, _ = _examine(lambda _: False, set(_GROUPS), blocked=0.05)
    assert lost == set(_GROUPS)


def test_unknown_result_concludes_nothing() -> None:
    """Connections that are held as a probe ends count as lost links.

    The next examination waits as if this one had concluded something.
    """
    lost, _ = _examine(lambda _: True, set(_GROUPS), held=True, again=True)
    assert not lost


def test_crashed_replicas_are_no_lost_links() -> None:
    """The two replicas that are probed first have crashed."""
    lost, _ = _examine(
        lambda replica: not replica.name.endswith(('-0', '-1')), set(_GROUPS)
    )
    assert not lost
