"""Permits that nodes grant each other for a replica in need."""

import asyncio
import math
from collections import Counter

import pytest

from ryelatch_core.membership import NodeEntry
from ryelatch_core.throttle import rank_limiters
from ryelatch_node.peer_sync import PermitRequest
from ryelatch_node.throttle._permit_client import ASK_SECONDS
from virtual.loop import run
from virtual.throttles import REPLICA, ThrottledFleet, make_metadata

_SPAN = 4.0


def _name_nodes(count: int) -> list[str]:
    return [f'node-{number:04}' for number in range(count)]


def _allow(limit: float) -> float:
    return 1.5 * limit * _SPAN + 5


def _rank(names: list[str]) -> list[str]:
    nodes = [NodeEntry(name, 'zone-a', f'{name}:1') for name in names]
    return [node.name for node in rank_limiters(REPLICA.name, nodes)]


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _tell_all(fleet: ThrottledFleet) -> None:
    """Let each node hear the limit once."""
    for throttle in fleet.nodes.values():
        throttle.record_answer(REPLICA, make_metadata(fleet.limit))


@pytest.mark.parametrize('limit', [0, 0.5, 1, 4.2, 40])
@pytest.mark.parametrize('nodes', [1, 8, 60, 1400])
def test_limit_holds_at_any_size(limit: float, nodes: int) -> None:
    """The more nodes there are, the more a replica in need gets."""

    async def main() -> None:
        fleet = ThrottledFleet(limit)
        names = _name_nodes(nodes)
        fleet.start(names)
        await _tell_all(fleet)
        await fleet.send_in_turn(names, 12, gap=0.002)
        assert fleet.count_max(0, _SPAN) <= _allow(limit)
        assert len(fleet.sent) >= 0.6 * limit * 12
        assert fleet.sent
        await fleet.stop()

    run(main())


def test_limit_holds_while_lists_of_nodes_differ() -> None:
    """A node that has just come grants beside the one that granted before."""

    async def main() -> None:
        fleet = ThrottledFleet(4.2)
        names = _name_nodes(8)
        fleet.start(names)
        first = _rank(names)[0]
        older = [name for name in names if name != first]
        fleet.update_nodes(older[:4], older)
        await _tell_all(fleet)
        await fleet.send_in_turn(names, 12, gap=0.005)
        assert fleet.count_max(0, _SPAN) <= _allow(4.2)
        await fleet.stop()

    run(main())


def test_limit_holds_while_the_limiter_is_lost() -> None:
    """Each node that finds the limiter gone grants for itself."""

    async def main() -> None:
        fleet = ThrottledFleet(4.2)
        names = _name_nodes(8)
        fleet.start(names)
        await _tell_all(fleet)
        first = _rank(names)[0]
        living = [name for name in names if name != first]
        await fleet.send_in_turn(names, 6, gap=0.005)
        fleet.unreachable.add(first)
        for throttle in fleet.nodes.values():
            throttle.lines.stop()
        lost = _now()
        await fleet.send_in_turn(living, 10, gap=0.005)
        assert fleet.count_max(0, _SPAN) <= _allow(4.2)
        after = [at for at, _ in fleet.sent if at > lost + 2]
        assert len(after) >= 0.6 * 4.2 * 8
        await fleet.stop()

    run(main())


def test_question_without_reply_is_short() -> None:
    """Each request waits for nodes that are gone, and none finds the next."""

    async def main() -> None:
        fleet = ThrottledFleet(4.2)
        names = _name_nodes(8)
        fleet.start(names)
        await _tell_all(fleet)
        ranked = _rank(names)
        fleet.unreachable.update(ranked[:2])
        asker = fleet.nodes[ranked[5]]
        began = _now()
        assert not await asker.acquire_permit(REPLICA)
        assert _now() - began <= 2 * ASK_SECONDS + 0.01
        began = _now()
        assert await asker.acquire_permit(REPLICA)
        assert _now() - began < ASK_SECONDS / 2
        await fleet.stop()

    run(main())


def test_end_of_a_limit_is_soon_known_to_all() -> None:
    """Nodes hold back from a replica that is well, each until it has tried."""

    async def main() -> None:
        fleet = ThrottledFleet(1)
        names = _name_nodes(60)
        fleet.start(names)
        await _tell_all(fleet)
        await fleet.send_in_turn(names, 5, gap=0.01)
        fleet.limit = None
        await fleet.send_in_turn(names, 3, gap=0.01)
        limited = [
            name
            for name, throttle in fleet.nodes.items()
            if throttle.is_limited(REPLICA.name)
        ]
        assert not limited
        await fleet.stop()

    run(main())


