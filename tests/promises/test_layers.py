"""Every layer of the model runs exactly once for each token, in order."""

import asyncio
import signal

import pytest

from fleet.caller import StreamedAnswer, ask
from fleet.checks import (
    check_layers_once,
    check_streams_freed,
    list_events,
)
from fleet.demo import find_chain
from fleet.fleet import Fleet, make_shape, run_fleet
from standins.model import complete_chat

_CONTENT = 'wool carpet, two days old coffee'
_KEY = 'ward-1-key'
_TOKENS = 60


async def _start_answer(fleet: Fleet, received: StreamedAnswer) -> asyncio.Task[StreamedAnswer]:
    return asyncio.create_task(
        ask(fleet.http, fleet.nodes[0], _KEY, _CONTENT, _TOKENS, received)
    )


async def _wait_tokens(fleet: Fleet, received: StreamedAnswer, count: int) -> list[str]:
    await fleet.wait_until(lambda: len(received.text) >= count)
    return await find_chain(fleet, received.headers['x-ryelatch-request'])


async def _check_complete(fleet: Fleet, received: StreamedAnswer) -> None:
    assert received.text == complete_chat(_CONTENT, 12, _TOKENS)
    assert received.done
    assert received.finish == 'length'
    await check_layers_once(fleet)
    await check_streams_freed(fleet)


@pytest.mark.parametrize('stage', [0, 1, 2])
@pytest.mark.parametrize('after', [1, 30, 58])
async def test_stage_killed(stage: int, after: int) -> None:
    """The engine of one stage is killed in the middle of an answer.

    This happens after the first, a middle, or nearly the last token. The next
    attempt rebuilds the cache on other engines and continues after the last
    token delivered.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        received = StreamedAnswer()
        answering = await _start_answer(fleet, received)
        chain = await _wait_tokens(fleet, received, after)
        await fleet.processes[chain[stage]].kill()
        await answering
        await _check_complete(fleet, received)


async def test_stages_killed_also_in_recovery() -> None:
    """Two engines are killed at once, and a third during the recovery.

    The first two belong to one chain. The middle engine of the next chain is
    killed before that chain has generated a token.
    """
    async with run_fleet(make_shape(nodes=1, replicas=3)) as fleet:
        received = StreamedAnswer()
        answering = await _start_answer(fleet, received)
        chain = await _wait_tokens(fleet, received, 10)
        await asyncio.gather(
            fleet.processes[chain[0]].kill(),
            fleet.processes[chain[2]].kill(),
        )
        request = received.headers['x-ryelatch-request']
        await fleet.wait_for(lambda: _has_moved(fleet, request, chain))
        second = await find_chain(fleet, request)
        await fleet.processes[second[1]].kill()
        await answering
        await _check_complete(fleet, received)


async def _has_moved(fleet: Fleet, request: str, chain: list[str]) -> bool:
    return await find_chain(fleet, request) != chain


async def test_frozen_stage_wakes_and_answers_late() -> None:
    """A paused engine resumes and sends receipts of an earlier attempt.

    Meanwhile the answer has continued with a new attempt. If the late receipt
    were accepted, one position would have two tokens.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        received = StreamedAnswer()
        answering = await _start_answer(fleet, received)
        chain = await _wait_tokens(fleet, received, 10)
        paused = fleet.processes[chain[1]]
        paused.send(signal.SIGSTOP)
        await fleet.wait_until(lambda: len(received.text) > 20)
        paused.send(signal.SIGCONT)
        await answering
        await _check_complete(fleet, received)


async def test_answer_of_a_step_is_lost() -> None:
    """An engine runs a step, but its receipt is lost.

    Without a second request, this stream would make no progress. The same
    step is sent again, and the engine returns its stored result instead of
    running the step twice.
    """
    async with run_fleet(make_shape(nodes=1, replicas=1)) as fleet:
        received = StreamedAnswer()
        answering = await _start_answer(fleet, received)
        await _wait_tokens(fleet, received, 10)
        engine = fleet.processes['engine-1a']
        await fleet.control(engine, 'state', {'faults': {'lose': 1}})
        await answering
        await _check_complete(fleet, received)
        assert not await list_events(fleet, 'chain-lost')


@pytest.mark.parametrize(
    'change', [{'version': '2'}, {'last': 9}, {'first': 3}]
)
async def test_engine_changes_under_way(change: dict[str, object]) -> None:
    """An engine changes its version or layers in the middle of an answer.

    A chain with it would mix versions, or run a layer twice or not at all.
    The engine refuses the step, and the answer moves to engines that
    together cover each layer once.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        received = StreamedAnswer()
        answering = await _start_answer(fleet, received)
        chain = await _wait_tokens(fleet, received, 10)
        await fleet.control(fleet.processes[chain[1]], 'state', change)
        await answering
        await _check_complete(fleet, received)


async def test_engine_that_ran_other_layers_is_refused() -> None:
    """An engine reports that it ran one layer more than requested.

    The resulting token would look plausible. The receipt doesn't match the
    step, so the attempt fails, and an event is recorded.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        received = StreamedAnswer()
        answering = await _start_answer(fleet, received)
        chain = await _wait_tokens(fleet, received, 10)
        faulty = fleet.processes[chain[1]]
        await fleet.control(faulty, 'state', {'faults': {'lie': True}})
        await answering
        await _check_complete(fleet, received)
        assert await list_events(fleet, 'receipt-refused')


async def test_connections_to_engines_go_silent() -> None:
    """All open connections to engines become unresponsive; new ones work.

    This happens when a network device loses its state. The steps in flight
    are sent again on new connections, and the same attempt continues.
    """
    async with run_fleet(make_shape(nodes=1, replicas=1)) as fleet:
        received = StreamedAnswer()
        answering = await _start_answer(fleet, received)
        await _wait_tokens(fleet, received, 10)
        for spec in fleet.shape.engines:
            await fleet.silence_connections(fleet.processes[spec.name])
        await answering
        await _check_complete(fleet, received)
        assert not await list_events(fleet, 'chain-lost')
