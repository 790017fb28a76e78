"""Compares requests through a node with requests directly to the engine."""

import asyncio

from common import find_percentiles, print_table, read_usage, save_result
from load import stream_many

from fleet.fleet import Fleet, make_shape, run_fleet

_STEP_MS = 40
_TOKENS = 100


async def measure(fleet: Fleet, streams: int) -> dict[str, float]:
    """Measure a number of streams, directly and through the node."""
    node = fleet.nodes[0]
    engine = fleet.processes['engine-0a']
    direct = await stream_many(fleet.http, engine.url, streams, _TOKENS)
    before = read_usage(node.child.pid).cpu
    routed = await stream_many(fleet.http, node.url, streams, _TOKENS)
    cpu_seconds = read_usage(node.child.pid).cpu - before
    gaps = {
        name: find_percentiles(
            [gap for timing in timings for gap in timing.gaps]
        )
        for name, timings in (('direct', direct), ('routed', routed))
    }
    first = {
        name: find_percentiles([timing.first for timing in timings])
        for name, timings in (('direct', direct), ('routed', routed))
    }
    tokens = sum(timing.tokens for timing in routed)
    assert all(timing.done for timing in routed)
    return {
        'streams': streams,
        'direct_gap_ms': gaps['direct']['p50'] * 1000,
        'routed_gap_ms': gaps['routed']['p50'] * 1000,
        'gap_ratio': gaps['routed']['p50'] / gaps['direct']['p50'],
        'added_gap_ms': (gaps['routed']['p50'] - gaps['direct']['p50']) * 1000,
        'added_first_ms': (first['routed']['p50'] - first['direct']['p50'])
        * 1000,
        'cpu_us_per_token': cpu_seconds / tokens * 1e6,
    }


async def main() -> None:
    """Measure with three numbers of streams."""
    shape = make_shape(
        stages=1, replicas=1, nodes=1, options=('--step-ms', str(_STEP_MS))
    )
    async with run_fleet(shape) as fleet:
        await stream_many(fleet.http, fleet.nodes[0].url, 8, 10)
        rows = [await measure(fleet, streams) for streams in (1, 32, 256)]
    print_table('A node against the engine alone', rows)
    save_result('overhead', {'step_ms': _STEP_MS, 'rows': rows})


if __name__ == '__main__':
    asyncio.run(main())
