"""Measures the resource usage of nodes without any requests."""

import asyncio

from common import print_table, read_usage, save_result

from fleet.fleet import make_shape, run_fleet

_SECONDS = 20
_NODES = 8


async def main() -> None:
    """Measure idle nodes, and the store calls that they make."""
    async with run_fleet(make_shape(nodes=_NODES)) as fleet:
        await asyncio.sleep(3)
        before = [read_usage(node.child.pid) for node in fleet.nodes]
        calls_before = await fleet.inspect(fleet.platform, 'counts')
        await asyncio.sleep(_SECONDS)
        after = [read_usage(node.child.pid) for node in fleet.nodes]
        calls_after = await fleet.inspect(fleet.platform, 'counts')
    rows = [
        {
            'node': node.name,
            'memory_mb': late.memory / 1e6,
            'cpu_percent': (late.cpu - early.cpu) / _SECONDS * 100,
            'bytes_per_s': (late.traffic - early.traffic) / _SECONDS,
        }
        for node, early, late in zip(fleet.nodes, before, after, strict=True)
    ]
    counts = {
        name: (calls_after[name] - calls_before.get(name, 0)) / _SECONDS
        for name in calls_after
    }
    print_table(f'{_NODES} idle nodes with 6 engines', rows)
    print('store calls per second of all nodes:', counts)
    save_result(
        'idle',
        {
            'nodes': _NODES,
            'memory_mb': max(row['memory_mb'] for row in rows),
            'cpu_percent': max(row['cpu_percent'] for row in rows),
            'bytes_per_s': max(row['bytes_per_s'] for row in rows),
            'store_calls_per_s': sum(counts.values()),
            'store_calls': counts,
        },
    )


if __name__ == '__main__':
    asyncio.run(main())
