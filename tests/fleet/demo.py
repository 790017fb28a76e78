"""The main job, shown: answers stay whole while processes die."""

import asyncio
import sys
import time

from fleet.caller import StreamedAnswer, ask
from fleet.fleet import Fleet, make_shape, run_fleet
from standins.model import complete_chat

_CONTENT = 'How do I treat a red wine stain on a wool carpet?'
_KEY = 'ward-1-key'
_TOKENS = 160
_START = time.monotonic()


def tell(text: str) -> None:
    """Show progress."""
    print(f'[{time.monotonic() - _START:5.1f} s] {text}', flush=True)


async def show_answer(fleet: Fleet) -> bool:
    """Stream an answer while a stage of it is killed."""
    heard = StreamedAnswer()
    node = fleet.nodes[0]
    asking = asyncio.create_task(
        ask(fleet.http, node, _KEY, _CONTENT, _TOKENS, heard)
    )
    await fleet.wait_until(lambda: len(heard.text) > _TOKENS // 4)
    request = heard.headers['x-ryelatch-request']
    chain = await find_chain(fleet, request)
    tell(f'{len(heard.text)} tokens are there; killing stage {chain[1]}')
    await fleet.processes[chain[1]].kill()
    await asking
    right = heard.text == complete_chat(_CONTENT, 12, _TOKENS)
    tell(
        f'the answer is {"whole and right" if right else "WRONG"}: '
        f'{len(heard.text)} tokens, longest gap '
        f'{heard.longest_gap * 1000:.0f} ms'
    )
    _, lines, _ = await fleet.run_cli('timeline', '--request', request)
    tell(f'its time line:\n{lines}')
    return right and heard.done


async def find_chain(fleet: Fleet, request: str) -> list[str]:
    """Find the engines that an answer runs on."""
    events = await fleet.ask_admin(
        fleet.nodes[0], f'timeline?request={request}'
    )
    chains = [
        event['detail']['chain']
        for event in events
        if event['name'] == 'chain-chosen'
    ]
    return str(chains[-1]).split(',')


async def show_booking(fleet: Fleet) -> bool:
    """Make a booking, and ask for it again through another node."""
    replies = []
    for node in fleet.nodes[:2]:
        async with fleet.http.post(
            f'{node.url}/booking/vans',
            data='van 7 to clinic Cho Ray',
            headers={
                'Authorization': f'Bearer {_KEY}',
                'Idempotency-Key': 'demo-1',
            },
        ) as response:
            replies.append((response.status, await response.text()))
    runs = [
        (await fleet.inspect(fleet.processes[name], 'runs'))['runs']
        for name in fleet.shape.non_model
    ]
    total = sum(sum(found.values()) for found in runs)
    tell(f'a booking sent through two nodes: {replies[0]}; it ran {total}x')
    return total == 1 and replies[0] == replies[1]


async def show_stop(fleet: Fleet) -> bool:
    """Stop a node in order while it streams an answer."""
    node = fleet.nodes[1]
    heard = StreamedAnswer()
    asking = asyncio.create_task(
        ask(fleet.http, node, _KEY, _CONTENT, _TOKENS, heard)
    )
    await fleet.wait_until(lambda: len(heard.text) > _TOKENS // 4)
    tell(f'planned stop of {node.name} after {len(heard.text)} tokens')
    code = await node.stop()
    await asking
    right = heard.text == complete_chat(_CONTENT, 12, _TOKENS)
    tell(
        f'{node.name} ended with exit code {code}; its answer is '
        f'{"whole and right" if right else "WRONG"}'
    )
    return right and code == 0


async def main() -> int:
    """Run the demonstration; 0 if all answers were right."""
    tell('starting a platform, 6 engines, 3 booking services and 3 nodes')
    async with run_fleet(make_shape()) as fleet:
        tell('settings applied:')
        _, lines, _ = await fleet.run_cli('status')
        tell(f'status:\n{lines}')
        results = [
            await show_answer(fleet),
            await show_booking(fleet),
            await show_stop(fleet),
        ]
    tell('all answers whole and right' if all(results) else 'FAILED')
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
