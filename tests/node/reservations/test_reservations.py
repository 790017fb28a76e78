"""Places that nodes reserve from each other."""

import asyncio
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from ryelatch_node.peer_sync import SessionRequest, encode
from ryelatch_node.peer_sync._backoffs import BACKOFF_SECONDS
from ryelatch_node.reservations import BusyReply, GrantReply, RefusalReply
from ryelatch_node.reservations._frames import (
    Begin,
    Enqueue,
    Place,
    Reserve,
    Restore,
    make_terms,
)
from ryelatch_node.reservations._pending_replies import REPLY_SECONDS
from virtual.links import LINK_SECONDS
from virtual.loop import VirtualLoop, run
from virtual.reservations import KEY, PATH, ReservingFleet, make_request

_MARGIN_SECONDS = 10 * LINK_SECONDS
_LOSS_SECONDS = 5
"""Time in which a node that has lost power is known to be lost."""


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _hold(client: Any, identity: str) -> None:
    """Reserve a place and send the request."""
    reply = await client.reserve(KEY, make_request(identity), PATH)
    assert isinstance(reply, GrantReply)
    client.place(identity, KEY.zone, PATH)


def _wait(client: Any, identity: str, wait: float = 4) -> 'asyncio.Task[Any]':
    return asyncio.create_task(
        client.enqueue(KEY, make_request(identity, wait))
    )


def test_one_place_is_granted_once() -> None:
    """Without a common controller, each node would send to the last place."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        _, second, third = fleet.start(3)
        await _hold(second.client, 'r-1')
        request = make_request('r-2')
        reply = await third.client.reserve(KEY, request, PATH)
        assert isinstance(reply, BusyReply)
        waiting = _wait(third.client, 'r-2')
        await asyncio.sleep(0.1)
        assert not waiting.done()
        second.client.release('r-1')
        assert isinstance(await waiting, GrantReply)
        await fleet.stop()

    run(main())


def test_killed_controller_lets_waiters_decide() -> None:
    """The controller is killed while a request waits for it."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second, third = fleet.start(3)
        await _hold(second.client, 'r-1')
        waiting = _wait(third.client, 'r-2')
        await asyncio.sleep(0.1)
        assert first.waiting == 1
        killed = _now()
        await fleet.kill(first)
        assert await waiting is None
        assert _now() - killed <= _MARGIN_SECONDS
        await fleet.stop()

    run(main())


def test_next_controller_learns_the_places() -> None:
    """The controller is killed while it holds places of several nodes."""

    async def main() -> None:
        fleet = ReservingFleet(slots=3)
        first, second, third = fleet.start(3)
        await _hold(second.client, 'r-1')
        await _hold(third.client, 'r-2')
        await fleet.kill(first)
        await asyncio.sleep(_MARGIN_SECONDS)
        await _hold(third.client, 'r-3')
        assert second.reserved == 2
        reply = await second.client.reserve(KEY, make_request('r-4'), PATH)
        assert isinstance(reply, BusyReply)
        assert second.reserved == 3
        third.client.release('r-2')
        await asyncio.sleep(_MARGIN_SECONDS)
        await _hold(second.client, 'r-4')
        await fleet.stop()

    run(main())


def test_request_without_a_controller_is_counted() -> None:
    """No controller replied to a request, which was sent nevertheless."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second, third = fleet.start(3)
        fleet.paused.add(first.name)
        assert await third.client.reserve(KEY, make_request('r-1'), PATH) is (
            None
        )
        third.client.place('r-1', KEY.zone, PATH)
        reply = await third.client.reserve(KEY, make_request('r-2'), PATH)
        assert isinstance(reply, BusyReply)
        assert second.reserved == 1
        await fleet.stop()

    run(main())


def test_paused_controller_is_left_soon() -> None:
    """The controller accepts connections and doesn't reply."""

    async def main() -> None:
        fleet = ReservingFleet()
        first, second, third = fleet.start(3)
        fleet.paused.add(first.name)
        began = _now()
        assert await third.client.reserve(KEY, make_request('r-1'), PATH) is (
            None
        )
        assert _now() - began <= REPLY_SECONDS + _MARGIN_SECONDS
        began = _now()
        await _hold(third.client, 'r-2')
        assert _now() - began <= _MARGIN_SECONDS
        assert second.reserved == 1
        await fleet.stop()

    run(main())


