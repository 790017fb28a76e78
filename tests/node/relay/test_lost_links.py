"""When a stream leaves a replica that this node alone can't reach."""

import random
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from core_fleet import TYPICAL_MODEL
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import LayerRange, LoadTracker, Replica
from ryelatch_core.kernel import Hub
from ryelatch_core.membership import compute_departure_bounds
from ryelatch_core.retries import RetryBudget, RetryBudgets
from ryelatch_core.routing import Configuration, ServiceConfiguration
from ryelatch_node.relay._lost_links import LEAVE_SECONDS, leaves_lost_links
from ryelatch_node.views import ReplicaView
from standins.links import SoundLinks
from virtual.loop import VirtualClock, run

_SERVICE = 'model'
_LOST_ZONE = 'zone-a'
_MODEL = replace(TYPICAL_MODEL, layers=20)


class _Links(SoundLinks):
    """Links to one zone that are lost.

    :param helps: whether another node is known that serves requests.
    """

    def __init__(self, *, helps: bool) -> None:
        self._helps = helps

    def has_helper(self, _: str) -> bool:
        """Return whether another node is known that serves requests."""
        return self._helps


def _make_replica(zone: str) -> Replica:
    layers = LayerRange(0, _MODEL.layers)
    name = f'm-{zone}'
    return Replica(name, _SERVICE, f'{name}:80', zone, 'a100', layers, 1, 4)


def _make_context(zones: list[str], *, helps: bool) -> Any:
    clock = VirtualClock()
    log = LineLog('node-a', clock, len)
    view = ReplicaView(log, clock, Hub(), compute_departure_bounds(2, 3))
    view.replace(map(_make_replica, zones), unanswered=0)
    view.apply_cut(frozenset(((_SERVICE, _LOST_ZONE),)))
    service = ServiceConfiguration(_SERVICE, '/', 1, _MODEL)
    configuration = Configuration(1, services={_SERVICE: service})
    return SimpleNamespace(
        clock=clock,
        draw=random.Random(1).random,
        links=_Links(helps=helps),
        replicas=view,
        budgets=RetryBudgets(RetryBudget(reserve=10)),
        startup=SimpleNamespace(zone=_LOST_ZONE),
        load=LoadTracker(),
        configuration=SimpleNamespace(
            table=SimpleNamespace(configuration=configuration)
        ),
        reservations=SimpleNamespace(find_load=lambda _: None),
        slow_replicas=SimpleNamespace(
            tracker=SimpleNamespace(list_slow=lambda _: {})
        ),
    )


def _make_stream(unbegun: int = 0) -> Any:
    return SimpleNamespace(
        begun=True,
        first_replica=_make_replica(_LOST_ZONE),
        exchange=SimpleNamespace(ran=1, unbegun=unbegun),
        request=SimpleNamespace(
            service=_SERVICE,
            repeatable=True,
            terms=SimpleNamespace(prompt=100, answer=20, hint=None),
            route=SimpleNamespace(max_attempts=2),
        ),
    )


@pytest.mark.parametrize(
    ('zones', 'helps', 'leaves'),
    [
        ([_LOST_ZONE], False, False),
        ([_LOST_ZONE], True, True),
        ([_LOST_ZONE, 'zone-b'], False, True),
    ],
    ids=['nowhere', 'another node', 'another zone'],
)
def test_stream_leaves_only_for_another_way(
    zones: list[str], helps: bool, leaves: bool
) -> None:
    """A stream is cut off at its only replica, which goes on a second later.

    The replicas of a zone stood still, and a node that had reached them just
    before was believed to reach them still.
    """

    async def play() -> None:
        context = _make_context(zones, helps=helps)
        pause = 2 * LEAVE_SECONDS
        stream = _make_stream()
        assert leaves_lost_links(context, stream, pause, 0) == leaves

    run(play())


def test_stream_with_a_hedge_stays_on_lost_links() -> None:
    """A stream is cut off while its hedge is the last run its route allows."""

    async def play() -> None:
        context = _make_context([_LOST_ZONE], helps=True)
        stream = _make_stream(unbegun=1)
        assert not leaves_lost_links(context, stream, 2 * LEAVE_SECONDS, 0)

    run(play())
