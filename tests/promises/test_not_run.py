"""When a caller is told "not run", it did not run."""

import asyncio
from typing import Any

from fleet.caller import StreamedAnswer, ask
from fleet.checks import book, count_runs, read_ledgers, set_booking_faults
from fleet.fleet import make_shape, run_fleet

_KEY = 'ward-1-key'


def _make_short(tree: dict[str, Any]) -> None:
    tree['services']['booking']['timeout'] = 1
    tree['policy'] |= {'queue': 1, 'queue_wait': 0.5}
    tree['accounts']['wards']['policy']['concurrent'] = 1


async def test_refused_before_and_in_the_queue() -> None:
    """A ward sends more than it may, and some of it is turned away.

    Who is turned away is told so at once, with when to come back, and no
    engine has run a layer of it.
    """
    shape = make_shape(nodes=1, tweak=_make_short)
    async with run_fleet(shape) as fleet:
        node = fleet.nodes[0]
        first = StreamedAnswer()
        asking = asyncio.create_task(
            ask(fleet.http, node, _KEY, 'first', 600, first)
        )
        await fleet.wait_until(lambda: first.text)
        waiting, refused = await asyncio.gather(
            ask(fleet.http, node, _KEY, 'second', 5),
            ask(fleet.http, node, _KEY, 'third', 5),
        )
        told = sorted([waiting, refused], key=lambda one: one.error['code'])
        assert [one.error['code'] for one in told] == [
            'queue-full',
            'queue-wait',
        ]
        for one in told:
            assert one.status == 429
            assert one.headers['x-ryelatch-outcome'] == 'not-run'
            assert int(one.headers['retry-after']) >= 1
        asking.cancel()
        request = first.headers['x-ryelatch-request']
        ledger = await read_ledgers(fleet)
        assert {entry[0] for entry in ledger} == {request}


async def test_booking_that_no_upstream_took() -> None:
    """All booking services are down when a flood call arrives.

    No connection could be opened, so nothing was sent: ``not-run`` is
    certain, and the same key goes through once a service is back.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        for name in fleet.shape.non_model:
            await fleet.processes[name].kill()
        node = fleet.nodes[0]
        status, outcome, _ = await book(fleet, node, 'van 1', 'key-1')
        assert (status, outcome) == (503, 'not-run')
        await fleet.start_non_model('booking-1', 'hcm-q1')

        async def booked() -> bool:
            return (await book(fleet, node, 'van 1', 'key-1'))[0] == 201

        await fleet.wait_for(booked)
        assert await count_runs(fleet) == {'van 1': 1}


async def test_booking_whose_answer_is_lost() -> None:
    """The booking ran, and the connection broke before its answer came.

    A second try could send two vans; ``not-run`` would make the dispatcher
    send it again. The outcome is ``unknown``, with and without a key.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        node = fleet.nodes[0]
        await set_booking_faults(fleet, lose=9)
        for key in ('', 'key-2'):
            status, outcome, _ = await book(fleet, node, f'van {key}', key)
            assert (status, outcome) == (504, 'unknown')
        assert await count_runs(fleet) == {'van ': 1, 'van key-2': 1}


async def test_booking_without_an_answer_in_time() -> None:
    """The booking service takes the request and hangs.

    The caller is told ``unknown`` when the service's time is over, and a
    read, which may be repeated, is sent to another upstream instead.
    """
    shape = make_shape(nodes=1, tweak=_make_short)
    async with run_fleet(shape) as fleet:
        node = fleet.nodes[0]
        await set_booking_faults(fleet, hang=1)
        status, outcome, _ = await book(fleet, node, 'van 3')
        assert (status, outcome) == (504, 'unknown')
        await set_booking_faults(fleet, lose=1)
        async with fleet.http.get(
            f'{node.url}/booking/vans',
            headers={'Authorization': f'Bearer {_KEY}'},
        ) as response:
            assert response.status in {201, 504}


async def test_no_chain_of_engines() -> None:
    """All engines of a stage are gone, and none takes their place.

    The node knows and sends nothing, so the caller is told ``not-run`` and
    when to come back.
    """
    async with run_fleet(make_shape(nodes=1, replicas=1)) as fleet:
        await fleet.processes['engine-0a'].kill()

        async def noticed() -> bool:
            status = await fleet.status(fleet.nodes[0])
            return not any(
                upstream['connected']
                for upstream in status['upstreams']
                if upstream['name'] == 'engine-0a'
            )

        await fleet.wait_for(noticed)
        told = await ask(fleet.http, fleet.nodes[0], _KEY, 'x', 5)
        assert told.status == 503
        assert told.headers['x-ryelatch-outcome'] == 'not-run'
        assert told.headers['retry-after']
        assert not await read_ledgers(fleet)


async def test_engines_gone_in_the_middle() -> None:
    """All engines of a stage die in the middle of an answer, for good.

    Part of it ran, so the caller reads ``unknown`` at the end of the stream,
    never an answer that only looks whole.
    """
    async with run_fleet(make_shape(nodes=1, replicas=1)) as fleet:
        heard = StreamedAnswer()
        asking = asyncio.create_task(
            ask(fleet.http, fleet.nodes[0], _KEY, 'x', 500, heard)
        )
        await fleet.wait_until(lambda: heard.text)
        await fleet.processes['engine-1a'].kill()
        await asking
        assert heard.error['outcome'] == 'unknown'
        assert not heard.done


async def test_node_killed() -> None:
    """The node itself dies between a booking and its answer.

    The caller sees a broken connection, which says nothing; asked again
    with the same key through another node, it is told ``unknown``.
    """
    shape = make_shape(nodes=2, tweak=_make_short)
    async with run_fleet(shape) as fleet:
        await set_booking_faults(fleet, slow_answer=5)
        asking = asyncio.create_task(
            book(fleet, fleet.nodes[0], 'van 4', 'key-4')
        )

        async def ran() -> bool:
            return bool(await count_runs(fleet))

        await fleet.wait_for(ran)
        await fleet.processes['node-a'].kill()
        assert (await asking)[1] == 'cut'
        status, outcome, _ = await book(
            fleet, fleet.processes['node-b'], 'van 4', 'key-4'
        )
        assert (status, outcome) == (409, 'unknown')
        assert await count_runs(fleet) == {'van 4': 1}