def test_controller_is_used_again_when_it_replies() -> None:
    """After one late reply, a node would keep to a second controller for good.

    Both would then grant the whole room of the zone.
    """

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second, third = fleet.start(3)
        await _hold(second.client, 'r-1')
        fleet.paused.add(first.name)
        await third.client.reserve(KEY, make_request('r-2'), PATH)
        await _hold(third.client, 'r-3')
        fleet.paused.clear()
        await asyncio.sleep(BACKOFF_SECONDS)
        reply = await third.client.reserve(KEY, make_request('r-4'), PATH)
        assert isinstance(reply, BusyReply)
        await asyncio.sleep(2 * REPLY_SECONDS)
        assert first.reserved == 2
        assert second.reserved == 0
        await fleet.stop()

    run(main())


def test_path_in_another_zone_is_reported_there() -> None:
    """A further attempt of a request went through another zone unseen."""

    async def main() -> None:
        fleet = ReservingFleet()
        first, _, third = fleet.start(3)
        await _hold(third.client, 'r-1')
        third.client.place('r-1', 'elsewhere', ('m-elsewhere',))
        await asyncio.sleep(_MARGIN_SECONDS)
        assert first.reserved == 0
        await fleet.stop()

    run(main())


def test_unreachable_controller_is_left_soon() -> None:
    """The VM of the controller is gone, and no connection is established."""

    async def main() -> None:
        fleet = ReservingFleet()
        first, second, third = fleet.start(3)
        fleet.unreachable.add(first.name)
        began = _now()
        await _hold(third.client, 'r-1')
        assert _now() - began <= REPLY_SECONDS + _MARGIN_SECONDS
        assert second.reserved == 1
        await fleet.stop()

    run(main())


def test_without_controller_nodes_decide() -> None:
    """No controller can be reached; later requests don't wait for any."""

    async def main() -> None:
        fleet = ReservingFleet()
        first, second, third, fourth = fleet.start(4)
        fleet.killed.update(node.name for node in (first, second, third))
        client = fourth.client
        assert await client.reserve(KEY, make_request('r-1'), PATH) is None
        began = _now()
        assert await client.reserve(KEY, make_request('r-2'), PATH) is None
        assert await client.enqueue(KEY, make_request('r-3')) is None
        assert _now() == began
        assert fleet.count_lines('controller-lost') == 3
        await fleet.stop()

    run(main())


def test_restarted_controller_takes_over_again() -> None:
    """The controller restarts while its nodes use the next one.

    If they stayed with that one, and new nodes asked the first, two would
    grant the same places for ever.
    """

    async def main() -> None:
        fleet = ReservingFleet(slots=2)
        first, second, third = fleet.start(3)
        await _hold(third.client, 'r-1')
        await fleet.kill(first)
        await asyncio.sleep(_MARGIN_SECONDS)
        await _hold(third.client, 'r-2')
        first = fleet.restart(first)
        await asyncio.sleep(3)
        await third.client.reserve(KEY, make_request('r-3'), PATH)
        await asyncio.sleep(_MARGIN_SECONDS)
        reply = await third.client.reserve(KEY, make_request('r-4'), PATH)
        assert isinstance(reply, BusyReply)
        await asyncio.sleep(2 * REPLY_SECONDS)
        assert first.reserved == 2
        assert second.reserved == 0
        await fleet.stop()

    run(main())


