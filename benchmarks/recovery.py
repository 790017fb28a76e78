"""The gap that a caller sees at each failure, with and without recovery.

Without recovery means: the answer is given up at the failure, and the caller
asks again from the start at once; its gap is the time until the token that
follows the last one it had. It is reckoned from the pace of the same answers
before the failure, not from a run of its own.
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
_AT = 40
_KEY = 'ward-1-key'

Failure = Callable[[Fleet, list[str]], Awaitable[object]]


async def kill_stage(fleet: Fleet, chain: list[str]) -> None:
    """Kill the process of the middle stage."""
    await fleet.processes[chain[1]].kill()


async def freeze_stage(fleet: Fleet, chain: list[str]) -> None:
    """Stop the process of the middle stage without ending it."""
    fleet.processes[chain[1]].send(signal.SIGSTOP)


async def silence_links(fleet: Fleet, chain: list[str]) -> None:
    """Let the open connections of the middle stage go silent."""
    await fleet.silence_connections(fleet.processes[chain[1]])


async def kill_both(fleet: Fleet, chain: list[str]) -> None:
    """Kill all engines that hold the middle stage."""
    names = [spec.name for spec in fleet.shape.engines if '-1' in spec.name]
    await asyncio.gather(*(fleet.processes[name].kill() for name in names))


async def cut_zone(fleet: Fleet, chain: list[str]) -> None:
    """Kill all engines of the availability zone of the middle stage."""
    zone = fleet.vms[chain[1]]['zone']
    names = [spec.name for spec in fleet.shape.engines if spec.zone == zone]
    await asyncio.gather(*(fleet.processes[name].kill() for name in names))


async def stop_store(fleet: Fleet, chain: list[str]) -> None:
    """Let the platform's store go out."""
    await fleet.control(fleet.platform, 'faults', {'outage': True})


async def measure(failure: Failure) -> dict[str, float]:
    """Bring a failure about in the middle of some answers.

    :returns: seconds of the longest gap with recovery, and without.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        heard = [StreamedAnswer() for _ in range(_RUNS)]
        asking = [
            asyncio.create_task(
                ask(
                    fleet.http,
                    fleet.nodes[0],
                    _KEY,
                    f'question {index}',
                    _TOKENS,
                    one,
                )
            )
            for index, one in enumerate(heard)
        ]
        await fleet.wait_until(
            lambda: all(len(one.times) > _AT for one in heard)
        )
        chain = await find_chain(fleet, heard[0].headers['x-ryelatch-request'])
        await failure(fleet, chain)
        await asyncio.gather(*asking)
        assert all(one.done for one in heard)
        gaps = [one.longest_gap for one in heard]
        pace = min((one.times[_AT] - one.started) / _AT for one in heard)
    return {'gap': find_percentiles(gaps), 'restart': pace * _AT}


async def measure_node_killed() -> dict[str, float]:
    """Kill a node; its callers ask again through another at once."""
    gaps = []
    async with run_fleet(make_shape(nodes=2)) as fleet:
        heard = [StreamedAnswer() for _ in range(_RUNS)]

        async def call(index: int) -> None:
            one = heard[index]
            try:
                await ask(
                    fleet.http, fleet.nodes[0], _KEY, f'q{index}', _TOKENS, one
                )
            except (OSError, aiohttp.ClientError):
                broken = time.monotonic()
                again = StreamedAnswer()
                had = len(one.times)
                await ask(
                    fleet.http,
                    fleet.nodes[1],
                    _KEY,
                    f'q{index}',
                    _TOKENS,
                    again,
                )
                gaps.append(again.times[min(had, _TOKENS - 1)] - broken)

        asking = [asyncio.create_task(call(index)) for index in range(_RUNS)]
        await fleet.wait_until(
            lambda: all(len(one.times) > _AT for one in heard)
        )
        await fleet.nodes[0].kill()
        await asyncio.gather(*asking, return_exceptions=True)
    return {'gap': find_percentiles(gaps)}


async def main() -> None:
    """Measure each failure."""
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
