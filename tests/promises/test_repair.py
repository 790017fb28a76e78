"""Layers of dead engines are given to others, under a lease."""

import asyncio
import signal

import msgspec

from fleet.caller import StreamedAnswer, ask
from fleet.checks import check_layers_once, list_events
from fleet.fleet import (
    PLATFORM_TOKEN,
    EngineSpec,
    Fleet,
    make_shape,
    run_fleet,
)
from ryelatch_core.membership import Lease
from standins.model import complete_chat

_KEY = 'ward-1-key'


async def test_all_engines_of_a_stage_die() -> None:
    """Both engines of one stage die in the middle of an answer.

    No chain is left. A node takes the lease, gives the layers to an engine
    that others can spare, and the answer goes on where it was.
    """
    async with run_fleet(make_shape()) as fleet:
        heard = StreamedAnswer()
        asking = asyncio.create_task(
            ask(fleet.http, fleet.nodes[0], _KEY, 'wool', 300, heard)
        )
        await fleet.wait_until(lambda: len(heard.text) > 10)
        await fleet.processes['engine-1a'].kill()
        await fleet.processes['engine-1b'].kill()
        await asking
        assert heard.text == complete_chat('wool', 12, 300)
        orders = await list_events(fleet, 'order-sent')
        assert [order['detail']['layers'] for order in orders] == ['4-8']
        assert orders[0]['detail']['reason']
        await check_layers_once(fleet)


async def test_joining_engine_is_put_to_use() -> None:
    """A new VM joins without warning; its engine holds no layers yet.

    It is told to hold those of the weakest stage, and answers run on it.
    """
    async with run_fleet(make_shape(replicas=1)) as fleet:
        spare = EngineSpec('engine-new', 'hcm-q1', 0, 0)
        engine = await fleet.start_engine(spare)

        async def ordered() -> bool:
            seen = await fleet.inspect(engine, 'ledger')
            return bool(seen['orders'])

        await fleet.wait_for(ordered)
        await fleet.wait_connected(4)
        heard = [
            await ask(fleet.http, fleet.nodes[0], _KEY, f'{index}', 20)
            for index in range(6)
        ]
        for index, one in enumerate(heard):
            assert one.text == complete_chat(f'{index}', 12, 20)


async def _read_holder(fleet: Fleet) -> str:
    url = f'{fleet.platform.url}/v1/objects/leases/repair/textile-care'
    headers = {'Authorization': f'Bearer {PLATFORM_TOKEN}'}
    async with fleet.http.get(url, headers=headers) as response:
        if response.status != 200:
            return ''
        lease = msgspec.msgpack.decode(await response.read(), type=Lease)
        return lease.holder


async def test_holder_of_the_lease_is_paused() -> None:
    """The node that holds the repair lease is paused before its order.

    Another node takes the lease after its time to live and mends the stage.
    The first wakes, finds that the lease is not its own, and orders nothing.
    """
    async with run_fleet(make_shape()) as fleet:
        faults = {'lose': 1, 'match': 'leases'}
        await fleet.control(fleet.platform, 'faults', faults)
        await fleet.processes['engine-1a'].kill()
        await fleet.processes['engine-1b'].kill()

        async def taken() -> bool:
            return bool(await _read_holder(fleet))

        await fleet.wait_for(taken)
        first = await _read_holder(fleet)
        holder = fleet.processes[first]
        holder.send(signal.SIGSTOP)
        other = next(node for node in fleet.nodes if node is not holder)

        async def mended() -> bool:
            status = await fleet.status(other)
            return any(
                upstream.get('layers') == '4-8' and upstream['connected']
                for upstream in status['upstreams']
            )

        await fleet.wait_for(mended)
        holder.send(signal.SIGCONT)
        heard = await ask(fleet.http, holder, _KEY, 'wool', 30)
        assert heard.text == complete_chat('wool', 12, 30)
        events = await list_events(fleet, 'order-sent')
        assert first not in {event['process'] for event in events}
        assert {event['detail']['fence'] for event in events} == {'2'}
