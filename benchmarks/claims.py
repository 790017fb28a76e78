"""Measures bookings with claims: requests per second, and store writes.

Three nodes take the bookings. Those with an idempotency key are claimed at the
store before they are sent to a service; the others are not.
"""

import asyncio
import time

from common import find_percentiles, print_table, save_result

from fleet.checks import book, count_runs
from fleet.fleet import Fleet, make_shape, run_fleet

_SECONDS = 6.0


async def measure(
    fleet: Fleet, clients: int, *, keyed: bool
) -> dict[str, float]:
    """Measure bookings by clients that send one after the other.

    :param clients: number of clients.
    :param keyed: whether bookings have an idempotency key.
    """
    end = time.monotonic() + _SECONDS
    times: list[float] = []

    async def call(number: int) -> None:
        sent = 0
        while time.monotonic() < end:
            sent += 1
            name = f'{clients}-{number}-{sent}-{keyed}'
            started = time.monotonic()
            node = fleet.nodes[number % len(fleet.nodes)]
            await book(fleet, node, name, name if keyed else '')
            times.append(time.monotonic() - started)

    before = await fleet.inspect(fleet.platform, 'counts')
    await asyncio.gather(*(call(number) for number in range(clients)))
    after = await fleet.inspect(fleet.platform, 'counts')
    writes = after.get('PUT objects', 0) - before.get('PUT objects', 0)
    return {
        'callers': clients,
        'keyed': keyed,
        'requests_per_s': len(times) / _SECONDS,
        'writes_per_request': writes / len(times),
        'p50_ms': find_percentiles(times)['p50'] * 1000,
        'p99_ms': find_percentiles(times)['p99'] * 1000,
    }


async def main() -> None:
    """Measure bookings with and without an idempotency key."""
    async with run_fleet(make_shape(replicas=1)) as fleet:
        rows = [
            await measure(fleet, clients, keyed=keyed)
            for clients in (1, 32)
            for keyed in (False, True)
        ]
        assert set((await count_runs(fleet)).values()) == {1}
    print_table('Bookings, with and without a claim', rows)
    save_result('claims', {'rows': rows})


if __name__ == '__main__':
    asyncio.run(main())
