"""Streams whose first replica was lost, while the node handles the loss."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field, replace

import aiohttp
import pytest

from fleet.running import (
    MODEL_SERVICE,
    RunningNode,
    ask,
    make_event_stream,
    make_model_replicas,
    open_request,
    run_node,
    wait_until,
)
from ryelatch_core.fleet import Replica
from ryelatch_node.ports import Reachability
from ryelatch_node.relay._stream import FIRST_REPLICA_LOST, LiveStream
from ryelatch_node.relay._watch import HEDGE_SECONDS, StreamWatch
from standins.replica import ReplicaStandIn


@dataclass(eq=False)
class _LostStream:
    """A stream whose first replica has crashed.

    :param checked: set when the check of the replica's address is called.
    :param release: lets that check return.
    """

    node: RunningNode
    watch: StreamWatch
    stream: LiveStream
    checked: asyncio.Event = field(default_factory=asyncio.Event)
    release: asyncio.Event = field(default_factory=asyncio.Event)

    async def has_crashed(self, _: Replica, **_options: bool) -> bool:
        """Replace the check of the replica's address by one held open."""
        self.checked.set()
        await self.release.wait()
        return True


def _find_streaming(node: RunningNode) -> ReplicaStandIn:
    return next(
        replica for replica in node.replicas.values() if replica.streams
    )


@contextlib.asynccontextmanager
async def _lose_stream() -> AsyncIterator[_LostStream]:
    """Crash the first replica of a stream, and hold its check open.

    The client gets the rest of its answer at the end.
    """
    replicas = make_model_replicas((0, 8), (0, 8))
    for replica in replicas:
        replica.pause = 0.1
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        received = await response.content.readuntil(b'token 1\n\n')
        watch = node.app.find('streams', StreamWatch)
        stream = next(iter(watch.streams))
        lost = _LostStream(node, watch, stream)
        checks = watch.context.crash_checks
        checks.has_crashed = lost.has_crashed  # type: ignore[method-assign]
        await _find_streaming(node).crash()
        async with asyncio.timeout(5):
            await lost.checked.wait()
        yield lost
        lost.release.set()
        assert received + await response.read() == make_event_stream(5)
        assert not node.count('task-crashed')


async def _interrupt_as_silent(lost: _LostStream) -> None:
    lost.stream.interrupt('silent')


async def _interrupt_as_lost(lost: _LostStream) -> None:
    lost.stream.interrupt(FIRST_REPLICA_LOST)


async def _check_all_streams(lost: _LostStream) -> None:
    lost.stream.progress -= HEDGE_SECONDS + 0.1
    lost.watch._check_streams()


async def _request_missing_report(lost: _LostStream) -> None:
    await lost.watch._evaluate_report(lost.stream.first_replica)


async def _move_off_first_replica(lost: _LostStream) -> None:
    lost.watch.context.replicas.suspect(
        lost.stream.first_replica, 'ended', full=False
    )
    await lost.watch._move_off_unreachable(lost.stream, 0.2)


@pytest.mark.parametrize(
    'interrupt',
    [
        _interrupt_as_silent,
        _interrupt_as_lost,
        _check_all_streams,
        _request_missing_report,
        _move_off_first_replica,
    ],
)
async def test_lost_stream_is_not_interrupted(
    interrupt: Callable[[_LostStream], Awaitable[None]],
) -> None:
    """The watch crashes on a stream whose loss is being handled."""
    async with _lose_stream() as lost:
        await interrupt(lost)
        assert not lost.stream.reason


async def test_lost_stream_does_not_stop_the_watch() -> None:
    """The watch of all streams stops while the check of one replica is slow."""
    async with _lose_stream() as lost:
        await asyncio.sleep(HEDGE_SECONDS + 0.3)
        assert not lost.node.count('task-crashed')


async def test_lost_stream_is_not_in_progress() -> None:
    """A lost stream takes up capacity while its loss is being handled."""
    async with _lose_stream() as lost:
        context = lost.watch.context
        assert lost.stream.finished
        assert not lost.watch.streams
        assert not context.windows.requests
        assert not any(context.load.requests.values())
        assert not context.accounts._requests


