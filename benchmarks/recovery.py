"""Measures the gap in answers at each failure, with and without recovery.

Without recovery, the answer would fail, and the client would send the request
again at once. Its gap would be the time until it receives the token after the
last one of the first attempt. That time is computed from the token rate of the
same answers before the failure, not measured in a run of its own.
"""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

import aiohttp
from common import find_percentiles, print_table, save_result

from fleet.caller import StreamedAnswer, ask
from fleet.demo import find_chain
from fleet.fleet import Fleet, make_shape, run_fleet

_RUNS = 12
_TOKENS = 120
_TOKENS_BEFORE = 40
_KEY = 'ward-1-key'

Failure = Callable[[Fleet, list[str]], Awaitable[object]]


async def kill_stage(fleet: Fleet, chain: list[str]) -> None:
    """Kill the process of the middle stage."""
    await fleet.processes[chain[1]].kill()


async def freeze_stage(fleet: Fleet, chain: list[str]) -> None:
    """Suspend the process of the middle stage by ``SIGSTOP``."""
    fleet.processes[chain[1]].send(signal.SIGSTOP)


async def silence_links(fleet: Fleet, chain: list[str]) -> None:
    """Stop all traffic on the open connections of the middle stage."""
    await fleet.silence_connections(fleet.processes[chain[1]])


async def kill_both(fleet: Fleet, chain: list[str]) -> None:
    """Kill all engines that hold the middle stage."""
    names = [spec.name for spec in fleet.shape.engines if '-1' in spec.name]
    await asyncio.gather(*(fleet.processes[name].kill() for name in names))


async def cut_zone(fleet: Fleet, chain: list[str]) -> None:
    """Kill all engines in the availability zone of the middle stage."""
    zone = fleet.vms[chain[1]]['zone']
    names = [spec.name for spec in fleet.shape.engines if spec.zone == zone]
    await asyncio.gather(*(fleet.processes[name].kill() for name in names))


async def stop_store(fleet: Fleet, chain: list[str]) -> None:
    """Make the platform's store unavailable."""
    await fleet.control(fleet.platform, 'faults', {'outage': True})


async def measure(failure: Failure) -> dict[str, float]:
    """Cause a failure in the middle of answers.

    :returns: percentiles of the longest gaps with recovery, and the gap
        without it, in seconds.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        answers = [StreamedAnswer() for _ in range(_RUNS)]
        requests = [
            asyncio.create_task(
                ask(
                    fleet.http,
                    fleet.nodes[0],
                    _KEY,
                    f'question {index}',
                    _TOKENS,
                    answer,
                )
            )
            for index, answer in enumerate(answers)
        ]
        await fleet.wait_until(
            lambda: all(
                len(answer.times) > _TOKENS_BEFORE for answer in answers
            )
        )
        chain = await find_chain(
            fleet, answers[0].headers['x-ryelatch-request']
        )
        await failure(fleet, chain)
        await asyncio.gather(*requests)
        assert all(answer.done for answer in answers)
        gaps = [answer.longest_gap for answer in answers]
        token_seconds = min(
            (answer.times[_TOKENS_BEFORE] - answer.started) / _TOKENS_BEFORE
            for answer in answers
        )
    return {
        'gap': find_percentiles(gaps),
        'restart': token_seconds * _TOKENS_BEFORE,
    }


async def measure_node_killed() -> dict[str, float]:
    """Kill a node; its clients send their requests to another one at once.

    :returns: percentiles of the time until the token after the last one of the
        first attempt, in seconds.
    """
    gaps = []
    async with run_fleet(make_shape(nodes=2)) as fleet:
        answers = [StreamedAnswer() for _ in range(_RUNS)]

        async def call(index: int) -> None:
            answer = answers[index]
            try:
                await ask(
                    fleet.http,
                    fleet.nodes[0],
                    _KEY,
                    f'q{index}',
                    _TOKENS,
                    answer,
                )
            except (OSError, aiohttp.ClientError):
                broken = time.monotonic()
                second_answer = StreamedAnswer()
                received = len(answer.times)
                await ask(
                    fleet.http,
                    fleet.nodes[1],
                    _KEY,
                    f'q{index}',
                    _TOKENS,
                    second_answer,
                )
                gaps.append(
                    second_answer.times[min(received, _TOKENS - 1)] - broken
                )

        requests = [asyncio.create_task(call(index)) for index in range(_RUNS)]
        await fleet.wait_until(
            lambda: all(
                len(answer.times) > _TOKENS_BEFORE for answer in answers
            )
        )
        await fleet.nodes[0].kill()
        await asyncio.gather(*requests, return_exceptions=True)
    return {'gap': find_percentiles(gaps)}


async def main() -> None:
    """Measure the gap at each failure."""
    rows = []
    for failure in (
        kill_stage,
        freeze_stage,
        silence_links,
        cut_zone,
        kill_both,
        stop_store,
    ):
        found = await measure(failure)
        rows.append(_row(failure.__name__, found))
    rows.append(_row('kill_node', await measure_node_killed()))
    print_table('Gap seen by callers, in seconds', rows)
    save_result('recovery', {'runs': _RUNS, 'rows': rows})


def _row(name: str, found: dict[str, float]) -> dict[str, object]:
    return {
        'failure': name,
        **found['gap'],
        'restart': found.get('restart'),
    }


if __name__ == '__main__':
    asyncio.run(main())
