"""Measures goodput with one, two, four and ten times as many clients as slots.

Goodput counts the tokens of answers that complete within the measured time.
"""

import asyncio
import time
from collections import Counter
from typing import Any

from common import print_table, save_result
from load import stream

from fleet.fleet import Fleet, make_shape, run_fleet

_SLOTS = 48
_SECONDS = 6.0
_WARM_UP_SECONDS = 2.0
_TOKENS = 30
_QUEUE_WAIT_SECONDS = 2


def _limit_slots(tree: dict[str, Any]) -> None:
    tree['models']['textile-care']['slots'] = _SLOTS
    tree['policy'] |= {
        'queue': 100,
        'queue_wait': _QUEUE_WAIT_SECONDS,
        'concurrent': 2000,
    }


async def _call(
    fleet: Fleet, number: int, end: float, counts: Counter[str]
) -> None:
    node = fleet.nodes[number % len(fleet.nodes)]
    account = ('schools', 'dispatch', 'ward-1', 'clinic-le-loi')[number % 4]
    while time.monotonic() < end:
        timing = await stream(
            fleet.http, node.url, f'{account}-key', f'{number}', _TOKENS
        )
        now = time.monotonic()
        if timing.status != 200:
            counts['refused'] += 1
            await asyncio.sleep(1 + number % 10 / 10)
        elif end - _SECONDS < now < end:
            counts['good'] += timing.tokens * timing.done


async def measure(fleet: Fleet, times: int) -> dict[str, Any]:
    """Measure with a multiple of the number of slots.

    :param times: clients per slot; each sends one request after the other.
    """
    end = time.monotonic() + _WARM_UP_SECONDS + _SECONDS
    counts: Counter[str] = Counter()
    calls = [
        asyncio.create_task(_call(fleet, number, end, counts))
        for number in range(_SLOTS * times)
    ]
    await asyncio.gather(*calls)
    return {
        'times_capacity': times,
        'tokens_per_s': counts['good'] / _SECONDS,
        'refused': counts['refused'],
    }


async def main() -> None:
    """Measure all multiples, and relate them to the best one."""
    shape = make_shape(
        tweak=_limit_slots, options=('--step-ms', '10', '--position-us', '25')
    )
    async with run_fleet(shape) as fleet:
        rows = [await measure(fleet, times) for times in (1, 2, 4, 10)]
    peak = max(row['tokens_per_s'] for row in rows)
    for row in rows:
        row['share_of_peak'] = row['tokens_per_s'] / peak
    print_table('Goodput under overload', rows)
    save_result('overload', {'slots': _SLOTS, 'rows': rows})


if __name__ == '__main__':
    asyncio.run(main())
