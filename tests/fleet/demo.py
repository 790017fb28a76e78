"""Demonstrates that answers stay complete and correct while processes die."""

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


def report_progress(text: str) -> None:
    """Print a line of progress, with the seconds since the start."""
    print(f'[{time.monotonic() - _START:5.1f} s] {text}', flush=True)


async def show_answer(fleet: Fleet) -> bool:
    """Stream an answer, and kill an engine of its chain meanwhile.

    :returns: whether the answer is complete and correct.
    """
    heard = StreamedAnswer()
    node = fleet.nodes[0]
    request_task = asyncio.create_task(
        ask(fleet.http, node, _KEY, _CONTENT, _TOKENS, heard)
    )
    await fleet.wait_until(lambda: len(heard.text) > _TOKENS // 4)
    request = heard.headers['x-ryelatch-request']
    chain = await find_chain(fleet, request)
    report_progress(
        f'{len(heard.text)} tokens received; killing engine {chain[1]}'
    )
    await fleet.processes[chain[1]].kill()
    await request_task
    correct = heard.text == complete_chat(_CONTENT, 12, _TOKENS)
    report_progress(
        f'the answer is {"complete and correct" if correct else "WRONG"}: '
        f'{len(heard.text)} tokens, longest gap '
        f'{heard.longest_gap * 1000:.0f} ms'
    )
    _, lines, _ = await fleet.run_cli('timeline', '--request', request)
    report_progress(f'its timeline:\n{lines}')
    return correct and heard.done


async def find_chain(fleet: Fleet, request: str) -> list[str]:
    """Find the engines of the chain that an answer runs on at present."""
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
    """Send the same booking through two nodes.

    :returns: whether it ran once and both nodes gave the same response.
    """
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
    report_progress(
        f'a booking sent to two nodes: {replies[0]}; it ran {total} time(s)'
    )
    return total == 1 and replies[0] == replies[1]


async def show_stop(fleet: Fleet) -> bool:
    """Shut down a node by ``SIGTERM`` while it streams an answer.

    :returns: whether the answer is complete and the node exited with code 0.
    """
    node = fleet.nodes[1]
    heard = StreamedAnswer()
    request_task = asyncio.create_task(
        ask(fleet.http, node, _KEY, _CONTENT, _TOKENS, heard)
    )
    await fleet.wait_until(lambda: len(heard.text) > _TOKENS // 4)
    report_progress(f'shutting down {node.name} after {len(heard.text)} tokens')
    code = await node.stop()
    await request_task
    correct = heard.text == complete_chat(_CONTENT, 12, _TOKENS)
    report_progress(
        f'{node.name} exited with code {code}; its answer is '
        f'{"complete and correct" if correct else "WRONG"}'
    )
    return correct and code == 0


async def main() -> int:
    """Run the demonstration.

    :returns: exit code: 0 if all answers were complete and correct.
    """
    report_progress(
        'starting a platform, 6 engines, 3 booking services and 3 nodes'
    )
    async with run_fleet(make_shape()) as fleet:
        report_progress('settings applied:')
        _, lines, _ = await fleet.run_cli('status')
        report_progress(f'status:\n{lines}')
        results = [
            await show_answer(fleet),
            await show_booking(fleet),
            await show_stop(fleet),
        ]
    report_progress(
        'all answers complete and correct' if all(results) else 'FAILED'
    )
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
