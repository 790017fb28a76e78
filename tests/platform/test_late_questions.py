"""Ends of answers that a late node asks about, or that have no event."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import pytest

from fleet.processes import TESTS
from fleet.replica_processes import run_replica_process
from fleet.running import (
    MODEL_SERVICE,
    NON_MODEL_SERVICE,
    ask,
    run_node,
    wait_until,
)
from soak.processes import start_process
from soak.world import draw_host
from standins.killable import PLAIN_PIECES, make_plain_piece
from standins.replica import ReplicaStandIn

_WHOLE = make_plain_piece('b-9') * PLAIN_PIECES
_OPTIONS = (
    '--name=b-9',
    f'--service={NON_MODEL_SERVICE}',
    '--born=2000',
    '--events=5',
    '--pause=0.01',
    '--seed=b-9',
)


def _start_again(address: str, record: Path) -> subprocess.Popen[bytes]:
    """Start the next process at an address, and block until it listens."""
    host, _, port = address.partition(':')
    process = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'standins.killable',
            *_OPTIONS,
            f'--host={host}',
            f'--port={port}',
            f'--record={record}',
        ],
        cwd=TESTS,
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    assert process.stdout.readline().startswith(b'READY')
    return process


def _block_until_killed(record: Path) -> None:
    """Block the loop of the node until a process was killed."""
    while '"killed"' not in record.read_text():
        time.sleep(0.01)


@pytest.mark.parametrize('path', ['/ping/x', '/book/x'])
async def test_half_before_a_quick_restart_is_no_answer(
    path: str, tmp_path: Path
) -> None:
    """A late node takes the next process under an id for the killed one."""
    record = tmp_path / 'b-9.jsonl'
    record.write_bytes(b'')
    replica = ReplicaStandIn('b-9', NON_MODEL_SERVICE, pause=0.2)
    async with run_node([]) as node:
        replica.store = node.store
        first = await start_process(replica, draw_host(9), record)
        await wait_until(lambda: node.count('replica-listed'))
        await first.arm()
        asking = asyncio.create_task(ask(node, path))
        await wait_until(lambda: '"run"' in record.read_text())
        _block_until_killed(record)
        second = _start_again(replica.address, record)
        try:
            status, body, _ = await asking
        finally:
            second.kill()
            second.wait()
    assert status == 502 or body == _WHOLE


async def test_resumption_without_events_is_whole() -> None:
    """A stream with all of its events is broken off, as no more come.

    Its replica was killed after the last event, and the next one has nothing
    to add; its answer has no length either.
    """
    async with (
        run_node([]) as node,
        run_replica_process(node, 'm-9', MODEL_SERVICE, '--unframed'),
    ):
        status, body, _ = await ask(node, '/plan/x', Last_Event_Id='5')
    assert (status, body) == (200, b'')
