"""Layers of dead engines are given to others, under a lease."""

import asyncio
import signal

from fleet.caller import Heard, ask
from fleet.checks import check_layers_once, list_events
from fleet.fleet import EngineSpec, make_shape, run_fleet
from standins.model import complete_chat

_KEY = 'ward-1-key'


async def test_all_engines_of_a_stage_die() -> None:
    """Both engines of one stage die in the middle of an answer.

    No chain is left. A node takes the lease, gives the layers to an engine
    that others can spare, and the answer goes on where it was.
    """
    async with run_fleet(make_shape()) as fleet:
        heard = Heard()
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


async def test_holder_of_the_lease_is_paused() -> None:
    """The node that holds the repair lease is paused before its order.

    Another node takes the lease after its time to live and mends the stage.
    The first wakes, finds that the lease is not its own, and orders nothing
    more; each engine that got an order got it with the higher number.
    """
    async with run_fleet(make_shape()) as fleet:
        await fleet.processes['engine-1a'].kill()
        await fleet.processes['engine-1b'].kill()

        async def taken() -> bool:
            return bool(await list_events(fleet, 'lease-taken'))

        await fleet.wait_for(taken)
        first = (await list_events(fleet, 'lease-taken'))[0]
        holder = fleet.processes[first['process']]
        holder.send(signal.SIGSTOP)
        other = next(node for node in fleet.nodes if node is not holder)

        async def mended() -> bool:
            events = await fleet.ask_admin(other, 'status')
            return any(
                upstream.get('layers') == '4-8' and upstream['connected']
                for upstream in events['upstreams']
            )

        await fleet.wait_for(mended)
        holder.send(signal.SIGCONT)
        heard = await ask(fleet.http, other, _KEY, 'wool', 30)
        assert heard.text == complete_chat('wool', 12, 30)
        fences = [
            order['fence']
            for spec in fleet.shape.engines
            if fleet.processes[spec.name].child.returncode is None
            for order in (
                await fleet.inspect(fleet.processes[spec.name], 'ledger')
            )['orders']
        ]
        assert fences == sorted(fences)
