"""A non-idempotent booking or dispatch request runs at most once."""

import asyncio
import signal
from typing import Any

import pytest

from fleet.checks import book, count_runs, set_booking_faults
from fleet.fleet import Fleet, make_shape, run_fleet


def _make_short(tree: dict[str, Any]) -> None:
    tree['services']['booking']['timeout'] = 2


async def _faults(fleet: Fleet, **faults: Any) -> None:
    await fleet.control(fleet.platform, 'faults', {'match': 'claims'} | faults)


async def _wait_claimed(fleet: Fleet) -> None:
    async def claimed() -> bool:
        objects = await fleet.inspect(fleet.platform, 'objects')
        return any(key.startswith('claims/') for key in objects)

    await fleet.wait_for(claimed)


async def test_same_key_through_all_nodes_at_once() -> None:
    """A dispatcher's client sends a booking again as the first is slow.

    The balancer spreads the tries over all nodes at the same moment. One
    node sends it; the others wait for its answer and give the same.
    """
    async with run_fleet(make_shape()) as fleet:
        await set_booking_faults(fleet, slow_answer=0.3)
        replies = await asyncio.gather(
            *(book(fleet, node, 'pallet', 'key-1') for node in fleet.nodes * 4)
        )
        assert {reply[:2] for reply in replies} == {(201, 'complete')}
        assert await count_runs(fleet) == {'pallet': 1}


async def test_same_key_for_another_request() -> None:
    """A client uses one key for two different bookings.

    The answer of the first would be wrong for the second, so the second is
    refused and not run.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        await book(fleet, fleet.nodes[0], 'pallet', 'key-1')
        status, outcome, _ = await book(
            fleet, fleet.nodes[0], 'blankets', 'key-1'
        )
        assert (status, outcome) == (422, 'not-run')
        assert await count_runs(fleet) == {'pallet': 1}


async def test_store_out_before_the_claim() -> None:
    """The platform's store is out when the booking arrives.

    Without a claim nothing could stop a second node, so nothing is sent and
    the caller is told so at once.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        await _faults(fleet, outage=True)
        status, outcome, _ = await book(fleet, fleet.nodes[0], 'p', 'key-1')
        assert (status, outcome) == (503, 'not-run')
        assert not await count_runs(fleet)
        await _faults(fleet)
        again = await book(fleet, fleet.nodes[0], 'p', 'key-1')
        assert again[:2] == (201, 'complete')
        assert await count_runs(fleet) == {'p': 1}


async def test_store_out_between_claim_and_outcome() -> None:
    """The store goes out after the claim, while the booking runs.

    The caller gets the answer all the same. The outcome is recorded when the
    store is back, and a try through another node is given the same answer.
    """
    async with run_fleet(make_shape(nodes=2)) as fleet:
        await set_booking_faults(fleet, slow_answer=0.5)
        asking = asyncio.create_task(book(fleet, fleet.nodes[0], 'p', 'key-1'))

        async def ran() -> bool:
            return bool(await count_runs(fleet))

        await fleet.wait_for(ran)
        await _faults(fleet, outage=True)
        assert (await asking)[:2] == (201, 'complete')
        refused = await book(fleet, fleet.nodes[1], 'p', 'key-1')
        assert refused[1] != 'complete'
        await _faults(fleet)
        again = await book(fleet, fleet.nodes[1], 'p', 'key-1')
        assert again[:2] == (201, 'complete')
        assert await count_runs(fleet) == {'p': 1}


