"""Streams whose first replica was lost, while the node handles the loss."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

import pytest

from fleet.running import (
    RunningNode,
    make_event_stream,
    make_model_replicas,
    open_request,
    run_node,
)
from ryelatch_core.fleet import Replica
from ryelatch_node.relay._stream import FIRST_REPLICA_LOST, LiveStream
from ryelatch_node.relay._watch import GIVE_UP_SECONDS, StreamWatch
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

    async def has_crashed(self, _: Replica) -> bool:
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
    lost.stream.progress -= GIVE_UP_SECONDS + 0.1
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
        await asyncio.sleep(GIVE_UP_SECONDS + 0.3)
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
