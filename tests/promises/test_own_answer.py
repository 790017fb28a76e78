"""A caller receives the whole answer to the own request and nothing else."""

import asyncio

from fleet.caller import StreamedAnswer, ask
from fleet.checks import check_layers_once, check_streams_freed, list_events
from fleet.fleet import make_shape, run_fleet
from standins.model import complete_chat

_TOKENS = 40
_CALLERS = 120
_KEYS = ('ward-1-key', 'clinic-le-loi-key', 'schools-key')


async def test_many_answers_through_disturbed_engines() -> None:
    """Hundreds of crew leaders ask at once while the engines misbehave.

    Answers to steps come twice, late, or from an earlier step, or not at
    all, and one stage dies. Each caller must read its own text, whole.
    """
    async with run_fleet(make_shape(nodes=2, replicas=3)) as fleet:
        for name, faults in (
            ('engine-0a', {'double': True}),
            ('engine-1a', {'stale': True}),
            ('engine-1b', {'double': True, 'stale': True}),
            ('engine-2a', {'lose': 5}),
        ):
            await fleet.control(
                fleet.processes[name], 'state', {'faults': faults}
            )
        contents = [f'question {index} ' * 5 for index in range(_CALLERS)]
        heard = [StreamedAnswer() for _ in contents]
        asking = [
            asyncio.create_task(
                ask(
                    fleet.http,
                    fleet.nodes[index % 2],
                    _KEYS[index % len(_KEYS)],
                    content,
                    _TOKENS,
                    heard[index],
                )
            )
            for index, content in enumerate(contents)
        ]
        await fleet.wait_until(lambda: any(one.text for one in heard))
        await fleet.processes['engine-2b'].kill()
        await asyncio.gather(*asking)
        for content, one in zip(contents, heard, strict=True):
            assert one.text == complete_chat(content, 12, _TOKENS)
            assert one.done
        await check_layers_once(fleet)
        await check_streams_freed(fleet)
        assert await list_events(fleet, 'frame-dropped')


async def test_caller_gone_cancels_the_work() -> None:
    """A crew leader closes the laptop in the middle of an answer.

    The engines would go on for nobody, and their caches stay full. The work
    is cancelled at once, and the next answer on the node is right.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        heard = StreamedAnswer()
        asking = asyncio.create_task(
            ask(fleet.http, fleet.nodes[0], _KEYS[0], 'long', 1000, heard)
        )
        await fleet.wait_until(lambda: heard.text)
        asking.cancel()
        await asyncio.wait([asking])
        await check_streams_freed(fleet)
        assert await list_events(fleet, 'caller-gone')
        again = await ask(fleet.http, fleet.nodes[0], _KEYS[0], 'x', 9)
        assert again.text == complete_chat('x', 12, 9)
