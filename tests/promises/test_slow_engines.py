"""Engines and links that become slow without failing."""

import asyncio

from fleet.caller import StreamedAnswer, ask
from fleet.checks import check_layers_once, list_events
from fleet.fleet import make_shape, run_fleet
from standins.model import complete_chat

_KEY = 'ward-1-key'


async def test_answers_leave_an_engine_that_crawls() -> None:
    """One engine's steps take fifty times as long, and nothing fails.

    Answers on it would crawl to their deadline. They move to its peer, and
    new ones avoid it.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        heard = [StreamedAnswer() for _ in range(6)]
        asking = [
            asyncio.create_task(
                ask(fleet.http, fleet.nodes[0], _KEY, f'{index}', 300, one)
            )
            for index, one in enumerate(heard)
        ]
        await fleet.wait_until(lambda: all(len(one.text) > 20 for one in heard))
        slow = fleet.processes['engine-1a']
        await fleet.control(slow, 'state', {'step_ms': 100})
        await asyncio.gather(*asking)
        for index, one in enumerate(heard):
            assert one.text == complete_chat(f'{index}', 12, 300)
        moved = await list_events(fleet, 'chain-moved')
        assert {event['detail']['upstream'] for event in moved} == {'engine-1a'}
        await check_layers_once(fleet)
