"""Replicas that run in processes of their own, before a node in this one."""

import contextlib
from collections.abc import AsyncIterator

from fleet.processes import Process, spawn_standin
from fleet.running import LAYERS, MODEL_SERVICE, RunningNode, wait_until
from standins.replica import ReplicaStandIn


@contextlib.asynccontextmanager
async def run_replica_process(
    node: RunningNode, name: str, service: str, *options: str
) -> AsyncIterator[tuple[Process, ReplicaStandIn]]:
    """Run a replica in a process of its own, and register it.

    :param options: of the stand-in, as on its command line.
    :returns: the process, and the replica as its entry describes it.
    """
    entry = ReplicaStandIn(name, service, store=node.store)
    if service == MODEL_SERVICE:
        entry.accelerator = 'big'
        entry.layers = (0, LAYERS)
        options += ('--accelerator', 'big', '--layers', '0', str(LAYERS))
    process = await spawn_standin(
        name, 'replica', '--name', name, '--service', service, *options
    )
    try:
        entry.address = process.address
        listed = node.count('replica-listed')
        entry.register()
        await wait_until(lambda: node.count('replica-listed') > listed)
        yield process, entry
    finally:
        await process.kill()
