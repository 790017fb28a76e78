"""An availability zone is lost, or nodes lose contact with each other."""

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
    """Answers or bookings fail when every VM of a zone is killed at once.

    A node of a zone without engines has answers on the killed engines. They
    must continue on engines of other zones, and each booking must run once,
    in a remaining service.
    """
    async with run_fleet(make_shape()) as fleet:
        node = fleet.processes['node-c']
        answers = [StreamedAnswer() for _ in range(8)]
        request_tasks = [
            asyncio.create_task(
                ask(fleet.http, node, _KEY, f'{index}', 150, answer)
            )
            for index, answer in enumerate(answers)
        ]
        await fleet.wait_until(
            lambda: all(len(answer.text) > 9 for answer in answers)
        )
        kills = [
            fleet.processes[name].kill()
            for name, vm in fleet.vms.items()
            if vm['zone'] == 'hcm-q1'
        ]
        await asyncio.gather(*kills)
        replies = [
            await book(fleet, node, f'van {index}', f'key-{index}')
            for index in range(6)
        ]
        assert {reply[:2] for reply in replies} == {(201, 'complete')}
        assert set((await count_runs(fleet)).values()) == {1}
        await asyncio.gather(*request_tasks)
        for index, answer in enumerate(answers):
            assert answer.text == complete_chat(f'{index}', 12, 150)
        await check_layers_once(fleet)
        assert await list_events(fleet, 'chain-lost')


async def _list_peers(fleet: Fleet, node: Process) -> list[str]:
    peers: list[str] = (await fleet.status(node))['peers']
    return peers


async def test_peer_goes_silent_and_comes_back() -> None:
    """The demand of a paused node is counted without end.

    Its connections to peers stay open and carry nothing. Peers must drop it
    after some missing heartbeats, and accept it again when it resumes.
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

        async def reconnected() -> bool:
            return 'node-b' in await _list_peers(fleet, node)

        await fleet.wait_for(reconnected)
