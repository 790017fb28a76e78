"""Streams in progress while releases of their replicas overlap."""

import asyncio

import pytest

from fleet.releases import Release, run_releases
from fleet.running import (
    RunningNode,
    ask,
    make_configuration,
    make_event_stream,
    make_model_replicas,
    run_node,
    wait_until,
)
from standins.replica import ReplicaStandIn

_EVENTS = 40
_PAUSE_SECONDS = 0.1
_READING_SECONDS = 1.8
"""Pause of a stream that is moved; clients leave after two seconds."""

_LOAD_SECONDS = 5.0
_DRAIN_SECONDS = 1.0
_STAY_SECONDS = 3.0
_GAP_SECONDS = 0.2
_STREAMS_EACH = 3


def _make_replicas(count: int) -> list[ReplicaStandIn]:
    """Make replicas of either half of the layers.

    :param count: of each half.
    """
    replicas = make_model_replicas(*[(0, 4), (4, 8)] * count)
    for replica in replicas:
        replica.events = _EVENTS
        replica.pause = _PAUSE_SECONDS
        replica.reading_seconds = _READING_SECONDS
    return replicas


def _make_releases(replicas: list[ReplicaStandIn]) -> list[Release]:
    """Make four releases that replace all replicas, several at a time.

    The first one replaces later layers, so that their streams are moved. The
    others overlap with it and with each other.
    """
    first, later = replicas[::2], replicas[1::2]
    middle = len(first) // 2
    parts = (later[:middle], first[:middle], first[middle:], later[middle:])
    size = middle * 2 // 3
    return [
        Release(
            tuple(part),
            at,
            size,
            _GAP_SECONDS,
            _DRAIN_SECONDS,
            _STAY_SECONDS,
            _LOAD_SECONDS,
        )
        for part, at in zip(parts, (0, 0.1, 0.2, 0.3), strict=True)
    ]


async def _release(node: RunningNode, replicas: list[ReplicaStandIn]) -> None:
    """Begin the other releases when streams were moved for the first one."""
    moving, *others = _make_releases(replicas)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(run_releases(node, moving))
        await wait_until(lambda: node.count('stream-moved'))
        tasks.create_task(run_releases(node, *others))


async def _change_configuration(node: RunningNode) -> None:
    for version in range(2, 5):
        await asyncio.sleep(0.7)
        node.store.put('config', 'main', make_configuration(version))


@pytest.mark.parametrize('count', [6, 12])
async def test_streams_outlast_overlapping_releases(count: int) -> None:
    """A stream is broken off as releases of its replicas overlap."""
    replicas = _make_replicas(count)
    async with run_node(replicas, drain_seconds=_DRAIN_SECONDS) as node:
        streams = [
            asyncio.create_task(
                ask(
                    node,
                    '/plan/x',
                    identity=f'r-{number}',
                    X_Ryelatch_Deadline_Ms='10000',
                )
            )
            for number in range(_STREAMS_EACH * count)
        ]
        await wait_until(lambda: node.count('exchange-sent') == len(streams))
        await asyncio.sleep(3 * _PAUSE_SECONDS)
        await asyncio.gather(
            _release(node, replicas),
            _change_configuration(node),
        )
        answers = await asyncio.gather(*streams, return_exceptions=True)
    for answer in answers:
        assert not isinstance(answer, BaseException), answer
        assert answer[:2] == (200, make_event_stream(_EVENTS))