@pytest.fixture
def _harmless(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let streams have run too long for a crash from their first event on."""
    monkeypatch.setattr('ryelatch_node.relay._stream.CRASH_WINDOW_SECONDS', 0)


@pytest.mark.usefixtures('_harmless')
async def test_stream_that_ran_long_is_resumed_at_once() -> None:
    """A stream that can't be the cause of a crash waits for its check."""
    replicas = make_model_replicas((0, 8), (0, 8))
    async with run_node(replicas) as node:
        context = node.app.find('streams', StreamWatch).context
        reached, answered = asyncio.Event(), asyncio.Event()

        async def reach(_: Replica) -> Reachability:
            reached.set()
            await answered.wait()
            return Reachability.REFUSED

        context.crash_checks.commands = replace(context.commands, reach=reach)
        for replica in replicas:
            replica.pause = 0.1
        async with open_request(node, '/plan/x') as response:
            received = await response.content.readuntil(b'token 1\n\n')
            lost = _find_streaming(node)
            await lost.crash()
            assert received + await response.read() == make_event_stream(5)
        assert reached.is_set()
        answered.set()
        await wait_until(
            lambda: lost.name in context.replicas.list_unreachable()
        )


@pytest.mark.usefixtures('_harmless')
async def test_reset_at_the_only_replica_breaks_nothing() -> None:
    """A stream breaks as the check of the only replica is in progress."""
    replicas = make_model_replicas((0, 8))
    replicas[0].break_after = 2
    async with run_node(replicas) as node:
        status, body, _ = await ask(node, '/plan/x')
    assert (status, body) == (200, make_event_stream(5))


@pytest.mark.usefixtures('_harmless')
async def test_crashed_replica_is_sent_no_stream_again() -> None:
    """A retry is spent on the only replica though its check would end it."""
    async with run_node(make_model_replicas((0, 8))) as node:
        node.replicas['m-0'].pause = 0.1
        async with open_request(node, '/plan/x') as response:
            await response.content.readuntil(b'token 1\n\n')
            await node.replicas['m-0'].crash()
            with pytest.raises(aiohttp.ClientError):
                await response.read()
        await wait_until(lambda: node.count('exchange-broken'))
        assert not node.count('stream-resumed')


async def test_broken_stream_names_the_obstacle() -> None:
    """An operator can't tell why a stream was not resumed."""
    async with run_node(make_model_replicas((0, 8))) as node:
        node.replicas['m-0'].pause = 0.1
        budgets = node.app.find('streams', StreamWatch).context.budgets
        budget = budgets.get(MODEL_SERVICE)
        async with open_request(node, '/plan/x') as response:
            await response.content.readuntil(b'token 1\n\n')
            while budget.spend():
                """Use up the retry budget."""
            await node.replicas['m-0'].crash()
            with pytest.raises(aiohttp.ClientError):
                await response.read()
        await wait_until(lambda: node.count('exchange-broken'))
        assert node.find('exchange-broken')['obstacle'] == 'retry budget'


async def test_resets_at_sound_replicas_count() -> None:
    """A stream runs at more replicas than its route allows after resets."""
    replicas = make_model_replicas((0, 8), (0, 8), (0, 8))
    for replica in replicas:
        replica.break_after = 2
    async with run_node(replicas) as node:
        status, body, _ = await ask(node, '/plan/x')
    assert (status, body) == (200, make_event_stream(5))
    assert sum(bool(replica.runs) for replica in replicas) == 2


async def test_runs_with_unusable_answers_count() -> None:
    """A stream runs at too many replicas after answers that can't be used."""
    replicas = make_model_replicas((0, 8), (0, 8), (0, 8))
    for replica in replicas:
        replica.other_identity = True
    async with run_node(replicas) as node:
        status, _, _ = await ask(node, '/plan/x')
    assert status == 502
    assert sum(len(replica.runs) for replica in replicas) == 2


@pytest.mark.usefixtures('_harmless')
async def test_ended_replicas_leave_the_attempts() -> None:
    """A stream is given up after two crashes beside a sound replica."""
    replicas = make_model_replicas((0, 8), (0, 8), (0, 8))
    for replica in replicas:
        replica.pause = 0.1
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        received = await response.content.readuntil(b'token 1\n\n')
        await _find_streaming(node).crash()
        received += await response.content.readuntil(b'token 2\n\n')
        await _find_streaming(node).crash()
        assert received + await response.read() == make_event_stream(5)


async def _collect(
    response: aiohttp.ClientResponse, pieces: list[bytes]
) -> None:
    """Collect what arrives of an answer, until it ends or is cut off."""
    async for piece in response.content.iter_any():
        pieces.append(piece)


async def test_stream_without_event_ids_is_not_repeated() -> None:
    """A client gets the first events twice, as another run begins anew."""
    replicas = make_model_replicas((0, 8), (0, 8))
    for replica in replicas:
        replica.unnumbered_path = '/plan/'
        replica.break_after = 2
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        pieces: list[bytes] = []
        with pytest.raises(aiohttp.ClientPayloadError):
            await _collect(response, pieces)
        assert b''.join(pieces) == make_event_stream(2, numbered=False)
        assert sum(len(replica.runs) for replica in replicas) == 1
        ended = node.find('exchange-broken')
        assert ended['obstacle'] == 'no event IDs'