def test_outdated_report_does_not_restore_a_limit() -> None:
    """A peer that heard of a limit before its end limits the others anew."""

    async def main() -> None:
        fleet = ThrottledFleet(4.2)
        names = _name_nodes(2)
        fleet.start(names)
        limiter = fleet.nodes[_rank(names)[0]]
        limiter.record_answer(REPLICA, make_metadata(4.2))
        await asyncio.sleep(1)
        limiter.record_answer(REPLICA, make_metadata(None))
        await asyncio.sleep(1)
        reply = limiter.limiter.answer(PermitRequest(REPLICA.name, 4.2, 1.5))
        assert reply.granted
        assert reply.limit is None
        assert not limiter.is_limited(REPLICA.name)
        await fleet.stop()

    run(main())


def test_nonsense_of_a_peer_limits_nothing() -> None:
    """A peer out of its mind makes a node leave a sound replica."""

    async def main() -> None:
        fleet = ThrottledFleet(4.2)
        fleet.start(_name_nodes(2))
        node = fleet.nodes['node-0000']
        node.limiter.answer(PermitRequest(REPLICA.name, math.nan, 0))
        node.limiter.answer(PermitRequest(REPLICA.name, math.inf, 0))
        assert not node.is_limited(REPLICA.name)
        await fleet.stop()

    run(main())


def test_limiter_counts_without_listed_replica() -> None:
    """A node that hears of a replica late grants anew each half second."""

    async def main() -> None:
        fleet = ThrottledFleet(0)
        names = _name_nodes(8)
        fleet.start(names)
        await _tell_all(fleet)
        limiter = fleet.nodes[_rank(names)[0]]
        for _ in range(24):
            await fleet.send_in_turn(names, 0.5, gap=0.01)
            limiter.keep(())
        assert fleet.count_max(0, _SPAN) <= _allow(0)
        await fleet.stop()

    run(main())


def test_unsigned_refusal_ends_no_limit() -> None:
    """A replica in need refuses one request, and all nodes send as before."""

    async def main() -> None:
        fleet = ThrottledFleet(4.2)
        fleet.start(_name_nodes(2))
        node = fleet.nodes['node-0000']
        node.record_answer(REPLICA, make_metadata(4.2))
        await asyncio.sleep(1)
        node.record_answer(REPLICA, make_metadata(None, signed=False))
        assert node.is_limited(REPLICA.name)
        node.record_answer(REPLICA, make_metadata(None))
        assert not node.is_limited(REPLICA.name)
        await fleet.stop()

    run(main())


def test_vms_gone_for_good_grant_nothing() -> None:
    """The first two nodes that would grant were removed; nobody may send."""

    async def main() -> None:
        fleet = ThrottledFleet(4.2)
        names = _name_nodes(8)
        fleet.start(names)
        await _tell_all(fleet)
        gone = _rank(names)[:2]
        fleet.unreachable.update(gone)
        living = [name for name in names if name not in gone]
        await fleet.send_in_turn(living, 30, gap=0.01)
        assert len(fleet.sent) >= 0.5 * 4.2 * 30
        asked = [line for line in fleet.lines if line['name'] == 'limiter-left']
        assert len(asked) <= len(living) * len(gone) * 5
        await fleet.stop()

    run(main())


def test_burst_at_one_node_blames_no_limiter() -> None:
    """Those who wait for others' questions take the limiter for silent."""

    async def main() -> None:
        fleet = ThrottledFleet(4.2)
        names = _name_nodes(8)
        fleet.start(names)
        await _tell_all(fleet)
        asker = fleet.nodes[_rank(names)[3]]
        granted = await asyncio.gather(
            *(asker.acquire_permit(REPLICA) for _ in range(100))
        )
        assert 1 <= sum(granted) <= 4
        assert not any(line['name'] == 'limiter-left' for line in fleet.lines)
        await fleet.stop()

    run(main())


def test_limiters_differ_by_replica() -> None:
    """One node is asked about all replicas in need."""
    nodes = [NodeEntry(name, 'zone-a', f'{name}:1') for name in _name_nodes(8)]
    chosen = Counter(
        rank_limiters(f'b-{number}', nodes)[0].name for number in range(80)
    )
    assert len(chosen) == 8
