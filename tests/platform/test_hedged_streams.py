"""Streams that run at two first replicas, of which one was silent."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace
from typing import Any

import aiohttp
import pytest
from starlette.types import Message

from fleet.running import (
    RunningNode,
    ask,
    make_configuration,
    make_event_stream,
    make_model_replicas,
    open_request,
    run_node,
    wait_until,
)
from ryelatch_core.quarantine import RequestPhase
from ryelatch_node.ports import CommandResult, MoveResult
from ryelatch_node.relay import _hedging
from ryelatch_node.relay._hedges import MAX_SENDS
from ryelatch_node.relay._stream import LiveStream
from ryelatch_node.relay._watch import HEDGE_SECONDS, StreamWatch
from standins.replica import ReplicaStandIn

_SENT_EVENTS = 2


@dataclass(eq=False)
class _HeldMigrator:
    """Moves streams with a command that takes long, and is refused."""

    released: asyncio.Event = field(default_factory=asyncio.Event)

    async def move(self, *_: Any, **_options: Any) -> CommandResult:
        """Wait for the reply to the command."""
        await self.released.wait()
        return CommandResult.REFUSED


def _make_replicas(count: int) -> list[ReplicaStandIn]:
    return make_model_replicas(*((0, 8) for _ in range(count)))


@contextlib.asynccontextmanager
async def _hedge_stream(
    replicas: list[ReplicaStandIn],
) -> AsyncIterator[tuple[RunningNode, aiohttp.ClientResponse]]:
    """Let the first run of a stream fall silent until it is hedged."""
    for replica in replicas:
        replica.stall_after = _SENT_EVENTS
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        await response.content.readuntil(b'token 2\n\n')
        await wait_until(lambda: len(_list_runs(node)) == 2)
        yield node, response


def _list_runs(node: RunningNode) -> list[str]:
    return [
        name for name, replica in node.replicas.items() for _ in replica.runs
    ]


def _find_first(node: RunningNode) -> ReplicaStandIn:
    return node.replicas[node.find('exchange-sent')['path'][0][0]]


def _find_second(node: RunningNode) -> ReplicaStandIn:
    return node.replicas[node.find('stream-resumed')['path'][0][0]]


def _record_places(node: RunningNode) -> list[tuple[str, ...]]:
    """Record the paths that are reported for places from now on."""
    placed: list[tuple[str, ...]] = []
    client = node.app.find('streams', StreamWatch).context.reservations.client

    def place(_identity: str, _zone: str, path: tuple[str, ...]) -> None:
        placed.append(path)

    client.place = place  # type: ignore[method-assign]
    return placed


async def test_silent_run_goes_on_beside_its_hedge() -> None:
    """A stream is cut off at a replica that goes on a moment later."""
    async with _hedge_stream(_make_replicas(2)) as (node, response):
        _find_first(node).resume()
        rest = await response.read()
        assert make_event_stream(5).endswith(rest)
        second = _find_second(node)
        await wait_until(lambda: second.runs[0].cancelled)
        assert not _find_first(node).runs[0].cancelled
        assert node.find('run-overtaken')['replica'] == second.name


async def test_hedge_continues_after_the_last_event() -> None:
    """A hedge repeats or skips events, or both of its runs deliver."""
    replicas = _make_replicas(2)
    async with _hedge_stream(replicas) as (node, response):
        first, second = _find_first(node), _find_second(node)
        second.resume()
        rest = await response.read()
        assert rest == make_event_stream(5).partition(b'token 2\n\n')[2]
        await wait_until(lambda: first.runs[0].cancelled)
        assert second.runs[0].headers['Last-Event-Id'] == '2'
        assert node.find('run-overtaken')['replica'] == first.name


async def test_place_returns_to_a_run_that_went_on() -> None:
    """A place stays on the path of a hedge that was overtaken."""
    async with _hedge_stream(_make_replicas(2)) as (node, response):
        placed = _record_places(node)
        _find_first(node).resume()
        await response.read()
        assert placed == [(_find_first(node).name,)]


async def test_place_stays_with_a_hedge_that_delivers() -> None:
    """A place returns to the path of a run that was overtaken."""
    async with _hedge_stream(_make_replicas(2)) as (node, response):
        placed = _record_places(node)
        _find_second(node).resume()
        await response.read()
        assert not placed


async def test_place_returns_from_a_hedge_that_failed() -> None:
    """A place counts at a replica that has refused the hedge."""
    replicas = _make_replicas(2)
    async with run_node(replicas) as node:
        placed = _record_places(node)
        async with open_request(node, '/plan/x') as response:
            await wait_until(lambda: node.count('exchange-sent'))
            first = _find_first(node)
            for replica in node.replicas.values():
                replica.refuse = 0 if replica is first else 503
                replica.stall_after = _SENT_EVENTS
            await wait_until(lambda: len(placed) > 2)
            second = next(name for name in node.replicas if name != first.name)
            assert placed[:3] == [(first.name,), (second,), (first.name,)]
            first.resume()
            await response.read()


async def test_refused_hedge_leaves_the_run() -> None:
    """A stream ends with a hedge that finds no room."""
    replicas = _make_replicas(2)
    async with run_node(replicas) as node:
        async with open_request(node, '/plan/x') as response:
            await wait_until(lambda: node.count('exchange-sent'))
            first = _find_first(node)
            for replica in node.replicas.values():
                replica.refuse = 0 if replica is first else 503
                replica.stall_after = _SENT_EVENTS
            await wait_until(lambda: node.count('stream-resumed'))
            first.resume()
            assert await response.read() == make_event_stream(5)
        assert _list_runs(node) == [first.name]


async def test_error_of_a_hedge_leaves_the_run() -> None:
    """A stream is cut off as its hedge is answered with an error."""
    async with run_node(_make_replicas(2)) as node:
        async with open_request(node, '/plan/x') as response:
            await wait_until(lambda: node.count('exchange-sent'))
            first = _find_first(node)
            for replica in node.replicas.values():
                replica.fail = 0 if replica is first else 404
                replica.stall_after = _SENT_EVENTS
            await wait_until(lambda: node.count('exchange-failed'))
            first.resume()
            assert await response.read() == make_event_stream(5)
        assert len(_list_runs(node)) == 2


async def test_client_that_reads_slowly_is_no_silence() -> None:
    """A stream lacks the event that waited for its client to read."""
    replicas = _make_replicas(2)
    for replica in replicas:
        replica.pause = 0.1
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        received = await response.content.readuntil(b'token 1\n\n')
        streams = node.app.find('streams', StreamWatch).streams
        exchange = next(iter(streams)).exchange
        send, reads = exchange.send, asyncio.Event()

        async def send_once_read(message: Message) -> None:
            await reads.wait()
            await send(message)

        exchange.send = send_once_read
        await asyncio.sleep(2 * HEDGE_SECONDS)
        reads.set()
        assert received + await response.read() == make_event_stream(5)
        assert not node.count('stream-hedged')


async def test_run_that_went_on_has_no_hedge() -> None:
    """A second run begins beside one that went on just after it was silent."""
    replicas = _make_replicas(2)
    for replica in replicas:
        replica.pause = 0.1
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        await response.content.readuntil(b'token 1\n\n')
        stream = next(iter(node.app.find('streams', StreamWatch).streams))
        relaying = stream.start_hedge.args[0]
        stream.hedge('silent', 0)
        assert relaying.progress.runs.claim(stream)
        assert make_event_stream(5).endswith(await response.read())
        assert len(_list_runs(node)) == 1


async def test_refused_request_has_no_hedge() -> None:
    """A request runs after it was refused, as its move is answered only then.

    Its replica refused it while the command to move it was in transit.
    """
    replicas = make_model_replicas((0, 4), (4, 8), (4, 8), (0, 8))
    refusing, whole = replicas[0], replicas.pop()
    async with run_node(replicas) as node:
        context = node.app.find('streams', StreamWatch).context
        commanded, answered = asyncio.Event(), asyncio.Event()

        async def move(*_: Any) -> MoveResult:
            commanded.set()
            await answered.wait()
            return MoveResult(CommandResult.UNANSWERED)

        async def ask() -> int:
            async with open_request(node, '/plan/x') as response:
                return response.status

        context.commands = replace(context.commands, move=move)
        refusing.refuse = 503
        refusing.stand_still()
        asking = asyncio.create_task(ask())
        await wait_until(lambda: node.count('exchange-sent'))
        later = node.find('exchange-sent')['path'][1][0]
        lost = context.replicas.replicas[later]
        context.replicas.suspect(lost, 'lost', full=False)
        await commanded.wait()
        refusing.go_on()
        assert await asking == 503
        await node.add(whole)
        await wait_until(lambda: whole.name in context.replicas.replicas)
        answered.set()
        await wait_until(lambda: node.count('stream-moved'))
        await asyncio.sleep(0.1)
        runs = _list_runs(node)
        assert not runs


async def test_lost_run_waits_for_its_hedge() -> None:
    """A stream ends as its first run breaks while a hedge is in progress."""
    async with _hedge_stream(_make_replicas(2)) as (node, response):
        await _find_first(node).crash()
        await wait_until(lambda: node.count('exchange-failed'))
        _find_second(node).resume()
        rest = await response.read()
        assert make_event_stream(5).endswith(rest)
        assert len(_list_runs(node)) == 2


async def test_client_that_leaves_ends_both_runs() -> None:
    """A hedge goes on after its client has left."""
    async with _hedge_stream(_make_replicas(2)) as (node, response):
        response.close()
        runs = [replica.runs[0] for replica in node.replicas.values()]
        await wait_until(lambda: all(run.cancelled for run in runs))
        streams = node.app.find('streams', StreamWatch)
        await wait_until(lambda: not streams.streams)
        assert not any(streams.context.load.requests.values())
        assert not streams.context.windows.requests


@contextlib.asynccontextmanager
async def _stand_still() -> AsyncIterator[
    tuple[RunningNode, aiohttp.ClientResponse]
]:
    """Let all replicas stand still until a stream is at two of them."""
    replicas = _make_replicas(2)
    for replica in replicas:
        replica.pause = 0.1
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        await response.content.readuntil(b'token 2\n\n')
        for replica in replicas:
            replica.stand_still()
        await wait_until(lambda: len(_list_runs(node)) == 2)
        yield node, response


@pytest.mark.parametrize('goes_on', [_find_first, _find_second])
async def test_overtaken_run_leaves_nothing_behind(
    goes_on: Callable[[RunningNode], ReplicaStandIn],
) -> None:
    """A wrong guess costs more than the retry and the attempt of a run."""
    async with _stand_still() as (node, response):
        watch = node.app.find('streams', StreamWatch)
        context, streams = watch.context, watch.streams
        exchange = next(iter(streams)).exchange
        assert set(context.windows.requests) == set(node.replicas)
        await wait_until(lambda: node.count('stream-stalled') == 2)
        assert context.replicas.list_suspects()
        goes_on(node).go_on()
        received = await response.content.readuntil(b'token 3\n\n')
        assert goes_on(node).name not in context.replicas.list_suspects()
        received += await response.read()
        assert make_event_stream(5).endswith(received)
        assert (exchange.ran, exchange.unbegun, exchange.sends) == (2, 0, 2)
        await wait_until(lambda: not streams)
        assert not context.windows.requests
        assert not any(context.load.requests.values())
        assert not any(context.load.tokens.values())
        assert not context.accounts._requests
        assert not exchange.cut
        assert not context.crash_checks.pending
        assert not context.quarantine.count_suspects()
        limits = map(context.windows.read_limit, node.replicas)
        assert set(limits) == {math.inf}
        assert node.count('run-overtaken') == 1
        assert not node.count('exchange-failed')


@pytest.mark.parametrize('goes_on', [_find_first, _find_second])
async def test_stream_is_silent_again_and_again(
    goes_on: Callable[[RunningNode], ReplicaStandIn],
) -> None:
    """A stream is cut off in a later silence, or both of its runs deliver."""
    async with _stand_still() as (node, response):
        replica, received = goes_on(node), b''
        other = next(
            each for each in node.replicas.values() if each is not replica
        )

        def is_overtaken() -> bool:
            return other.runs[0].cancelled

        for number in (3, 4):
            replica.go_on()
            event = f'token {number}\n\n'.encode()
            received += await response.content.readuntil(event)
            replica.stand_still()
            await wait_until(is_overtaken)
            other.go_on()
            await asyncio.sleep(1.5)
        replica.go_on()
        received += await response.read()
        assert make_event_stream(5).endswith(received)
        assert len(_list_runs(node)) == 2


@pytest.mark.parametrize('count', [1, 3])
@pytest.mark.parametrize('seconds', [0.3, 1, 1.3, 2])
async def test_silence_of_a_service_is_survived(
    seconds: float, count: int
) -> None:
    """A stream is cut off as all replicas stand still for some time."""
    replicas = _make_replicas(count)
    for replica in replicas:
        replica.pause = 0.1
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        received = await response.content.readuntil(b'token 2\n\n')
        for replica in replicas:
            replica.stand_still(splits=True)
        await asyncio.sleep(seconds)
        for replica in replicas:
            replica.go_on()
        assert received + await response.read() == make_event_stream(5)
        assert len(_list_runs(node)) <= 2


async def test_silence_of_all_replicas_is_survived() -> None:
    """All replicas fall silent in turn, and a third run would be too many."""
    async with _hedge_stream(_make_replicas(3)) as (node, response):
        await asyncio.sleep(1.5)
        assert len(_list_runs(node)) == 2
        _find_first(node).resume()
        assert make_event_stream(5).endswith(await response.read())


async def test_suspicion_ends_with_the_silence() -> None:
    """A replica that goes on after a silence gets no work for seconds."""
    async with _hedge_stream(_make_replicas(2)) as (node, response):
        first = _find_first(node)
        view = node.app.find('streams', StreamWatch).context.replicas
        view.suspect(view.replicas[first.name], 'no report', full=False)
        first.resume()
        await response.read()
        assert not view.list_suspects()


async def test_first_event_ends_a_suspicion() -> None:
    """A replica that goes on after a short silence gets no work for seconds."""
    replicas = _make_replicas(1)
    replicas[0].stall_after = _SENT_EVENTS
    replicas[0].events = 40
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        await response.content.readuntil(b'token 2\n\n')
        view = node.app.find('streams', StreamWatch).context.replicas
        view.suspect(view.replicas['m-0'], 'silent', full=False)
        await asyncio.sleep(0.3)
        replicas[0].resume()
        await response.content.readuntil(b'token 3\n\n')
        assert not view.list_suspects()


async def test_leaving_replica_finishes_its_streams() -> None:
    """A stream is cut off at a replica that leaves and stopped listening."""
    replicas = _make_replicas(1)
    replicas[0].stall_after = _SENT_EVENTS
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        first = node.replicas['m-0']
        received = await response.content.readuntil(b'token 2\n\n')
        first.register('draining')
        await wait_until(lambda: node.count('replica-leaving'))
        assert first.stop_listening is not None
        await first.stop_listening()
        await wait_until(lambda: node.count('replica-suspected'))
        await asyncio.sleep(0.3)
        first.resume()
        assert received + await response.read() == make_event_stream(5)


async def test_refused_resumption_waits_for_room() -> None:
    """A stream uses up all its attempts within a moment at a full replica."""
    replicas = _make_replicas(2)
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        received = await response.content.readuntil(b'token 1\n\n')
        first = _find_first(node)
        other = next(each for each in replicas if each is not first)
        other.refuse = 503
        await first.crash()
        await wait_until(lambda: other.refusals)
        await asyncio.sleep(0.1)
        other.refuse = 0
        assert received + await response.read() == make_event_stream(5)


@pytest.mark.parametrize('leaves', [True, False], ids=['leaves', 'answered'])
async def test_stream_that_ended_has_no_hedge(
    leaves: bool,
) -> None:
    """A stream is sent again after its client has left or has its answer."""
    replicas = _make_replicas(2)
    for replica in replicas:
        replica.pause = 0.1
    async with run_node(replicas) as node:
        watch = node.app.find('streams', StreamWatch)
        migrator = _HeldMigrator()
        watch._migrator = migrator  # type: ignore[assignment]
        async with open_request(node, '/plan/x') as response:
            await response.content.readuntil(b'token 1\n\n')
            stream = next(iter(watch.streams))
            moving = asyncio.create_task(
                watch._move_off_unreachable(stream, 0.5)
            )
            if not leaves:
                await response.read()
        await wait_until(lambda: not watch.streams)
        migrator.released.set()
        await moving
        await asyncio.sleep(0.1)
        assert len(_list_runs(node)) == 1
        assert not node.count('stream-hedged')


async def test_error_that_is_read_slowly_is_no_silence() -> None:
    """Events of a second run follow an error that the client reads slowly."""
    replicas = _make_replicas(2)
    for replica in replicas:
        replica.stand_still()
    configuration = make_configuration()
    configuration['routes'][2]['maxAttempts'] = 3
    async with run_node(replicas, configuration) as node:
        asking = asyncio.create_task(ask(node, '/plan/x'))
        await wait_until(lambda: node.count('exchange-sent'))
        watch = node.app.find('streams', StreamWatch)
        exchange = next(iter(watch.streams)).exchange
        send, reads = exchange.send, asyncio.Event()

        async def send_once_read(message: Message) -> None:
            await reads.wait()
            await send(message)

        exchange.send = send_once_read
        _find_first(node).fail = 404
        for replica in replicas:
            replica.go_on()
        await asyncio.sleep(2 * HEDGE_SECONDS)
        reads.set()
        status, body, _ = await asking
        assert (status, body) == (404, b'no')
        assert not node.count('stream-hedged')


async def test_last_attempt_is_no_hedge() -> None:
    """Refused hedges use up the attempts of a run that is lost after them."""
    replicas = _make_replicas(2)
    for replica in replicas:
        replica.stall_after = _SENT_EVENTS
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        received = await response.content.readuntil(b'token 2\n\n')
        first = _find_first(node)
        other = next(each for each in replicas if each is not first)
        other.refuse, other.stall_after = 503, 0
        watch = node.app.find('streams', StreamWatch)
        next(iter(watch.streams)).exchange.sends = MAX_SENDS - 1
        await asyncio.sleep(HEDGE_SECONDS + 0.2)
        other.refuse = 0
        await first.crash()
        assert received + await response.read() == make_event_stream(5)


@dataclass(eq=False)
class _HeldPermits:
    """Grants the permit of a hedge once it is released."""

    asked: asyncio.Event = field(default_factory=asyncio.Event)
    released: asyncio.Event = field(default_factory=asyncio.Event)

    async def acquire(self, *_: Any) -> bool:
        """Wait for the permit."""
        self.asked.set()
        await self.released.wait()
        return True


def _count_other_run(stream: LiveStream, _: StreamWatch) -> None:
    stream.exchange.ran += 1


def _suspect_request(stream: LiveStream, watch: StreamWatch) -> None:
    watch.context.quarantine.record_crash(
        stream.request.fingerprint, 'm-9', RequestPhase.BEGUN, 'r-2'
    )


@pytest.mark.parametrize('change', [_count_other_run, _suspect_request])
async def test_hedge_is_decided_again_after_its_permit(
    monkeypatch: pytest.MonkeyPatch,
    change: Callable[[LiveStream, StreamWatch], None],
) -> None:
    """A hedge is one run too many, or begins what may crash its replica."""
    permits = _HeldPermits()
    monkeypatch.setattr(_hedging, 'acquire_permit', permits.acquire)
    replicas = _make_replicas(2)
    for replica in replicas:
        replica.stall_after = _SENT_EVENTS
    async with (
        run_node(replicas) as node,
        open_request(node, '/plan/x') as response,
    ):
        received = await response.content.readuntil(b'token 2\n\n')
        await permits.asked.wait()
        watch = node.app.find('streams', StreamWatch)
        change(next(iter(watch.streams)), watch)
        permits.released.set()
        await asyncio.sleep(0.1)
        _find_first(node).resume()
        assert received + await response.read() == make_event_stream(5)
        assert len(_list_runs(node)) == 1
