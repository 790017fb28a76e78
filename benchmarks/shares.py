"""Measures how small client accounts are served during a surge of large ones.

The requests of all accounts arrive over several nodes.
"""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from common import find_percentiles, print_table, save_result
from load import Timing, stream

from fleet.fleet import Fleet, make_shape, run_fleet

_SLOTS = 48
_SECONDS = 8.0
_SURGE = 480
_TOKENS = 30
_SMALL_TOKENS = 8
_NODES = 8
_SMALL = (
    'ward-1',
    'ward-3',
    'ward-5',
    'ward-binh-thanh',
    'ward-thu-duc',
    'clinic-nguyen-trai',
    'clinic-le-loi',
    'clinic-cho-ray',
)
_LARGE = {'schools': 1, 'dispatch': 3}


@dataclass
class Run:
    """The measurements of one run.

    :param small: answers of the small accounts.
    :param tokens: tokens of the large accounts in the measured time.
    :param refused: refused requests of the large accounts.
    """

    small: list[Timing] = field(default_factory=list)
    tokens: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True)
class Scenario:
    """The conditions of a run.

    :param surge: number of clients of the large accounts.
    :param nodes: number of nodes that receive the surge.
    :param key: maps the name of an account to the key that its clients use.
    :param tweak: changes the settings.
    :param isolate_nodes: whether nodes refuse each other's connections.
    :param kill: whether an engine is killed during the run.
    """

    name: str
    surge: int
    nodes: int = _NODES
    key: Callable[[str], str] = '{}-key'.format
    tweak: Callable[[dict[str, Any]], object] = lambda tree: None
    isolate_nodes: bool = False
    kill: bool = False


def _set_weights(tree: dict[str, Any]) -> None:
    tree['models']['textile-care']['slots'] = _SLOTS
    tree['policy'] |= {'queue': 2000, 'queue_wait': 60, 'concurrent': 2000}
    accounts = tree['accounts']['large']['accounts']
    tree['accounts']['large']['policy'] = {}
    tree['accounts']['wards']['policy'] = {}
    for name, weight in _LARGE.items():
        accounts[name]['policy'] = {'weight': weight}


def _limit_requests(tree: dict[str, Any]) -> None:
    """Limit requests only: with this many slots, shares have no effect."""
    tree['models']['textile-care']['slots'] = 100_000
    tree['policy']['concurrent'] = 2000


async def _call_small(
    fleet: Fleet, run: Run, scenario: Scenario, account: str, end: float
) -> None:
    nodes = itertools.cycle(fleet.nodes)
    while time.monotonic() < end:
        node = next(nodes)
        timing = await stream(
            fleet.http,
            node.url,
            scenario.key(account),
            f'{account} asks',
            _SMALL_TOKENS,
        )
        run.small.append(timing)
        await asyncio.sleep(0.1)


async def _call_large(
    fleet: Fleet, run: Run, scenario: Scenario, number: int, end: float
) -> None:
    account = list(_LARGE)[number % 2]
    node = fleet.nodes[number // 2 % scenario.nodes]
    measured_from = end - _SECONDS * 0.6
    while time.monotonic() < end:
        timing = await stream(
            fleet.http,
            node.url,
            scenario.key(account),
            f'{account} asks {number}',
            _TOKENS,
        )
        if timing.status != 200:
            run.refused[account] += 1
            await asyncio.sleep(1)
        run.tokens[account] += sum(
            1 for arrival in timing.arrivals if measured_from < arrival < end
        )


async def measure(scenario: Scenario) -> dict[str, Any]:
    """Measure one scenario."""

    def tweak(tree: dict[str, Any]) -> None:
        _set_weights(tree)
        scenario.tweak(tree)

    shape = make_shape(
        nodes=_NODES,
        tweak=tweak,
        options=('--step-ms', '10', '--position-us', '25'),
    )
    run = Run()
    async with run_fleet(shape, isolate_nodes=scenario.isolate_nodes) as fleet:
        end = time.monotonic() + _SECONDS
        calls = [
            asyncio.create_task(_call_large(fleet, run, scenario, number, end))
            for number in range(scenario.surge)
        ]
        await asyncio.sleep(1 if scenario.surge else 0)
        small = [
            asyncio.create_task(_call_small(fleet, run, scenario, account, end))
            for account in _SMALL
        ]
        if scenario.kill:
            await asyncio.sleep(2)
            await fleet.processes['engine-1b'].kill()
        await asyncio.gather(*small)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
    first = find_percentiles(
        [timing.first for timing in run.small if timing.arrivals]
    )
    gaps = find_percentiles(
        [gap for timing in run.small for gap in timing.gaps]
    )
    total = sum(run.tokens.values())
    return {
        'scenario': scenario.name,
        'small_answers': sum(timing.done for timing in run.small),
        'first_p50': first['p50'],
        'first_p95': first['p95'],
        'first_p99': first['p99'],
        'gap_p50': gaps['p50'],
        'gap_p99': gaps['p99'],
        'large_tokens': total,
        'heavy_share': run.tokens['dispatch'] / total if total else None,
    }


_SCENARIOS = (
    Scenario('no surge', 0),
    Scenario('surge, all nodes', _SURGE),
    Scenario('surge, one node', _SURGE, nodes=1),
    Scenario('surge and a stage killed', _SURGE, kill=True),
    Scenario('no news between nodes', _SURGE, isolate_nodes=True),
    Scenario(
        'first come first served',
        _SURGE,
        key=lambda account: 'schools-key',
    ),
    Scenario('limit on requests only', _SURGE, tweak=_limit_requests),
)


async def main() -> None:
    """Measure all scenarios, and relate them to the one without a surge."""
    rows = [await measure(scenario) for scenario in _SCENARIOS]
    baseline = rows[0]
    for row in rows:
        for name in ('first_p50', 'first_p95', 'first_p99', 'gap_p99'):
            row[f'{name}_ratio'] = row[name] / baseline[name]
    print_table('Small accounts while large ones surge', rows)
    save_result('shares', {'slots': _SLOTS, 'surge': _SURGE, 'rows': rows})


if __name__ == '__main__':
    asyncio.run(main())
