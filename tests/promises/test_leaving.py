"""An upstream that is leaving receives no new work after a few seconds."""

import asyncio
from typing import Any

import pytest

from fleet.caller import StreamedAnswer, ask
from fleet.checks import book, count_runs, read_ledgers
from fleet.fleet import Fleet, make_shape, run_fleet
from standins.model import complete_chat

_KEY = 'ward-1-key'
_LEAVING = 'engine-1b'


async def _wait_known(fleet: Fleet, name: str) -> None:
    async def known() -> bool:
        found = [await fleet.status(node) for node in fleet.nodes]
        return all(
            upstream['leaving']
            for status in found
            for upstream in status['upstreams']
            if upstream['name'] == name
        )

    await fleet.wait_for(known)


async def _list_leaving(fleet: Fleet, name: str) -> None:
    fleet.vms[name]['leaving'] = True
    await fleet.publish_vms()


async def _say_leaving(fleet: Fleet, name: str) -> None:
    await fleet.control(fleet.processes[name], 'state', {'leaving': True})


async def _say_leaving_in_outage(fleet: Fleet, name: str) -> None:
    await fleet.control(fleet.platform, 'faults', {'outage': True})
    await _say_leaving(fleet, name)


@pytest.mark.parametrize(
    'leave', [_list_leaving, _say_leaving, _say_leaving_in_outage]
)
async def test_engine_leaves(leave: Any) -> None:
    """An engine is to be replaced while answers run on it.

    The platform lists it as leaving, or it says so itself, also when the
    store is out. Its answers end whole and no node gives it a new one.
    """
    async with run_fleet(make_shape()) as fleet:
        heard = [StreamedAnswer() for _ in range(9)]
        asking = [
            asyncio.create_task(
                ask(
                    fleet.http,
                    fleet.nodes[index % 3],
                    _KEY,
                    f'answer {index}',
                    400,
                    one,
                )
            )
            for index, one in enumerate(heard)
        ]
        await fleet.wait_until(lambda: all(one.text for one in heard))
        await leave(fleet, _LEAVING)
        await _wait_known(fleet, _LEAVING)
        for node in fleet.nodes * 3:
            later = await ask(fleet.http, node, _KEY, 'later', 5)
            assert later.text == complete_chat('later', 12, 5)
            request = later.headers['x-ryelatch-request']
            engine = fleet.processes[_LEAVING]
            seen = await fleet.inspect(engine, 'ledger')
            assert request not in {entry[0] for entry in seen['ledger']}
        await asyncio.gather(*asking)
        for index, one in enumerate(heard):
            assert one.text == complete_chat(f'answer {index}', 12, 400)
        assert await read_ledgers(fleet)


async def test_plain_service_leaves() -> None:
    """A booking service is listed as leaving.

    No node sends it a new booking once it knows, and it runs none twice.
    """
    async with run_fleet(make_shape()) as fleet:
        await _list_leaving(fleet, 'booking-1')
        await _wait_known(fleet, 'booking-1')
        for index in range(12):
            node = fleet.nodes[index % 3]
            assert (await book(fleet, node, f'b{index}'))[0] == 201
        leaving = fleet.processes['booking-1']
        assert not (await fleet.inspect(leaving, 'runs'))['runs']
        assert sum((await count_runs(fleet)).values()) == 12


async def test_peers_pass_on_who_leaves() -> None:
    """One node knows that a service leaves, and the store is out.

    The list that said so reached a single node before the outage. The
    others hear it from that node.
    """
    async with run_fleet(make_shape()) as fleet:
        node = fleet.processes['node-a']
        await _say_plain_leaving(fleet, 'booking-2')
        await fleet.control(fleet.platform, 'faults', {'outage': True})
        await _wait_known(fleet, 'booking-2')
        assert (await book(fleet, node, 'x'))[0] == 201


async def _say_plain_leaving(fleet: Fleet, name: str) -> None:
    await fleet.control(fleet.processes[name], 'faults', {'leaving': True})
