"""Replicas that other nodes reach, but not this one."""

from ryelatch_core.events import LineLog
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Hub
from ryelatch_core.membership import compute_departure_bounds
from ryelatch_node.views import ReplicaView
from virtual.loop import VirtualClock, run

_NEAR = Replica('m-0', 'model', 'm-0:1', 'a')
_FAR = Replica('m-1', 'model', 'm-1:1', 'b')
_GROUP = frozenset((('model', 'a'),))


def _make_view() -> ReplicaView:
    clock = VirtualClock()
    log = LineLog('node-a', clock, len)
    view = ReplicaView(log, clock, Hub(), compute_departure_bounds(2, 3))
    view.put(_NEAR)
    view.put(_FAR)
    return view


async def _play() -> None:
    view = _make_view()
    view.suspect(_NEAR, 'no report', full=False)
    view.apply_cut(_GROUP)
    assert view.list_suspects() == {'m-0'}
    assert not view.list_unreachable()
    view.suspect(_NEAR, 'links lost', full=False)
    assert not view.list_unreachable()
    view.suspect(_FAR, 'no report', full=False)
    view.apply_cut(frozenset())
    assert view.list_suspects() == {'m-1'}


def test_lost_links_leave_no_suspicion() -> None:
    """Clients come back to few replicas when the links are regained."""
    run(_play())
