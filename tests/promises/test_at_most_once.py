"""A non-idempotent booking or dispatch request runs at most once."""

import asyncio
import signal
from typing import Any

import pytest

from fleet.checks import book, count_runs, set_booking_faults
from fleet.fleet import Fleet, make_shape, run_fleet


def _shorten_timeout(tree: dict[str, Any]) -> None:
    tree['services']['booking']['timeout'] = 2


async def _set_store_faults(fleet: Fleet, **faults: Any) -> None:
    await fleet.control(fleet.platform, 'faults', {'match': 'claims'} | faults)


async def _wait_until_claimed(fleet: Fleet) -> None:
    async def claimed() -> bool:
        objects = await fleet.inspect(fleet.platform, 'objects')
        return any(key.startswith('claims/') for key in objects)

    await fleet.wait_for(claimed)


async def test_same_key_through_all_nodes_at_once() -> None:
    """Concurrent tries of one booking through all nodes run it twice.

    A client repeats a slow booking, and the load balancer spreads the tries
    over all nodes. One node sends it; the others must wait for its answer and
    return the same.
    """
    async with run_fleet(make_shape()) as fleet:
        await set_booking_faults(fleet, slow_answer=0.3)
        replies = await asyncio.gather(
            *(book(fleet, node, 'pallet', 'key-1') for node in fleet.nodes * 4)
        )
        assert {reply[:2] for reply in replies} == {(201, 'complete')}
        assert await count_runs(fleet) == {'pallet': 1}


async def test_same_key_for_another_request() -> None:
    """A second booking under the key of another gets the other's answer.

    The second must be refused and not run.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        await book(fleet, fleet.nodes[0], 'pallet', 'key-1')
        status, outcome, _ = await book(
            fleet, fleet.nodes[0], 'blankets', 'key-1'
        )
        assert (status, outcome) == (422, 'not-run')
        assert await count_runs(fleet) == {'pallet': 1}


async def test_store_out_before_the_claim() -> None:
    """A booking is sent without a claim while the store is unavailable.

    Without a claim, a second node could send it too. The node must send
    nothing and answer ``not-run`` at once.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        await _set_store_faults(fleet, outage=True)
        status, outcome, _ = await book(fleet, fleet.nodes[0], 'p', 'key-1')
        assert (status, outcome) == (503, 'not-run')
        assert not await count_runs(fleet)
        await _set_store_faults(fleet)
        retry = await book(fleet, fleet.nodes[0], 'p', 'key-1')
        assert retry[:2] == (201, 'complete')
        assert await count_runs(fleet) == {'p': 1}


async def test_store_out_between_claim_and_outcome() -> None:
    """The store becomes unavailable while a claimed booking runs.

    The client must get the answer nevertheless. The outcome is recorded when
    the store is back, and a try through another node gets the same answer.
    """
    async with run_fleet(make_shape(nodes=2)) as fleet:
        await set_booking_faults(fleet, slow_answer=0.5)
        booking = asyncio.create_task(book(fleet, fleet.nodes[0], 'p', 'key-1'))

        async def ran() -> bool:
            return bool(await count_runs(fleet))

        await fleet.wait_for(ran)
        await _set_store_faults(fleet, outage=True)
        assert (await booking)[:2] == (201, 'complete')
        refused = await book(fleet, fleet.nodes[1], 'p', 'key-1')
        assert refused[1] != 'complete'
        await _set_store_faults(fleet)
        retry = await book(fleet, fleet.nodes[1], 'p', 'key-1')
        assert retry[:2] == (201, 'complete')
        assert await count_runs(fleet) == {'p': 1}


