"""An availability zone is lost, and nodes lose each other."""

import asyncio
import signal

from fleet.caller import StreamedAnswer, ask
from fleet.checks import (
    book,
    check_layers_once,
    count_runs,
    list_events,
)
from fleet.fleet import Fleet, make_shape, run_fleet
from fleet.processes import Process
from standins.model import complete_chat

_KEY = 'ward-1-key'


async def test_zone_is_lost_in_the_middle_of_answers() -> None:
    """Every VM of one zone dies at once: engines, booking and a node.

    A node of a zone without engines has answers on those that are lost; they
    go on over engines elsewhere, and bookings go to the services that are
    left, each once.
    """
    async with run_fleet(make_shape()) as fleet:
        node = fleet.processes['node-c']
        heard = [StreamedAnswer() for _ in range(8)]
        asking = [
            asyncio.create_task(
                ask(fleet.http, node, _KEY, f'{index}', 150, one)
            )
            for index, one in enumerate(heard)
        ]
        await fleet.wait_until(lambda: all(len(one.text) > 9 for one in heard))
        lost = [
            fleet.processes[name].kill()
            for name, vm in fleet.vms.items()
            if vm['zone'] == 'hcm-q1'
        ]
        await asyncio.gather(*lost)
        replies = [
            await book(fleet, node, f'van {index}', f'key-{index}')
            for index in range(6)
        ]
        assert {reply[:2] for reply in replies} == {(201, 'complete')}
        assert set((await count_runs(fleet)).values()) == {1}
        await asyncio.gather(*asking)
        for index, one in enumerate(heard):
            assert one.text == complete_chat(f'{index}', 12, 150)
        await check_layers_once(fleet)
        assert await list_events(fleet, 'chain-lost')


async def _list_peers(fleet: Fleet, node: Process) -> list[str]:
    peers: list[str] = (await fleet.status(node))['peers']
    return peers


async def test_peer_goes_silent_and_comes_back() -> None:
    """A node is paused: its streams to peers stay open and say nothing.

    Its demand would be counted for ever. Peers drop it after some heartbeats
    without a word, and have it back when it wakes.
    """
    async with run_fleet(make_shape(replicas=1)) as fleet:
        node = fleet.nodes[0]
        paused = fleet.processes['node-b']
        paused.send(signal.SIGSTOP)

        async def dropped() -> bool:
            return 'node-b' not in await _list_peers(fleet, node)

        await fleet.wait_for(dropped)
        events = await fleet.ask_admin(node, 'timeline?peer=node-b')
        assert events[-1]['detail']['reason'] == 'silent'
        paused.send(signal.SIGCONT)

        async def back() -> bool:
            return 'node-b' in await _list_peers(fleet, node)

        await fleet.wait_for(back)
