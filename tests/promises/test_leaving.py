"""A leaving upstream receives no new work after a few seconds."""

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
        statuses = [await fleet.status(node) for node in fleet.nodes]
        return all(
            upstream['leaving']
            for status in statuses
            for upstream in status['upstreams']
            if upstream['name'] == name
        )

    await fleet.wait_for(known)


async def _list_leaving(fleet: Fleet, name: str) -> None:
    fleet.vms[name]['leaving'] = True
    await fleet.publish_vms()


async def _report_leaving(fleet: Fleet, name: str) -> None:
    await fleet.control(fleet.processes[name], 'state', {'leaving': True})


async def _report_leaving_in_outage(fleet: Fleet, name: str) -> None:
    await fleet.control(fleet.platform, 'faults', {'outage': True})
    await _report_leaving(fleet, name)


@pytest.mark.parametrize(
    'leave', [_list_leaving, _report_leaving, _report_leaving_in_outage]
)
async def test_engine_leaves(leave: Any) -> None:
    """An engine is leaving while answers run on it.

    The platform lists it as leaving, or it reports so itself, also when the
    store is unavailable. Its answers are completed, and no node sends it
    steps of new ones.
    """
    async with run_fleet(make_shape()) as fleet:
        received = [StreamedAnswer() for _ in range(9)]
        answering = [
            asyncio.create_task(
                ask(
                    fleet.http,
                    fleet.nodes[index % 3],
                    _KEY,
                    f'answer {index}',
                    400,
                    answer,
                )
            )
            for index, answer in enumerate(received)
        ]
        await fleet.wait_until(lambda: all(answer.text for answer in received))
        await leave(fleet, _LEAVING)
        await _wait_known(fleet, _LEAVING)
        for node in fleet.nodes * 3:
            later = await ask(fleet.http, node, _KEY, 'later', 5)
            assert later.text == complete_chat('later', 12, 5)
            request = later.headers['x-ryelatch-request']
            engine = fleet.processes[_LEAVING]
            seen = await fleet.inspect(engine, 'ledger')
            assert request not in {entry[0] for entry in seen['ledger']}
        await asyncio.gather(*answering)
        for index, answer in enumerate(received):
            assert answer.text == complete_chat(f'answer {index}', 12, 400)
        assert await read_ledgers(fleet)


async def test_plain_service_leaves() -> None:
    """The platform lists a booking service as leaving.

    A node that has read the list sends it no new booking. All bookings run
    exactly once on the others.
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
    """A service reports that it is leaving, and the store is unavailable.

    Only some nodes check the health of the service and get its report. The
    others must receive it from these nodes.
    """
    async with run_fleet(make_shape()) as fleet:
        node = fleet.processes['node-a']
        await _report_service_leaving(fleet, 'booking-2')
        await fleet.control(fleet.platform, 'faults', {'outage': True})
        await _wait_known(fleet, 'booking-2')
        assert (await book(fleet, node, 'x'))[0] == 201


async def _report_service_leaving(fleet: Fleet, name: str) -> None:
    await fleet.control(fleet.processes[name], 'faults', {'leaving': True})
