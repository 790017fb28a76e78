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


async def _start(fleet: Fleet, heard: StreamedAnswer) -> asyncio.Task[StreamedAnswer]:
    return asyncio.create_task(
        ask(fleet.http, fleet.nodes[0], _KEY, _CONTENT, _TOKENS, heard)
    )


async def _wait_tokens(fleet: Fleet, heard: StreamedAnswer, count: int) -> list[str]:
    await fleet.wait_until(lambda: len(heard.text) >= count)
    return await find_chain(fleet, heard.headers['x-ryelatch-request'])


async def _check_whole(fleet: Fleet, heard: StreamedAnswer) -> None:
    assert heard.text == complete_chat(_CONTENT, 12, _TOKENS)
    assert heard.done
    assert heard.finish == 'length'
    await check_layers_once(fleet)
    await check_streams_freed(fleet)


@pytest.mark.parametrize('stage', [0, 1, 2])
@pytest.mark.parametrize('after', [1, 30, 58])
async def test_stage_killed(stage: int, after: int) -> None:
    """A crew leader sees the plan pause and go on.

    The process of one stage dies after the first, a middle, or nearly the
    last token. The next attempt rebuilds the cache on other engines and goes
    on from the last token delivered.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        heard = StreamedAnswer()
        asking = await _start(fleet, heard)
        chain = await _wait_tokens(fleet, heard, after)
        await fleet.processes[chain[stage]].kill()
        await asking
        await _check_whole(fleet, heard)


async def test_stages_killed_also_in_recovery() -> None:
    """Two stages die at once, and a third while the answer is recovering.

    The first two are taken from one chain; the chain that takes over loses
    its own middle stage before it has given a token.
    """
    async with run_fleet(make_shape(nodes=1, replicas=3)) as fleet:
        heard = StreamedAnswer()
        asking = await _start(fleet, heard)
        chain = await _wait_tokens(fleet, heard, 10)
        await asyncio.gather(
            fleet.processes[chain[0]].kill(),
            fleet.processes[chain[2]].kill(),
        )
        request = heard.headers['x-ryelatch-request']
        await fleet.wait_for(lambda: _has_moved(fleet, request, chain))
        second = await find_chain(fleet, request)
        await fleet.processes[second[1]].kill()
        await asking
        await _check_whole(fleet, heard)


async def _has_moved(fleet: Fleet, request: str, chain: list[str]) -> bool:
    return await find_chain(fleet, request) != chain


async def test_frozen_stage_wakes_and_answers_late() -> None:
    """A stage stops for seconds, then answers what was asked long ago.

    Its VM was paused. The answer has moved on under a new attempt; a late
    frame let through would give one position two tokens.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        heard = StreamedAnswer()
        asking = await _start(fleet, heard)
        chain = await _wait_tokens(fleet, heard, 10)
        frozen = fleet.processes[chain[1]]
        frozen.send(signal.SIGSTOP)
        await fleet.wait_until(lambda: len(heard.text) > 20)
        frozen.send(signal.SIGCONT)
        await asking
        await _check_whole(fleet, heard)


async def test_answer_of_a_step_is_lost() -> None:
    """One stream stands still while others move.

    The engine ran a step and its answer went astray. The same step is sent
    again, and the engine gives the kept result instead of running it twice.
    """
    async with run_fleet(make_shape(nodes=1, replicas=1)) as fleet:
        heard = StreamedAnswer()
        asking = await _start(fleet, heard)
        await _wait_tokens(fleet, heard, 10)
        engine = fleet.processes['engine-1a']
        await fleet.control(engine, 'state', {'faults': {'lose': 1}})
        await asking
        await _check_whole(fleet, heard)
        assert not await list_events(fleet, 'chain-lost')


@pytest.mark.parametrize(
    'change', [{'version': '2'}, {'last': 9}, {'first': 3}]
)
async def test_engine_changes_under_way(change: dict[str, object]) -> None:
    """An engine is given another version or range in the middle of answers.

    A chain with it would mix versions, or run a layer twice or not at all.
    The engine refuses the step, and the answer moves to engines that tile.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        heard = StreamedAnswer()
        asking = await _start(fleet, heard)
        chain = await _wait_tokens(fleet, heard, 10)
        await fleet.control(fleet.processes[chain[1]], 'state', change)
        await asking
        await _check_whole(fleet, heard)


async def test_engine_that_ran_other_layers_is_refused() -> None:
    """An engine says that it ran one layer more than it was asked to.

    The token that came of it would look plausible. The receipt is held
    against the step, the attempt is given up, and an event tells of it.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        heard = StreamedAnswer()
        asking = await _start(fleet, heard)
        chain = await _wait_tokens(fleet, heard, 10)
        liar = fleet.processes[chain[1]]
        await fleet.control(liar, 'state', {'faults': {'lie': True}})
        await asking
        await _check_whole(fleet, heard)
        assert await list_events(fleet, 'receipt-refused')


async def test_connections_to_engines_go_silent() -> None:
    """Every open connection to the engines stops for good; new ones work.

    A box between the ends lost its state. The steps in flight are sent again
    on new connections, and the attempt itself goes on.
    """
    async with run_fleet(make_shape(nodes=1, replicas=1)) as fleet:
        heard = StreamedAnswer()
        asking = await _start(fleet, heard)
        await _wait_tokens(fleet, heard, 10)
        for spec in fleet.shape.engines:
            await fleet.silence_connections(fleet.processes[spec.name])
        await asking
        await _check_whole(fleet, heard)
        assert not await list_events(fleet, 'chain-lost')
