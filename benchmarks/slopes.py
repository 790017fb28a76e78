"""Measures the slopes from which the capacity page is computed.

A slope is a resource usage per unit of load, such as processor time per token.
``make slopes`` runs this.
"""

import asyncio
import itertools
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from common import print_table, read_usage, save_result
from load import stream_many

from fleet.fleet import Fleet, make_shape, run_fleet
from ryelatch_core.pipeline import Candidate, Holding, choose_chain, plan_repair
from ryelatch_core.settings import (
    Account,
    Policy,
    Settings,
    build_directory,
    split_settings,
)
from ryelatch_core.shares import Demand, FairQueue, Limits, Ticket, cap_accounts

_STEP = ('--step-ms', '40')
_UNLIMITED = Limits(10_000, 10_000)


def time_call(work: Callable[[], Any], times: int) -> float:
    """Time a call that is repeated.

    :returns: seconds of one call.
    """
    started = time.perf_counter()
    for _ in range(times):
        work()
    return (time.perf_counter() - started) / times


async def measure_cpu(fleet: Fleet, streams: int, tokens: int) -> float:
    """Measure processor seconds that the first node uses for streams."""
    node = fleet.nodes[0]
    await stream_many(fleet.http, node.url, 4, 2)
    before = read_usage(node.child.pid).cpu
    timings = await stream_many(fleet.http, node.url, streams, tokens)
    assert all(timing.done for timing in timings)
    return read_usage(node.child.pid).cpu - before


async def measure_requests() -> dict[str, float]:
    """Measure processor time per request and token, and memory per stream."""
    shape = make_shape(stages=1, replicas=1, nodes=1, options=_STEP)
    async with run_fleet(shape) as fleet:
        pid = fleet.nodes[0].child.pid
        short = sum([await measure_cpu(fleet, 100, 1) for _ in range(5)])
        long = await measure_cpu(fleet, 128, 200)
        before = read_usage(pid).memory
        request_task = asyncio.create_task(
            stream_many(fleet.http, fleet.nodes[0].url, 400, 60)
        )
        await asyncio.sleep(2)
        held = read_usage(pid).memory - before
        await request_task
    per_request = short / 500
    return {
        'cpu_us_per_request': per_request * 1e6,
        'cpu_us_per_token': (long - 128 * per_request) / (128 * 200) * 1e6,
        'memory_b_per_stream': held / 400,
    }


async def measure_stages(per_token: float) -> dict[str, float]:
    """Measure processor time per step of each stage after the first.

    Engines return either a handle of the activation or its bytes.

    :param per_token: processor microseconds per token with a single stage.
    """
    slopes = {}
    for name, size in (('handle', 8), ('bytes', 16_384)):
        options = (*_STEP, '--activation-bytes', str(size))
        shape = make_shape(stages=3, replicas=1, nodes=1, options=options)
        async with run_fleet(shape) as fleet:
            cpu_seconds = await measure_cpu(fleet, 64, 100)
        slopes[f'cpu_us_per_step_{name}'] = (
            cpu_seconds / (64 * 100) * 1e6 - per_token
        ) / 2
    return slopes


async def measure_memory() -> dict[str, float]:
    """Measure memory per client account and per connected engine."""

    def add_accounts(tree: dict[str, Any]) -> None:
        tree['accounts'] |= {
            f'extra-{index}': {'keys': [f'sha256:{index:064x}']}
            for index in range(1000)
        }

    async with run_fleet(make_shape(nodes=1, replicas=1)) as fleet:
        pid = fleet.nodes[0].child.pid
        before = read_usage(pid).memory
        path = fleet.write_settings(add_accounts)
        await fleet.run_cli('settings', 'apply', str(path))
        with_accounts = read_usage(pid).memory
        engine = fleet.vms['engine-0a']
        for index in range(300):
            name = f'linked-{index}'
            fleet.vms[name] = engine | {'name': name}
        await fleet.publish_vms()
        await fleet.wait_connected(300)
        with_links = read_usage(pid).memory
    return {
        'memory_b_per_account': (with_accounts - before) / 1000,
        'memory_b_per_engine': (with_links - with_accounts) / 300,
    }


