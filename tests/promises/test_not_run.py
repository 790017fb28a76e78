"""A request that is answered with ``not-run`` did not run."""

import asyncio
from typing import Any

from fleet.caller import StreamedAnswer, ask
from fleet.checks import book, count_runs, read_ledgers, set_booking_faults
from fleet.fleet import make_shape, run_fleet

_KEY = 'ward-1-key'


def _shorten_limits(tree: dict[str, Any]) -> None:
    tree['services']['booking']['timeout'] = 1
    tree['policy'] |= {'queue': 1, 'queue_wait': 0.5}
    tree['accounts']['wards']['policy']['concurrent'] = 1


async def test_refused_before_and_in_the_queue() -> None:
    """A request over its account's limits is refused after it ran partly.

    One request exceeds the queue's length, another the queue's wait. Both
    must get ``not-run`` and ``Retry-After``, and no engine may have run a
    layer of them.
    """
    shape = make_shape(nodes=1, tweak=_shorten_limits)
    async with run_fleet(shape) as fleet:
        node = fleet.nodes[0]
        running = StreamedAnswer()
        request_task = asyncio.create_task(
            ask(fleet.http, node, _KEY, 'first', 600, running)
        )
        await fleet.wait_until(lambda: running.text)
        queued, refused = await asyncio.gather(
            ask(fleet.http, node, _KEY, 'second', 5),
            ask(fleet.http, node, _KEY, 'third', 5),
        )
        answers = sorted(
            [queued, refused], key=lambda answer: answer.error['code']
        )
        assert [answer.error['code'] for answer in answers] == [
            'queue-full',
            'queue-wait',
        ]
        for answer in answers:
            assert answer.status == 429
            assert answer.headers['x-ryelatch-outcome'] == 'not-run'
            assert int(answer.headers['retry-after']) >= 1
        request_task.cancel()
        request = running.headers['x-ryelatch-request']
        ledger = await read_ledgers(fleet)
        assert {entry[0] for entry in ledger} == {request}


async def test_booking_that_no_upstream_took() -> None:
    """A booking that no service received is answered with ``unknown``.

    All booking services are down. No connection could be opened, so nothing
    was sent and the answer must be ``not-run``; the same key must work once a
    service is back.
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
    """A booking whose connection broke before its answer is sent again.

    It has run, so a second try would book twice, and ``not-run`` would make
    the client send it again. The outcome must be ``unknown``, with and
    without a key.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        node = fleet.nodes[0]
        await set_booking_faults(fleet, lose=9)
        for key in ('', 'key-2'):
            status, outcome, _ = await book(fleet, node, f'van {key}', key)
            assert (status, outcome) == (504, 'unknown')
        assert await count_runs(fleet) == {'van ': 1, 'van key-2': 1}


async def test_booking_without_an_answer_in_time() -> None:
    """A booking that hangs in its service is answered with ``not-run``.

    The service accepts the request and sends nothing. The answer must be
    ``unknown`` after the service's timeout; a read may be repeated at another
    upstream.
    """
    shape = make_shape(nodes=1, tweak=_shorten_limits)
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
    """A request is started although a stage has no engine left.

    The node must send nothing, and answer ``not-run`` with ``Retry-After``.
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
        answer = await ask(fleet.http, fleet.nodes[0], _KEY, 'x', 5)
        assert answer.status == 503
        assert answer.headers['x-ryelatch-outcome'] == 'not-run'
        assert answer.headers['retry-after']
        assert not await read_ledgers(fleet)


async def test_engines_gone_in_the_middle() -> None:
    """An answer that lost all engines of a stage looks complete.

    The engines are killed during the answer and not replaced. Part of it ran,
    so the stream must end with ``unknown``.
    """
    async with run_fleet(make_shape(nodes=1, replicas=1)) as fleet:
        answer = StreamedAnswer()
        request_task = asyncio.create_task(
            ask(fleet.http, fleet.nodes[0], _KEY, 'x', 500, answer)
        )
        await fleet.wait_until(lambda: answer.text)
        await fleet.processes['engine-1a'].kill()
        await request_task
        assert answer.error['outcome'] == 'unknown'
        assert not answer.done


async def test_node_killed() -> None:
    """A node is killed between a booking and its answer.

    The client only sees a broken connection. A retry with the same key through
    another node must get ``unknown`` and not run the booking again.
    """
    shape = make_shape(nodes=2, tweak=_shorten_limits)
    async with run_fleet(shape) as fleet:
        await set_booking_faults(fleet, slow_answer=5)
        request_task = asyncio.create_task(
            book(fleet, fleet.nodes[0], 'van 4', 'key-4')
        )

        async def ran() -> bool:
            return bool(await count_runs(fleet))

        await fleet.wait_for(ran)
        await fleet.processes['node-a'].kill()
        assert (await request_task)[1] == 'cut'
        status, outcome, _ = await book(
            fleet, fleet.processes['node-b'], 'van 4', 'key-4'
        )
        assert (status, outcome) == (409, 'unknown')
        assert await count_runs(fleet) == {'van 4': 1}