async def test_claim_whose_answer_is_lost() -> None:
    """The write of a claim takes effect and its answer is lost.

    The node finds its own mark in the record and goes on; a node that took
    the record for another's would answer ``unknown`` for what never ran.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        await _faults(fleet, lose=1)
        reply = await book(fleet, fleet.nodes[0], 'p', 'key-1')
        assert reply[:2] == (201, 'complete')
        assert await count_runs(fleet) == {'p': 1}


async def test_claim_that_lands_late() -> None:
    """A claim has no answer and lands half a second after it was given up.

    The node makes the claim again under the same mark; whichever lands
    first, the other fails, and the booking runs once.
    """
    async with run_fleet(make_shape(nodes=2)) as fleet:
        await _faults(fleet, late=1, late_by=2.5)
        replies = await asyncio.gather(
            *(book(fleet, node, 'p', 'key-1') for node in fleet.nodes)
        )
        assert {reply[1] for reply in replies} <= {'complete', 'not-run'}
        again = await book(fleet, fleet.nodes[1], 'p', 'key-1')
        assert again[:2] == (201, 'complete')
        assert await count_runs(fleet) == {'p': 1}


async def test_key_given_up_in_an_outage_is_free_again() -> None:
    """A claim lands without answer, and the store goes out right after.

    The caller is told ``not-run``. When the store is back the claim is set
    free, or the next try would wait for a request that nobody sends.
    """
    async with run_fleet(make_shape(nodes=2, tweak=_make_short)) as fleet:
        await _faults(fleet, lose=1)
        asking = asyncio.create_task(book(fleet, fleet.nodes[0], 'p', 'key-1'))
        await _wait_claimed(fleet)
        await _faults(fleet, outage=True)
        assert (await asking)[1] == 'not-run'
        await _faults(fleet)

        async def booked() -> bool:
            reply = await book(fleet, fleet.nodes[1], 'p', 'key-1')
            return reply[0] == 201

        await fleet.wait_for(booked)
        assert await count_runs(fleet) == {'p': 1}


@pytest.mark.parametrize('step', ['claim', 'send', 'outcome'])
async def test_node_killed_at_a_step(step: str) -> None:
    """A node dies while it holds a claim, and the client tries elsewhere.

    Whether it died before or after it sent the booking can't be seen from
    another node, so the booking is not sent again.
    """
    async with run_fleet(make_shape(nodes=2, tweak=_make_short)) as fleet:
        if step == 'claim':
            await _faults(fleet, lose=1)
        elif step == 'send':
            await set_booking_faults(fleet, slow=1.5)
        else:
            await set_booking_faults(fleet, slow_answer=1.5)
        asking = asyncio.create_task(book(fleet, fleet.nodes[0], 'p', 'key-1'))

        async def claimed() -> bool:
            objects = await fleet.inspect(fleet.platform, 'objects')
            held = any(key.startswith('claims/') for key in objects)
            ran = bool(await count_runs(fleet))
            return ran if step == 'outcome' else held

        await fleet.wait_for(claimed)
        await fleet.processes['node-a'].kill()
        assert (await asking)[1] == 'cut'
        reply = await book(fleet, fleet.processes['node-b'], 'p', 'key-1')
        assert reply[1] == 'unknown'
        assert (await count_runs(fleet)).get('p', 0) <= 1


async def test_holder_of_a_claim_is_paused() -> None:
    """A node is paused after its claim and wakes when the client has left.

    It sends what it had claimed, late. Another node that had taken the
    claim over in the meantime would have sent it too.
    """
    async with run_fleet(make_shape(nodes=2, tweak=_make_short)) as fleet:
        await _faults(fleet, lose=1)
        asking = asyncio.create_task(book(fleet, fleet.nodes[0], 'p', 'key-1'))
        await _wait_claimed(fleet)
        holder = fleet.processes['node-a']
        holder.send(signal.SIGSTOP)
        await _faults(fleet)
        other = await book(fleet, fleet.processes['node-b'], 'p', 'key-1')
        assert other[1] == 'unknown'
        holder.send(signal.SIGCONT)
        await asking
        assert await count_runs(fleet) == {'p': 1}


async def test_store_and_services_go_silent() -> None:
    """All open connections to the store and the services stop for good.

    New ones work. The claim is made on a new connection after one call's
    time, and the booking itself always goes on a connection just opened.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        node = fleet.nodes[0]

        async def all_warm() -> bool:
            await book(fleet, node, 'warm')
            seen = [
                await fleet.inspect(fleet.processes[name], 'runs')
                for name in fleet.shape.non_model
            ]
            return all(one['runs'] for one in seen)

        await fleet.wait_for(all_warm)
        await fleet.silence_connections(fleet.platform)
        for name in fleet.shape.non_model:
            await fleet.silence_connections(fleet.processes[name])

        async def booked() -> bool:
            return (await book(fleet, node, 'p', 'key-1'))[0] == 201

        await fleet.wait_for(booked)
        assert (await count_runs(fleet))['p'] == 1


async def test_claims_are_deleted_past_their_time() -> None:
    """Bookings go on for months, and each leaves a record in the store.

    Nothing else would ever delete it; past the time for which its answer is
    kept, the node that settled it does.
    """

    def forget(tree: dict[str, Any]) -> None:
        tree['routes']['/booking']['keep_answers'] = 0.5

    async with run_fleet(make_shape(nodes=1, tweak=forget)) as fleet:
        await book(fleet, fleet.nodes[0], 'p', 'key-1')

        async def deleted() -> bool:
            objects = await fleet.inspect(fleet.platform, 'objects')
            return not any(key.startswith('claims/') for key in objects)

        await fleet.wait_for(deleted)


async def test_answer_too_large_to_keep() -> None:
    """A booking's answer is larger than the store takes, and is asked again.

    Given back cut short it would look like the answer. The second caller is
    told that it ran, and it runs no second time.
    """
    async with run_fleet(make_shape(nodes=2)) as fleet:
        body = 'x' * 950_000
        first = await book(fleet, fleet.nodes[0], body, 'key-1')
        assert first[:2] == (201, 'complete')
        again = await book(fleet, fleet.nodes[1], body, 'key-1')
        assert again[:2] == (409, 'failed')
        assert again[2]['error']['code'] == 'answer_not_kept'
        assert await count_runs(fleet) == {body: 1}