async def measure_peers() -> dict[str, float]:
    """Measure bytes per second to a peer, and bytes of a settings change."""
    async with run_fleet(make_shape(nodes=4, replicas=1)) as fleet:
        await asyncio.sleep(1)
        before = [await fleet.status(node) for node in fleet.nodes]
        calls_before = await fleet.inspect(fleet.platform, 'counts')
        await asyncio.sleep(10)
        after = [await fleet.status(node) for node in fleet.nodes]
        calls_after = await fleet.inspect(fleet.platform, 'counts')
    sent = sum(
        late['peer_bytes'] - early['peer_bytes']
        for early, late in zip(before, after, strict=True)
    )
    part = Account(policy=Policy(weight=2), keys=(f'sha256:{0:064x}',))
    blobs = split_settings(Settings(accounts={'a': part}))
    return {
        'bytes_per_peer_s': sent / (4 * 3) / 10,
        'bytes_per_changed_part': sum(map(len, blobs.values())),
        'bytes_index_per_part': len(f'accounts/clinic-{0:04}') + 44,
        'store_calls_per_watcher_s': (
            sum(calls_after.values()) - sum(calls_before.values())
        )
        / 10
        / 4,
    }


def measure_decisions() -> list[dict[str, Any]]:
    """Measure processor time of each decision by the size of its input."""
    by_engines = [
        row
        for engines in (12, 120, 1200, 4000)
        for row in _measure_by_engines(engines)
    ]
    by_accounts = [
        row
        for accounts in (10, 100, 1000)
        for row in _measure_by_accounts(accounts)
    ]
    return by_engines + by_accounts


def _measure_by_engines(engines: int) -> list[dict[str, Any]]:
    candidates = [
        Candidate(
            f'e{index}', f'z{index % 4}', *_find_layers(index), '1', index % 7
        )
        for index in range(engines)
    ]
    zones = [f'z{index}' for index in range(4)]
    hops = dict.fromkeys(itertools.permutations(zones, 2), 0.01)
    holdings = [
        Holding(f'e{index}', *_find_layers(index)) for index in range(engines)
    ]
    choose = partial(choose_chain, candidates, 12, '1', hops)
    repair = partial(plan_repair, holdings, 12)
    return [
        _row('choose_chain', 'engines', engines, time_call(choose, 20)),
        _row('plan_repair', 'engines', engines, time_call(repair, 20)),
    ]


def _measure_by_accounts(accounts: int) -> list[dict[str, Any]]:
    demands = {
        f'a{index}': Demand(1, {f'n{node}': 3 for node in range(8)})
        for index in range(accounts)
    }
    settings = Settings(
        accounts={f'a{index}': Account() for index in range(accounts)}
    )
    cap = partial(cap_accounts, 5000, demands, 'n1', 8)
    build = partial(build_directory, settings)
    return [
        _row('take', 'accounts', accounts, _time_take(accounts)),
        _row('cap_accounts', 'accounts', accounts, time_call(cap, 10)),
        _row('build_directory', 'accounts', accounts, time_call(build, 5)),
    ]


def _find_layers(index: int) -> tuple[int, int]:
    """Return the layers of an engine: the first, and the one after the last."""
    stage = index % 3
    return stage * 4, stage * 4 + 4


def _row(name: str, by: str, size: int, seconds: float) -> dict[str, Any]:
    return {'decision': name, 'by': by, 'size': size, 'us': seconds * 1e6}


def _time_take(accounts: int) -> float:
    queue = FairQueue(1)
    for index in range(accounts * 3):
        ticket = Ticket(index, f'a{index % accounts}', 1, 1, 1e9)
        queue.offer(ticket, _UNLIMITED)

    def turn() -> None:
        taken = queue.take(0)
        if taken is not None:
            queue.finish(taken, 1)

    return time_call(turn, accounts * 2)


async def main() -> None:
    """Measure all slopes and decisions."""
    slopes = await measure_requests()
    slopes |= await measure_stages(slopes['cpu_us_per_token'])
    slopes |= await measure_memory()
    slopes |= await measure_peers()

    print_table(
        'Slopes',
        [{'slope': name, 'value': value} for name, value in slopes.items()],
    )
    decisions = measure_decisions()
    print_table('Decisions', decisions)
    save_result('slopes', {'slopes': slopes, 'decisions': decisions})


if __name__ == '__main__':
    asyncio.run(main())
