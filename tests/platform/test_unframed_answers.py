"""Answers with neither a length nor chunks, which end with a connection."""

import asyncio
import contextlib

import aiohttp
import pytest

from fleet.running import (
    ask,
    make_event_stream,
    make_model_replicas,
    make_non_model_replicas,
    run_node,
    wait_until,
)
from ryelatch_node.quarantine import Quarantine
from ryelatch_node.relay._upstream import Upstreams
from standins.replica import Unframed


async def test_whole_answers_without_length_pass() -> None:
    """An answer is taken for a broken one as it ends with its connection."""
    async with run_node(
        [*make_model_replicas((0, 8)), *make_non_model_replicas(1)]
    ) as node:
        for replica in node.replicas.values():
            replica.unframed = Unframed.WHOLE
        for number in range(3):
            status, body, _ = await ask(node, '/plan/x', identity=f's-{number}')
            assert (status, body) == (200, make_event_stream(5))
            status, body, _ = await ask(node, '/book/x', identity=f'b-{number}')
            assert (status, body) == (200, b'answer of b-0')
        runs = [len(replica.runs) for replica in node.replicas.values()]
        assert runs == [3, 3]


@pytest.mark.parametrize(
    'ending', [Unframed.INSIDE, Unframed.EMPTY, Unframed.RESET]
)
async def test_broken_stream_without_length_is_resumed(
    ending: Unframed,
) -> None:
    """The part of a stream that came before its connection ended is all."""
    async with run_node(make_model_replicas((0, 8), (0, 8))) as node:
        broken = node.replicas['m-0']
        broken.unframed = ending
        for number in range(40):
            status, body, _ = await ask(node, '/plan/x', identity=f's-{number}')
            assert (status, body) == (200, make_event_stream(5))
            if broken.runs:
                break
        assert broken.unframed is Unframed.WHOLE


async def test_end_without_length_clears_no_part() -> None:
    """A crash that looks like the end of a stream clears the crashing part.

    The replica closes the connection between two events as it crashes.
    """
    async with run_node(make_model_replicas((0, 8))) as node:
        quarantine = node.app.find('quarantine', Quarantine)
        node.replicas['m-0'].unframed = Unframed.WHOLE
        cleared: list[object] = []
        quarantine.record_run = cleared.append  # type: ignore[method-assign]
        await ask(node, '/plan/x')
        assert not cleared
        node.replicas['m-0'].unframed = None
        await ask(node, '/plan/x', identity='r-2')
        assert cleared


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x', '/book/x'])
async def test_own_close_ends_no_answer(path: str) -> None:
    """A node that stops takes its own close for the end of an answer."""
    async with run_node(
        [*make_model_replicas((0, 8)), *make_non_model_replicas(1)]
    ) as node:
        for replica in node.replicas.values():
            replica.unframed = Unframed.WHOLE
            replica.events = 1000
            replica.pause = 0.1
        upstreams = node.app.find('upstreams', Upstreams)
        asking = asyncio.create_task(ask(node, path))
        await wait_until(
            lambda: any(replica.runs for replica in node.replicas.values())
        )
        # Until the first piece of the answer has arrived.
        await asyncio.sleep(0.05)
        await upstreams.stop()
        with contextlib.suppress(aiohttp.ClientError):
            status, _, _ = await asking
            assert status != 200