def test_lists_that_differed_agree_again() -> None:
    """A new node is the preferred controller, and others learn of it later."""

    async def main() -> None:
        fleet = ReservingFleet(slots=2)
        first, second, third = fleet.start(3)
        older = [second.name, third.name]
        fleet.update_nodes(older, older)
        await _hold(third.client, 'r-1')
        await _hold(first.client, 'r-2')
        assert (first.reserved, second.reserved) == (1, 1)
        fleet.update_nodes(older, [first.name, *older])
        await third.client.reserve(KEY, make_request('r-3'), PATH)
        third.client.release('r-3')
        await asyncio.sleep(2 * REPLY_SECONDS)
        assert (first.reserved, second.reserved) == (2, 0)
        await fleet.stop()

    run(main())


def test_places_of_a_dead_node_are_free_at_once() -> None:
    """A node dies that holds a place and has a request that waits."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second, third = fleet.start(3)
        await _hold(second.client, 'r-1')
        dying = _wait(second.client, 'r-2')
        waiting = _wait(third.client, 'r-3')
        await asyncio.sleep(0.1)
        dying.cancel()
        killed = _now()
        await fleet.kill(second)
        assert isinstance(await waiting, GrantReply)
        assert _now() - killed <= _MARGIN_SECONDS
        assert first.waiting == 0
        assert first.reserved == 1
        await fleet.stop()

    run(main())


def test_places_of_a_node_without_power_are_freed() -> None:
    """A node loses power, and its place is kept to its request's deadline."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second, third = fleet.start(3)
        await _hold(second.client, 'r-1')
        waiting = _wait(third.client, 'r-2', 8)
        await asyncio.sleep(2)
        fleet.silent.add(second.name)
        lost = _now()
        assert isinstance(await waiting, GrantReply)
        assert _now() - lost <= _LOSS_SECONDS
        assert first.reserved == 1
        assert fleet.count_lines('session-lost') == 1
        await fleet.stop()

    run(main())


@pytest.mark.parametrize('silence', [0.3, 1, 1.3, 2])
def test_silent_node_keeps_its_places(silence: float) -> None:
    """The place of a node that is silent for a moment is given to another."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        second, third = fleet.start(3)[1:]
        await _hold(second.client, 'r-1')
        waiting = _wait(third.client, 'r-2', 10)
        for _ in range(2):
            await asyncio.sleep(1.5)
            fleet.silent.add(second.name)
            await asyncio.sleep(silence)
            fleet.silent.clear()
        await asyncio.sleep(1)
        assert not waiting.done()
        assert fleet.count_lines('session-lost') == 0
        waiting.cancel()
        await fleet.stop()

    run(main())


def test_node_reports_its_places_after_a_silence() -> None:
    """A node was taken for lost, and its requests in progress stay unknown."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second, _ = fleet.start(3)
        await _hold(second.client, 'r-1')
        fleet.silent.add(second.name)
        await asyncio.sleep(_LOSS_SECONDS)
        assert first.reserved == 0
        fleet.silent.clear()
        await asyncio.sleep(_LOSS_SECONDS)
        assert sum(node.reserved for node in fleet.nodes.values()) == 1
        await fleet.stop()

    run(main())


def test_pause_of_a_controller_ends_no_session() -> None:
    """A controller without processor time takes all nodes for lost."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second, _ = fleet.start(3)
        await _hold(second.client, 'r-1')
        await asyncio.sleep(1.5)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.freeze(10)
        await asyncio.sleep(1.5)
        assert first.reserved == 1
        assert fleet.count_lines('session-lost') == 0
        await fleet.stop()

    run(main())


def test_node_without_heartbeats_keeps_its_places() -> None:
    """A node that sends no heartbeats, as in an update, is taken for lost."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second, _ = fleet.start(3)
        _, writer = await second.peer_sync.dial(first.name, 1)
        writer.write(encode(SessionRequest(*KEY)))
        terms = make_terms(make_request('r-1'), _now())
        writer.write(encode(Reserve(1, terms, PATH)))
        await asyncio.sleep(2 * _LOSS_SECONDS)
        assert first.reserved == 1
        await fleet.stop()

    run(main())