async def test_claim_whose_answer_is_lost() -> None:
    """A node takes its own claim for another node's.

    The write of the claim takes effect, but its response is lost. The node
    must recognize its own mark in the record and continue; otherwise it would
    answer ``unknown`` for a booking that never ran.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        await _set_store_faults(fleet, lose=1)
        reply = await book(fleet, fleet.nodes[0], 'p', 'key-1')
        assert reply[:2] == (201, 'complete')
        assert await count_runs(fleet) == {'p': 1}


async def test_claim_that_lands_late() -> None:
    """The write of a claim takes effect half a second after its timeout.

    The node repeats the claim under the same mark. Whichever write takes
    effect first, the other fails, and the booking must run once.
    """
    async with run_fleet(make_shape(nodes=2)) as fleet:
        await _set_store_faults(fleet, late=1, late_by=2.5)
        replies = await asyncio.gather(
            *(book(fleet, node, 'p', 'key-1') for node in fleet.nodes)
        )
        assert {reply[1] for reply in replies} <= {'complete', 'not-run'}
        retry = await book(fleet, fleet.nodes[1], 'p', 'key-1')
        assert retry[:2] == (201, 'complete')
        assert await count_runs(fleet) == {'p': 1}


async def test_key_given_up_in_an_outage_is_free_again() -> None:
    """A claim stays in the store for a booking that is never sent.

    The write of the claim gets no response, and the store becomes unavailable
    right after, so the client gets ``not-run``. When the store is back, the
    claim must be released, or the next try waits without end.
    """
    async with run_fleet(make_shape(nodes=2, tweak=_shorten_timeout)) as fleet:
        await _set_store_faults(fleet, lose=1)
        booking = asyncio.create_task(book(fleet, fleet.nodes[0], 'p', 'key-1'))
        await _wait_until_claimed(fleet)
        await _set_store_faults(fleet, outage=True)
        assert (await booking)[1] == 'not-run'
        await _set_store_faults(fleet)

        async def booked() -> bool:
            reply = await book(fleet, fleet.nodes[1], 'p', 'key-1')
            return reply[0] == 201

        await fleet.wait_for(booked)
        assert await count_runs(fleet) == {'p': 1}


@pytest.mark.parametrize('step', ['claim', 'send', 'outcome'])
async def test_node_killed_at_a_step(step: str) -> None:
    """A node is killed while it holds a claim, and another sends again.

    Another node can't determine whether the booking was sent before the kill,
    so it must not send the booking again.
    """
    async with run_fleet(make_shape(nodes=2, tweak=_shorten_timeout)) as fleet:
        if step == 'claim':
            await _set_store_faults(fleet, lose=1)
        elif step == 'send':
            await set_booking_faults(fleet, slow=1.5)
        else:
            await set_booking_faults(fleet, slow_answer=1.5)
        booking = asyncio.create_task(book(fleet, fleet.nodes[0], 'p', 'key-1'))

        async def claimed() -> bool:
            objects = await fleet.inspect(fleet.platform, 'objects')
            claim_exists = any(key.startswith('claims/') for key in objects)
            ran = bool(await count_runs(fleet))
            return ran if step == 'outcome' else claim_exists

        await fleet.wait_for(claimed)
        await fleet.processes['node-a'].kill()
        assert (await booking)[1] == 'cut'
        reply = await book(fleet, fleet.processes['node-b'], 'p', 'key-1')
        assert reply[1] == 'unknown'
        assert (await count_runs(fleet)).get('p', 0) <= 1


async def test_holder_of_a_claim_is_paused() -> None:
    """A paused node sends its claimed booking after another node did.

    The node is paused after its claim and resumes when the client has given
    up; then it sends the booking. No other node may take over the claim in
    the meantime.
    """
    async with run_fleet(make_shape(nodes=2, tweak=_shorten_timeout)) as fleet:
        await _set_store_faults(fleet, lose=1)
        booking = asyncio.create_task(book(fleet, fleet.nodes[0], 'p', 'key-1'))
        await _wait_until_claimed(fleet)
        holder = fleet.processes['node-a']
        holder.send(signal.SIGSTOP)
        await _set_store_faults(fleet)
        other = await book(fleet, fleet.processes['node-b'], 'p', 'key-1')
        assert other[1] == 'unknown'
        holder.send(signal.SIGCONT)
        await booking
        assert await count_runs(fleet) == {'p': 1}


async def test_store_and_services_go_silent() -> None:
    """A booking is lost on a pooled connection that no longer responds.

    All open connections to the store and the services stop responding; new
    ones work. The claim must be repeated on a new connection after one call's
    timeout, and the booking always be sent on a connection just opened.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        node = fleet.nodes[0]

        async def all_warm() -> bool:
            await book(fleet, node, 'warm')
            runs_by_service = [
                await fleet.inspect(fleet.processes[name], 'runs')
                for name in fleet.shape.non_model
            ]
            return all(runs['runs'] for runs in runs_by_service)

        await fleet.wait_for(all_warm)
        await fleet.silence_connections(fleet.platform)
        for name in fleet.shape.non_model:
            await fleet.silence_connections(fleet.processes[name])

        async def booked() -> bool:
            return (await book(fleet, node, 'p', 'key-1'))[0] == 201

        await fleet.wait_for(booked)
        assert (await count_runs(fleet))['p'] == 1


async def test_claims_are_deleted_past_their_time() -> None:
    """Records of bookings accumulate in the store.

    Each booking leaves a record. The node that wrote the outcome must delete
    it once the answer's retention time is over; nothing else does.
    """

    def shorten_retention(tree: dict[str, Any]) -> None:
        tree['routes']['/booking']['keep_answers'] = 0.5

    async with run_fleet(make_shape(nodes=1, tweak=shorten_retention)) as fleet:
        await book(fleet, fleet.nodes[0], 'p', 'key-1')

        async def deleted() -> bool:
            objects = await fleet.inspect(fleet.platform, 'objects')
            return not any(key.startswith('claims/') for key in objects)

        await fleet.wait_for(deleted)


async def test_answer_too_large_to_keep() -> None:
    """A repeated booking gets a truncated answer.

    The first answer is larger than an object of the store may be. The repeat
    must get an error that says that the booking ran, and must not run.
    """
    async with run_fleet(make_shape(nodes=2)) as fleet:
        body = 'x' * 950_000
        first = await book(fleet, fleet.nodes[0], body, 'key-1')
        assert first[:2] == (201, 'complete')
        retry = await book(fleet, fleet.nodes[1], body, 'key-1')
        assert retry[:2] == (409, 'failed')
        assert retry[2]['error']['code'] == 'answer_not_kept'
        assert await count_runs(fleet) == {body: 1}


async def test_answer_without_an_end_is_not_kept() -> None:
    """A part of an answer may become that of each repeated booking.

    The answer has neither a length nor chunks, so its end proves little. The
    repeat must get an error that says that the booking ran.
    """
    async with run_fleet(make_shape(nodes=2)) as fleet:
        await set_booking_faults(fleet, unframed=True)
        first = await book(fleet, fleet.nodes[0], 'pallet', 'key-1')
        assert first[:2] == (201, 'complete')
        retry = await book(fleet, fleet.nodes[1], 'pallet', 'key-1')
        assert retry[:2] == (409, 'failed')
        assert retry[2]['error']['code'] == 'answer_not_kept'
        assert await count_runs(fleet) == {'pallet': 1}
