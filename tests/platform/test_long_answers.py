"""Long answers of services without a model."""

import aiohttp
import pytest

from fleet.running import ask, make_non_model_replicas, run_node
from ryelatch_node.relay._held import MAX_ANSWER_BYTES

_LONG = 3 * MAX_ANSWER_BYTES


@pytest.mark.parametrize('path', ['/ping/x', '/book/x'])
async def test_long_answer_is_passed_on_whole(path: str) -> None:
    """A long answer is refused, cut off or kept in memory."""
    replicas = make_non_model_replicas(1)
    replicas[0].padding = _LONG
    async with run_node(replicas) as node:
        status, body, headers = await ask(node, path)
        assert status == 200
        assert body == b''.join((b'answer of b-0', bytes(_LONG)))
        assert headers['content-length'] == str(len(body))
        assert len(replicas[0].runs) == 1


@pytest.mark.parametrize('path', ['/ping/x', '/book/x'])
async def test_long_answer_that_is_lost_is_cut_off(path: str) -> None:
    """The first half of a long answer looks complete, or is sent twice."""
    replicas = make_non_model_replicas(2)
    for replica in replicas:
        replica.padding = _LONG
        replica.cuts_off = True
    async with run_node(replicas) as node:
        with pytest.raises(aiohttp.ClientPayloadError):
            await ask(node, path)
        assert sum([len(replica.runs) for replica in replicas]) == 1


async def test_short_answer_that_is_lost_is_replaced() -> None:
    """A short answer that is lost costs its client the answer."""
    replicas = make_non_model_replicas(2)
    replicas[0].cuts_off = True
    async with run_node(replicas) as node:
        # A node that has just started has few retries.
        while not replicas[0].runs:
            status, body, _ = await ask(node, '/ping/x')
            assert (status, body) == (200, b'answer of b-1')


async def test_full_memory_passes_answers_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Many answers at once are held back beyond the node's memory."""
    monkeypatch.setattr('ryelatch_node.relay._held.MAX_HELD_BYTES', 4)
    async with run_node(make_non_model_replicas(1)) as node:
        status, body, _ = await ask(node, '/ping/x')
        assert (status, body) == (200, b'answer of b-0')