def test_cancelled_request_leaves_no_place() -> None:
    """A client leaves while its request waits."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second, third = fleet.start(3)
        await _hold(second.client, 'r-1')
        waiting = _wait(third.client, 'r-2')
        await asyncio.sleep(0.1)
        waiting.cancel()
        await asyncio.sleep(0)
        third.client.release('r-2')
        await asyncio.sleep(_MARGIN_SECONDS)
        assert first.waiting == 0
        second.client.release('r-1')
        await asyncio.sleep(_MARGIN_SECONDS)
        assert first.reserved == 0
        assert not third.client.holds('r-2')
        await fleet.stop()

    run(main())


def test_lost_release_frees_the_place() -> None:
    """A request ends while its controller is lost to its node."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second, third = fleet.start(3)
        await _hold(third.client, 'r-1')
        fleet.paused.add(first.name)
        assert await third.client.enqueue(KEY, make_request('r-2')) is None
        third.client.release('r-1')
        third.client.release('r-2')
        await asyncio.sleep(_MARGIN_SECONDS)
        assert first.reserved == 0
        await _hold(third.client, 'r-3')
        assert second.reserved == 1
        await fleet.stop()

    run(main())


def test_backoff_ends_with_a_reply() -> None:
    """A controller is lost for a moment many times in its life.

    If the backoffs grew each time, it would be left for a minute.
    """

    async def main() -> None:
        fleet = ReservingFleet(slots=9)
        first, _, third = fleet.start(3)
        for number in range(6):
            await _hold(third.client, f'r-{number}')
            third.client.release(f'r-{number}')
            assert fleet.dialled[-1] == first.name
            await first.peer_sync.server.stop()
            await asyncio.sleep(2.1)
        await fleet.stop()

    run(main())


def test_place_asked_for_twice_ends_nothing() -> None:
    """A peer asks for room with the number of a request that waits."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first = fleet.start(1)[0]
        replies: list[Any] = []
        session = first.zone.open(replies.append)
        terms = make_terms(make_request('r'), _now())
        first.zone.handle(session, Reserve(1, terms, PATH))
        first.zone.handle(session, Enqueue(2, terms))
        first.zone.handle(session, Reserve(2, terms, PATH))
        assert isinstance(replies[-1], BusyReply)
        assert first.waiting == 0
        first.zone.close(session)
        await asyncio.sleep(1)
        assert not fleet.count_lines('task-crashed')
        await fleet.stop()

    run(main())


def test_controller_without_list_refuses_nothing() -> None:
    """A controller has just started and has not read the replicas yet."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second = fleet.start(2)
        first.replicas.listed = False
        first.replicas.remove(PATH[0], unanswered=0)
        waiting = _wait(second.client, 'r-1')
        await asyncio.sleep(0.15)
        assert not waiting.done()
        waiting.cancel()
        await fleet.stop()

    run(main())


@pytest.mark.parametrize(
    'frame',
    [
        b'\x00\x00\x00\x01\xc1',
        b'\xff\xff\xff\xff',
        encode(Place(1, ())),
        encode(Place(1, PATH * 10_000)),
        encode(Begin(1, float('inf'), True)),
        encode(Begin(1, 1e300, False)),
    ],
)
def test_nonsense_of_a_node_ends_only_its_session(frame: bytes) -> None:
    """A node sends nonsense; the places of the others stay."""

    async def main() -> None:
        fleet = ReservingFleet(slots=2)
        first, second, third = fleet.start(3)
        await _hold(second.client, 'r-1')
        reader, writer = await third.peer_sync.dial(first.name, 1)
        writer.write(encode(SessionRequest(*KEY)))
        terms = make_terms(make_request('r'), _now())
        writer.write(encode(Restore(1, terms, PATH)))
        await asyncio.sleep(_MARGIN_SECONDS)
        assert first.reserved == 2
        writer.write(encode(Begin(1, 0.1, True)))
        writer.write(frame)
        await asyncio.sleep(_MARGIN_SECONDS)
        assert reader.at_eof()
        assert first.reserved == 1
        await _hold(second.client, 'r-2')
        await fleet.stop()

    run(main())


