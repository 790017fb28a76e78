"""Replaces replicas while a node runs, as operators do."""

import asyncio
from dataclasses import dataclass

from fleet.running import RunningNode
from standins.replica import ReplicaStandIn


@dataclass(frozen=True)
class Release:
    """A part of the replicas that is replaced, some at a time.

    :param at: seconds until it begins.
    :param size: number of replicas that are replaced at a time.
    :param gap: seconds between two steps.
    :param listens: seconds for which each replica that leaves still listens.
    :param stays: seconds for which it stays at least after that.
    :param load_seconds: time that each new replica takes to load layers.
    """

    replicas: tuple[ReplicaStandIn, ...]
    at: float
    size: int
    gap: float
    listens: float
    stays: float
    load_seconds: float


async def run_releases(node: RunningNode, *releases: Release) -> None:
    """Run releases, each beside the others, until all replicas have left."""
    async with asyncio.TaskGroup() as tasks:
        for release in releases:
            tasks.create_task(_run(node, release, tasks))


async def _run(
    node: RunningNode, release: Release, tasks: asyncio.TaskGroup
) -> None:
    await asyncio.sleep(release.at)
    for start in range(0, len(release.replicas), release.size):
        for replica in release.replicas[start : start + release.size]:
            await node.add(_make_next(replica, release.load_seconds))
            tasks.create_task(replica.leave(release.listens, release.stays))
        await asyncio.sleep(release.gap)


def _make_next(replica: ReplicaStandIn, load_seconds: float) -> ReplicaStandIn:
    """Make the empty replica that takes the place of one."""
    return ReplicaStandIn(
        f'{replica.name}-next',
        replica.service,
        replica.zone,
        replica.accelerator,
        events=replica.events,
        pause=replica.pause,
        load_seconds=load_seconds,
        reading_seconds=replica.reading_seconds,
    )
