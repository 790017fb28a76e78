"""A client receives the complete answer to its own request only."""

import asyncio
import json

from fleet.caller import StreamedAnswer, ask, read_answer
from fleet.checks import check_layers_once, check_streams_freed, list_events
from fleet.fleet import make_shape, run_fleet
from standins.model import complete_chat

_TOKENS = 40
_CLIENTS = 120
_KEYS = ('ward-1-key', 'clinic-le-loi-key', 'schools-key')


async def test_many_answers_through_disturbed_engines() -> None:
    """Many clients send requests at once while the engines are faulty.

    Receipts come twice, late, from an earlier step, or not at all, and one
    engine is killed. Each client must receive its own complete text.
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
        contents = [f'question {index} ' * 5 for index in range(_CLIENTS)]
        received = [StreamedAnswer() for _ in contents]
        answering = [
            asyncio.create_task(
                ask(
                    fleet.http,
                    fleet.nodes[index % 2],
                    _KEYS[index % len(_KEYS)],
                    content,
                    _TOKENS,
                    received[index],
                )
            )
            for index, content in enumerate(contents)
        ]
        await fleet.wait_until(lambda: any(answer.text for answer in received))
        await fleet.processes['engine-2b'].kill()
        await asyncio.gather(*answering)
        for content, answer in zip(contents, received, strict=True):
            assert answer.text == complete_chat(content, 12, _TOKENS)
            assert answer.done
        await check_layers_once(fleet)
        await check_streams_freed(fleet)
        assert await list_events(fleet, 'frame-dropped')


async def test_caller_gone_cancels_the_work() -> None:
    """A client disconnects in the middle of an answer.

    Without cancellation, the engines would continue for no client, and their
    caches would stay in use. The work is cancelled at once, and the next
    answer of the node is correct.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        received = StreamedAnswer()
        answering = asyncio.create_task(
            ask(fleet.http, fleet.nodes[0], _KEYS[0], 'long', 1000, received)
        )
        await fleet.wait_until(lambda: received.text)
        answering.cancel()
        await asyncio.wait([answering])
        await check_streams_freed(fleet)
        assert await list_events(fleet, 'caller-gone')
        again = await ask(fleet.http, fleet.nodes[0], _KEYS[0], 'x', 9)
        assert again.text == complete_chat('x', 12, 9)


async def test_old_caller_gets_no_chunks() -> None:
    """A client of HTTP/1.0 gets the sizes of chunks as a part of its text."""
    body = json.dumps(
        {
            'model': 'textile-care',
            'stream': True,
            'max_tokens': 9,
            'messages': [{'role': 'user', 'content': 'x'}],
        }
    )
    lines = (
        'POST /v1/chat/completions HTTP/1.0',
        f'Authorization: Bearer {_KEYS[0]}',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
    )
    request = '\r\n'.join((*lines, '', body)).encode()
    async with run_fleet(make_shape(nodes=1)) as fleet:
        host, _, port = fleet.nodes[0].address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        head, answer = await read_answer(reader)
        writer.close()
        assert b'transfer-encoding' not in head.lower()
        assert answer.startswith(b'data: ')
        assert answer.endswith(b'data: [DONE]\n\n')