@pytest.mark.parametrize(
    'reply',
    [
        b'\x00\x00\x00\x01\xc1',
        b'\xff\xff\xff\xff',
        encode(RefusalReply(0, float('inf'))),
        encode(RefusalReply(0, 1e300)),
        msgspec.msgpack.encode('no frame at all'),
    ],
)
def test_nonsense_of_a_controller_is_no_reply(reply: bytes) -> None:
    """A controller sends nonsense; its waiters decide for themselves."""

    async def main() -> None:
        fleet = ReservingFleet()
        first, second, third = fleet.start(3)

        async def serve(_request: Any, _reader: Any, writer: Any) -> None:
            writer.write(reply)
            await asyncio.sleep(1)

        first.peer_sync.server.serve_session = serve
        began = _now()
        assert await third.client.enqueue(KEY, make_request('r-1')) is None
        assert _now() - began <= REPLY_SECONDS + _MARGIN_SECONDS
        await _hold(third.client, 'r-2')
        assert second.reserved == 1
        await fleet.stop()

    run(main())


def test_ended_requests_leave_nothing_behind() -> None:
    """Whatever became of requests, neither side keeps anything of them."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second, third = fleet.start(3)
        await _hold(second.client, 'r-0')
        await third.client.reserve(KEY, make_request('r-1'), PATH)
        tasks = [
            _wait(third.client, f'r-{number}', 0.2) for number in range(2, 20)
        ]
        replies = await asyncio.gather(*tasks)
        assert all(isinstance(reply, RefusalReply) for reply in replies)
        second.client.release('r-0')
        await asyncio.sleep(_MARGIN_SECONDS)
        for client in (second.client, third.client):
            assert not client._held
            assert not client._pending
        assert not first.zone._owners
        assert (first.reserved, first.waiting) == (0, 0)
        await fleet.stop()

    run(main())


def test_huge_request_ends_no_session() -> None:
    """A client announces a prompt of any length; other requests go on."""

    async def main() -> None:
        fleet = ReservingFleet(slots=2)
        first, _, third = fleet.start(3)
        await _hold(third.client, 'r-1')
        huge = replace(make_request('r-2'), tokens=2**63, expires=1e6)
        reply = await third.client.enqueue(KEY, huge)
        assert isinstance(reply, RefusalReply)
        assert first.reserved == 1
        assert not fleet.count_lines('controller-lost')
        await fleet.stop()

    run(main())


def test_waiters_outlast_a_change_of_controllers() -> None:
    """The preferred controller returns while a request waits at the next."""

    async def main() -> None:
        fleet = ReservingFleet(slots=1)
        first, second, third = fleet.start(3)
        older = [second.name, third.name]
        fleet.update_nodes(older, older)
        await _hold(third.client, 'r-1')
        waiting = _wait(third.client, 'r-2')
        await asyncio.sleep(0.1)
        fleet.update_nodes(older, [first.name, *older])
        await third.client.reserve(KEY, make_request('r-3'), PATH)
        await asyncio.sleep(_MARGIN_SECONDS)
        assert first.reserved == 1
        reply = await waiting
        assert reply is not None
        third.client.place('r-2', KEY.zone, PATH)
        await asyncio.sleep(2 * REPLY_SECONDS)
        assert second.reserved == 0
        await fleet.stop()

    run(main())


def test_pause_of_a_node_blames_no_controller() -> None:
    """A node has no processor time while the reply arrives."""

    async def main() -> None:
        fleet = ReservingFleet(slots=2)
        first, _, third = fleet.start(3)
        await _hold(third.client, 'r-1')
        asking = asyncio.create_task(
            third.client.reserve(KEY, make_request('r-2'), PATH)
        )
        await asyncio.sleep(1.5 * LINK_SECONDS)
        assert first.reserved == 2
        loop: Any = asyncio.get_running_loop()
        loop.freeze(2 * REPLY_SECONDS)
        assert isinstance(await asking, GrantReply)
        assert not fleet.count_lines('controller-lost')
        await fleet.stop()

    run(main())
