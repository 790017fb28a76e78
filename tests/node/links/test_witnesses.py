"""When other nodes say what they reach, in virtual time."""

import asyncio
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from ryelatch_core.events import LineLog
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Hub
from ryelatch_core.links import Contacts, LinkGroup
from ryelatch_core.membership import NodeEntry, compute_departure_bounds
from ryelatch_node.links._examination import Examiner, make_examiner
from ryelatch_node.links._known_helpers import Helpers
from ryelatch_node.links._prober import LinkProber
from ryelatch_node.links._state import LinkState
from ryelatch_node.links._witnesses import Witnesses
from ryelatch_node.peer_sync import ReachReply
from ryelatch_node.tasks import Tasks
from ryelatch_node.views import ReplicaView
from virtual.loop import VirtualClock, run

_GROUP = LinkGroup('model', 'a')
_REPLICAS = [
    Replica(f'm-{number}', 'model', f'm-{number}:1', 'a') for number in range(2)
]
_LATE_SECONDS = 0.6
"""Time from which a node that is short of processor time replies."""

_BOUND_SECONDS = 0.2
"""Time after that reply in which the links count as lost."""


def _make(reply_seconds: float) -> Examiner:
    """Make an examiner that reaches nothing, beside a node that does.

    :param reply_seconds: time after which that node replies.
    """

    async def send_request(_: msgspec.Struct) -> bytes:
        await asyncio.sleep(reply_seconds)
        return msgspec.msgpack.encode(ReachReply((_GROUP,), 8))

    async def connect_as_node(_: str) -> Any:
        return SimpleNamespace(send_request=send_request, drop=lambda: None)

    async def hold_connection(*_: Any) -> bool:
        return await asyncio.Event().wait()

    clock = VirtualClock()
    log = LineLog('node-a', clock, len)
    hub = Hub()
    view = ReplicaView(log, clock, hub, compute_departure_bounds(2, 3))
    for replica in _REPLICAS:
        view.put(replica)
    peer_sync: Any = SimpleNamespace(
        startup=SimpleNamespace(name='node-a', zone='a'),
        nodes=[NodeEntry('node-b', 'a', 'node-b:1')],
        connect_as_node=connect_as_node,
    )
    commands: Any = SimpleNamespace(hold_connection=hold_connection)
    helpers = Helpers(clock, 'a')
    tasks = Tasks(log, 'links')
    witnesses = Witnesses(clock, peer_sync, lambda: 0.5, tasks, helpers)
    prober = LinkProber(clock, commands, lambda: 0.5)
    state = LinkState(log, clock, hub, view)
    return make_examiner(state, prober, witnesses, Contacts())


async def _examine(examiner: Examiner) -> None:
    assert examiner.begin()
    await examiner.run(asyncio.get_running_loop().time())


@pytest.mark.parametrize('reply_seconds', [0, _LATE_SECONDS])
def test_late_reply_counts(reply_seconds: float) -> None:
    """Lost links aren't noticed as the node that reaches replicas is late."""

    async def play() -> None:
        examiner = _make(reply_seconds)
        await _examine(examiner)
        await asyncio.sleep(reply_seconds + _BOUND_SECONDS)
        assert examiner.state.lost.groups == {_GROUP}

    run(play())


def test_late_reply_about_reached_group() -> None:
    """Links that were lost for a moment count as lost for longer."""

    async def play() -> None:
        examiner = _make(_LATE_SECONDS)
        await _examine(examiner)
        now = asyncio.get_running_loop().time()
        examiner.contacts.record_reached(_REPLICAS[0].address, now)
        await asyncio.sleep(_LATE_SECONDS + _BOUND_SECONDS)
        assert not examiner.state.lost.groups

    run(play())
