"""Requests without a model whose replicas are silent for a while."""

import asyncio

import pytest

from ryelatch_core.routing import RetryPolicy
from ryelatch_node.relay._non_model import relay_non_model
from standins.plain_relay import PlainRelay, PlainReplica, count_sends
from virtual.loop import VirtualLoop, run

_DEADLINE_SECONDS = 1.5
_LONGEST_SILENCE_SECONDS = 1.4
_END_SECONDS = 0.1
"""Time in which a run that is no longer needed has ended."""


async def _relay(
    relay: PlainRelay, seconds: float = _DEADLINE_SECONDS
) -> float:
    """Relay a request; returns how long its client waited."""
    started = relay.clock.monotonic()
    request = relay.make_request(seconds)
    async with asyncio.timeout(seconds):
        await relay_non_model(relay.context, relay.exchange, request)
    return relay.clock.monotonic() - started


@pytest.mark.parametrize('silence', [0.3, 1, 1.3, _LONGEST_SILENCE_SECONDS])
def test_run_is_kept_without_a_retry(silence: float) -> None:
    """A request is given up though nothing else can be tried in its place."""

    async def play() -> None:
        relay = PlainRelay(
            [PlainReplica('b-0', silence), PlainReplica('b-1')], retries=0
        )
        relay.suspected.append('b-1')
        assert await _relay(relay) <= silence + _END_SECONDS
        assert (relay.status, relay.body) == (200, b'b-0')
        assert count_sends(relay.replicas) == 1

    run(play())


@pytest.mark.parametrize('silence', [1, 1.3, _LONGEST_SILENCE_SECONDS])
def test_run_is_kept_without_another_replica(silence: float) -> None:
    """A request is given up at the only replica there is."""

    async def play() -> None:
        relay = PlainRelay([PlainReplica('b-0', silence)])
        await _relay(relay)
        assert (relay.status, relay.body) == (200, b'b-0')
        assert relay.budget.left == 10

    run(play())


@pytest.mark.parametrize(
    'second',
    [
        PlainReplica('b-1', 0.01, status=0),
        PlainReplica('b-1', 0.01, status=500),
        PlainReplica('b-1', 0.01, status=503, refuses=True),
        PlainReplica('b-1', 10),
    ],
    ids=['broken', 'failed', 'refused', 'silent'],
)
def test_second_run_that_fails_leaves_the_first(second: PlainReplica) -> None:
    """A request loses its only run that can answer to one that can't."""

    async def play() -> None:
        first = PlainReplica('b-0', 1.2)
        relay = PlainRelay([first, second])
        relay.suspected.append('b-1')
        await _relay(relay)
        assert (relay.status, relay.body) == (200, b'b-0')
        assert not first.cancelled
        assert count_sends(relay.replicas) == 2

    run(play())


def test_run_that_is_not_needed_ends_at_once() -> None:
    """A silent replica works on a request that another one has answered."""

    async def play() -> None:
        first, second = PlainReplica('b-0', 10), PlainReplica('b-1')
        relay = PlainRelay([first, second])
        relay.suspected.append('b-1')
        await _relay(relay)
        assert (relay.status, relay.body) == (200, b'b-1')
        assert first.cancelled[0] - second.sent[0] <= _END_SECONDS
        assert not relay.load.requests.total()

    run(play())


def test_runs_that_are_kept_count() -> None:
    """A run that is kept doesn't count, and the request runs three times."""

    async def play() -> None:
        relay = PlainRelay(
            [PlainReplica(f'b-{place}', 1.45) for place in range(4)]
        )
        await _relay(relay)
        assert relay.status == 200
        assert count_sends(relay.replicas) == 2
        assert relay.budget.left == 9

    run(play())


def test_refusals_leave_the_second_run() -> None:
    """A request waits for a silent replica as another one has refused it."""

    async def play() -> None:
        relay = PlainRelay(
            [
                PlainReplica('b-0', status=503, refuses=True),
                PlainReplica('b-1', 10),
                PlainReplica('b-2'),
            ]
        )
        relay.load.requests.update({'b-1': 1, 'b-2': 2})
        await _relay(relay)
        assert (relay.status, relay.body) == (200, b'b-2')

    run(play())


def test_own_pause_is_no_silent_replica() -> None:
    """A node that had no processor time gives up a run whose answer came."""

    async def play() -> None:
        relay = PlainRelay([PlainReplica('b-0', 0.6), PlainReplica('b-1')])
        relay.suspected.append('b-1')
        relaying = asyncio.create_task(_relay(relay, 3))
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.freeze(2)
        await relaying
        assert (relay.status, relay.body) == (200, b'b-0')
        assert count_sends(relay.replicas) == 1

    run(play())


@pytest.mark.parametrize('silence', [1, _LONGEST_SILENCE_SECONDS])
def test_booking_at_a_silent_replica_runs_once(silence: float) -> None:
    """A booking is sent to a second replica as the first one is silent."""

    async def play() -> None:
        relay = PlainRelay([PlainReplica('b-0', silence), PlainReplica('b-1')])
        relay.suspected.append('b-1')
        request = relay.make_request(_DEADLINE_SECONDS, RetryPolicy.NEVER)
        await relay_non_model(relay.context, relay.exchange, request)
        assert (relay.status, relay.body) == (200, b'b-0')
        assert count_sends(relay.replicas) == 1

    run(play())
