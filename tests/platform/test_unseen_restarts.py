"""Answers of a process that began again under its id, before a node knew."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from fleet.running import (
    LAYERS,
    MODEL_SERVICE,
    NON_MODEL_SERVICE,
    RunningNode,
    ask,
    make_event_stream,
    run_node,
    wait_until,
)
from soak.processes import ReplicaProcess, start_process
from soak.world import draw_host
from standins.killable import PLAIN_PIECES, make_plain_piece
from standins.objects import ObjectStore
from standins.replica import ReplicaStandIn

_ANSWERS = {
    MODEL_SERVICE: ('/plan/x', make_event_stream(5)),
    NON_MODEL_SERVICE: ('/ping/x', make_plain_piece('r-9') * PLAIN_PIECES),
}


@asynccontextmanager
async def _run_restarted(
    node: RunningNode, service: str, record: Path
) -> AsyncIterator[ReplicaProcess]:
    """Run a process whose entry names its start before the present one."""
    replica = ReplicaStandIn('r-9', service, store=ObjectStore())
    if service == MODEL_SERVICE:
        replica.accelerator, replica.layers = 'big', (0, LAYERS)
    record.write_bytes(b'')
    process = await start_process(replica, draw_host(9), record)
    replica.store = node.store
    replica.started_at -= 1000
    replica.register()
    await wait_until(lambda: node.count('replica-listed'))
    try:
        yield process
    finally:
        await process.process.kill()


@pytest.mark.parametrize('service', _ANSWERS)
async def test_answers_after_a_restart_are_whole(
    service: str, tmp_path: Path
) -> None:
    """Whole answers are lost as the node still lists the start before."""
    path, whole = _ANSWERS[service]
    async with (
        run_node([]) as node,
        _run_restarted(node, service, tmp_path / 'r-9.jsonl'),
    ):
        answers = await asyncio.gather(
            *(ask(node, path, identity=f'r-{number}') for number in range(8))
        )
    assert [(status, body) for status, body, _ in answers] == [(200, whole)] * 8
