"""Layers of crashed engines are assigned to others, under a lease."""

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
    """An answer is lost when both engines of one stage are killed.

    No chain is left. A node must take the lease and assign the layers to a
    redundant engine; the answer then continues where it stopped.
    """
    async with run_fleet(make_shape()) as fleet:
        answer = StreamedAnswer()
        request_task = asyncio.create_task(
            ask(fleet.http, fleet.nodes[0], _KEY, 'wool', 300, answer)
        )
        await fleet.wait_until(lambda: len(answer.text) > 10)
        await fleet.processes['engine-1a'].kill()
        await fleet.processes['engine-1b'].kill()
        await request_task
        assert answer.text == complete_chat('wool', 12, 300)
        commands = await list_events(fleet, 'order-sent')
        assert [command['detail']['layers'] for command in commands] == ['4-8']
        assert commands[0]['detail']['reason']
        await check_layers_once(fleet)


async def test_joining_engine_is_put_to_use() -> None:
    """An engine without layers on a new VM stays unused.

    It must get the command to load the layers of the weakest stage, and
    answers must run on it.
    """
    async with run_fleet(make_shape(replicas=1)) as fleet:
        empty_engine = EngineSpec('engine-new', 'hcm-q1', 0, 0)
        engine = await fleet.start_engine(empty_engine)

        async def received_command() -> bool:
            ledger = await fleet.inspect(engine, 'ledger')
            return bool(ledger['orders'])

        await fleet.wait_for(received_command)
        await fleet.wait_connected(4)
        answers = [
            await ask(fleet.http, fleet.nodes[0], _KEY, f'{index}', 20)
            for index in range(6)
        ]
        for index, answer in enumerate(answers):
            assert answer.text == complete_chat(f'{index}', 12, 20)


async def _read_lease_holder(fleet: Fleet) -> str:
    url = f'{fleet.platform.url}/v1/objects/leases/repair/textile-care'
    headers = {'Authorization': f'Bearer {PLATFORM_TOKEN}'}
    async with fleet.http.get(url, headers=headers) as response:
        if response.status != 200:
            return ''
        lease = msgspec.msgpack.decode(await response.read(), type=Lease)
        return lease.holder


async def test_holder_of_the_lease_is_paused() -> None:
    """A node sends a command after its repair lease has expired.

    The lease holder is paused before its command. Another node takes the
    expired lease and repairs the stage. The first resumes, finds that it no
    longer holds the lease, and must send no command.
    """
    async with run_fleet(make_shape()) as fleet:
        faults = {'lose': 1, 'match': 'leases'}
        await fleet.control(fleet.platform, 'faults', faults)
        await fleet.processes['engine-1a'].kill()
        await fleet.processes['engine-1b'].kill()

        async def taken() -> bool:
            return bool(await _read_lease_holder(fleet))

        await fleet.wait_for(taken)
        first_holder = await _read_lease_holder(fleet)
        paused = fleet.processes[first_holder]
        paused.send(signal.SIGSTOP)
        other_node = next(node for node in fleet.nodes if node is not paused)

        async def repaired() -> bool:
            status = await fleet.status(other_node)
            return any(
                upstream.get('layers') == '4-8' and upstream['connected']
                for upstream in status['upstreams']
            )

        await fleet.wait_for(repaired)
        paused.send(signal.SIGCONT)
        answer = await ask(fleet.http, paused, _KEY, 'wool', 30)
        assert answer.text == complete_chat('wool', 12, 30)
        events = await list_events(fleet, 'order-sent')
        assert first_holder not in {event['process'] for event in events}
        assert {event['detail']['fence'] for event in events} == {'2'}
