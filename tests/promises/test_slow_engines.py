"""Engines that become slow without failing."""

import asyncio

from fleet.caller import StreamedAnswer, ask
from fleet.checks import check_layers_once, list_events
from fleet.fleet import make_shape, run_fleet
from standins.model import complete_chat

_KEY = 'ward-1-key'


async def test_answers_leave_an_engine_that_crawls() -> None:
    """Answers stay on an engine whose steps take fifty times as long.

    Nothing fails, but they would run into their deadline. They must move to
    another engine of its stage, and new answers must avoid the slow one.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        answers = [StreamedAnswer() for _ in range(6)]
        request_tasks = [
            asyncio.create_task(
                ask(fleet.http, fleet.nodes[0], _KEY, f'{index}', 300, answer)
            )
            for index, answer in enumerate(answers)
        ]
        await fleet.wait_until(
            lambda: all(len(answer.text) > 20 for answer in answers)
        )
        slow = fleet.processes['engine-1a']
        await fleet.control(slow, 'state', {'step_ms': 100})
        await asyncio.gather(*request_tasks)
        for index, answer in enumerate(answers):
            assert answer.text == complete_chat(f'{index}', 12, 300)
        moved = await list_events(fleet, 'chain-moved')
        assert {event['detail']['upstream'] for event in moved} == {'engine-1a'}
        await check_layers_once(fleet)
