"""Whole sessions, as the time line that an operator reads.

The files beside this one hold what the command line showed, without times,
ports and marks. Of engines that are alike any may be taken, so each is named
by its stage, and one that was lost or leaves is marked.
"""

import asyncio
import re
from typing import Any

from syrupy.assertion import SnapshotAssertion

from fleet.caller import StreamedAnswer, ask
from fleet.checks import book, set_booking_faults
from fleet.demo import find_chain
from fleet.fleet import Fleet, make_shape, run_fleet

_KEY = 'ward-1-key'
_HIDDEN = (
    (r'node-([a-z])-[0-9a-f]{6}-\d+', r'request-of-\1'),
    (r'claims/[0-9a-f]{64}', 'claims/KEY'),
    (r'(port|peers)=\d+', r'\1=PORT'),
    (r'tokens=\d+', 'tokens=N'),
    (r'latency=[\d.]+', 'latency=S'),
    (r'reason=(refused|silent|closed|late|slow)', 'reason=GONE'),
)


def normalise(lines: list[str]) -> str:
    """Take out what differs from run to run."""
    text = '\n'.join(lines)
    for pattern, hidden in _HIDDEN:
        text = re.sub(pattern, hidden, text)
    away = set(re.findall(r'upstream=(engine-\d[a-z])', text))
    return re.sub(
        r'(engine-\d)[a-z]',
        lambda found: f'{found[1]}{"(away)" if found[0] in away else ""}',
        text,
    )


async def read_session(
    fleet: Fleet,
    wanted: set[str],
    **fields: str,
) -> str:
    """Read the merged time line of some kinds of events."""
    query = '&'.join(f'{name}={text}' for name, text in fields.items())
    lines = []
    for node in fleet.nodes:
        events: list[dict[str, Any]] = await fleet.ask_admin(
            node, f'timeline?{query}'
        )
        lines += [
            (event['stamp'], _draw(event))
            for event in events
            if event['name'] in wanted
        ]
    return normalise([line for _, line in sorted(lines)])


def _draw(event: dict[str, Any]) -> str:
    detail = ' '.join(
        f'{name}={text}' for name, text in event['detail'].items()
    )
    return f'{event["process"]} RL{event["number"]} {event["name"]} {detail}'


_ANSWER = {
    'request-admitted',
    'chain-chosen',
    'chain-lost',
    'chain-moved',
    'request-ended',
}


async def test_answer_that_loses_a_stage(snapshot: SnapshotAssertion) -> None:
    """Promises 1 and 2: an answer loses a stage and ends whole."""
    async with run_fleet(make_shape(nodes=1)) as fleet:
        heard = StreamedAnswer()
        asking = asyncio.create_task(
            ask(fleet.http, fleet.nodes[0], _KEY, 'wool', 60, heard)
        )
        await fleet.wait_until(lambda: len(heard.text) > 20)
        request = heard.headers['x-ryelatch-request']
        chain = await find_chain(fleet, request)
        await fleet.processes[chain[1]].kill()
        await asking
        assert await read_session(fleet, _ANSWER, request=request) == snapshot


async def test_booking_sent_twice(snapshot: SnapshotAssertion) -> None:
    """Promises 3 and 4: lost without a key, and repeated with one."""
    wanted = {'claim-made', 'claim-found', 'claim-settled', 'request-ended'}
    async with run_fleet(make_shape(nodes=2)) as fleet:
        one, two = fleet.nodes
        await set_booking_faults(fleet, lose=1)
        await book(fleet, one, 'lost')
        await set_booking_faults(fleet)
        await book(fleet, one, 'van', 'key-1')

        async def settled() -> bool:
            events = await fleet.ask_admin(one, 'timeline')
            return 'claim-settled' in {event['name'] for event in events}

        await fleet.wait_for(settled)
        await book(fleet, two, 'van', 'key-1')
        assert await read_session(fleet, wanted) == snapshot


async def test_engine_says_that_it_leaves(snapshot: SnapshotAssertion) -> None:
    """Promise 5: an engine leaves while an answer runs on it."""
    wanted = _ANSWER | {'upstream-leaving'}
    async with run_fleet(make_shape(nodes=1)) as fleet:
        heard = StreamedAnswer()
        asking = asyncio.create_task(
            ask(fleet.http, fleet.nodes[0], _KEY, 'wool', 200, heard)
        )
        await fleet.wait_until(lambda: len(heard.text) > 20)
        request = heard.headers['x-ryelatch-request']
        chain = await find_chain(fleet, request)
        leaving = fleet.processes[chain[1]]
        await fleet.control(leaving, 'state', {'leaving': True})
        await asking
        await ask(fleet.http, fleet.nodes[0], _KEY, 'silk', 5)
        assert await read_session(fleet, wanted) == snapshot


async def test_stop_during_an_answer(snapshot: SnapshotAssertion) -> None:
    """Promise 6: a node is stopped while it streams an answer."""
    async with run_fleet(make_shape(nodes=1)) as fleet:
        node = fleet.nodes[0]
        heard = StreamedAnswer()
        asking = asyncio.create_task(
            ask(fleet.http, node, _KEY, 'wool', 120, heard)
        )
        await fleet.wait_until(lambda: len(heard.text) > 20)
        code = await node.stop()
        await asking
        lines = [
            line.split('] ', 1)[1]
            for line in node.log
            if re.search('RL110|RL120|RL130', line)
        ]
        lines.append(f'exit {code}, {len(heard.text)} characters')
        assert normalise(lines) == snapshot


async def test_two_operators(snapshot: SnapshotAssertion) -> None:
    """Promise 7: one edit is accepted, the other told what changed."""

    def weigh(weight: int) -> Any:
        def tweak(tree: dict[str, Any]) -> None:
            tree['accounts']['wards']['policy']['weight'] = weight

        return tweak

    async with run_fleet(make_shape(nodes=1)) as fleet:
        told = []
        for weight in (3, 4):
            path = fleet.write_settings(weigh(weight), f'desk-{weight}.yaml')
            code, output, errors = await fleet.run_cli(
                'settings', 'apply', str(path), '--base', '1', '-m', 'weight'
            )
            first = output.splitlines()[:1]
            told += [f'exit {code}', *first, *errors.splitlines()]
        lines = [re.sub('by .* changed', 'by WHO changed', one) for one in told]
        session = await read_session(fleet, {'settings-applied'})
        assert '\n'.join([*lines, session]) == snapshot


async def test_stage_without_engines(snapshot: SnapshotAssertion) -> None:
    """A stage loses all its engines, and the node mends it."""
    wanted = {'lease-taken', 'order-sent', 'lease-lost'}
    async with run_fleet(make_shape(nodes=1)) as fleet:
        heard = StreamedAnswer()
        asking = asyncio.create_task(
            ask(fleet.http, fleet.nodes[0], _KEY, 'wool', 300, heard)
        )
        await fleet.wait_until(lambda: len(heard.text) > 20)
        for name in ('engine-1a', 'engine-1b'):
            await fleet.processes[name].kill()
        await asking

        async def released() -> bool:
            events = await fleet.ask_admin(fleet.nodes[0], 'timeline')
            return 'lease-lost' in {event['name'] for event in events}

        await fleet.wait_for(released)
        session = await read_session(fleet, wanted)
        assert re.sub(r'engine-\d', 'DONOR', session) == snapshot
