"""Tests of replicas of a soak that are processes of their own."""

import asyncio
import contextlib
import math
import signal
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import pytest
from aiohttp import ClientSession

from fleet.running import make_event_stream
from soak.processes import ReplicaProcess, start_process
from soak.world import draw_host
from standins.killable import PLAIN_PIECES, make_plain_piece
from standins.objects import ObjectStore
from standins.replica import ReplicaStandIn

_END_SECONDS = 30
"""Time until a process that doesn't end fails its test."""

_LATE_SECONDS = 1.0

_IDENTITY = {'X-Ryelatch-Request-Id': 'r-1'}
_STREAM = {**_IDENTITY, 'X-Ryelatch-Hop-Count': 'x=0-8'}
_WHOLE = {
    '/plan/x': (_STREAM, make_event_stream(5)),
    '/ping/x': (_IDENTITY, make_plain_piece('m-0') * PLAIN_PIECES),
}


@contextlib.asynccontextmanager
async def _run_process(
    folder: Path,
) -> AsyncIterator[tuple[ReplicaProcess, ClientSession]]:
    stand_in = ReplicaStandIn(
        'm-0', 'model', 'zone-a', 'big', (0, 8), store=ObjectStore()
    )
    record = folder / 'm-0.jsonl'
    record.write_bytes(b'')
    replica = await start_process(stand_in, draw_host(9), record)
    async with ClientSession(f'http://{stand_in.address}') as http:
        yield replica, http
    await replica.process.kill()


async def _wait_ended(replica: ReplicaProcess) -> None:
    async with asyncio.timeout(_END_SECONDS):
        await replica.process.child.wait()
    replica.follow()


def _delay_signals(replica: ReplicaProcess) -> None:
    """Let signals reach a process late, as on a busy machine."""
    loop = asyncio.get_running_loop()
    send = replica.process.send
    replica.process.send = partial(  # type: ignore[method-assign]
        loop.call_later, _LATE_SECONDS, send
    )


async def test_late_signal_arms_a_process(tmp_path: Path) -> None:
    """A request overtakes the signal, and its process lives on."""
    async with _run_process(tmp_path) as (replica, http):
        _delay_signals(replica)
        await replica.arm()
        headers, whole = _WHOLE['/plan/x']
        async with http.post('/plan/x', headers=headers) as response:
            assert await response.read() != whole
        await _wait_ended(replica)


@pytest.mark.parametrize('path', _WHOLE)
async def test_killed_process_ends_answers_in_order(
    path: str, tmp_path: Path
) -> None:
    """A part of an answer is reset, so that no client takes it for whole."""
    headers, whole = _WHOLE[path]
    async with _run_process(tmp_path) as (replica, http):
        await replica.arm()
        async with http.post(path, headers=headers) as response:
            part = await response.read()
        assert whole.startswith(part)
        assert part != whole
        await _wait_ended(replica)
    assert replica.stand_in.crashed_at < math.inf


async def test_killed_process_has_recorded_its_runs(tmp_path: Path) -> None:
    """What a process received is lost with it, or a refusal isn't counted."""
    async with _run_process(tmp_path) as (replica, http):
        other = {**_IDENTITY, 'X-Ryelatch-Expect-Replica': 'm-1'}
        async with http.post('/ping/x', headers=other) as refused:
            assert refused.status == 421
        await replica.arm()
        async with http.post('/plan/x', headers=_STREAM) as response:
            await response.read()
        await _wait_ended(replica)
    received = replica.stand_in
    assert [identity for identity, _ in received.received] == ['r-1', 'r-1']
    run = received.runs[0]
    assert (run.path, run.headers['X-Ryelatch-Hop-Count']) == (
        '/plan/x',
        'x=0-8',
    )
    assert received.received[1][1] <= run.at <= received.crashed_at


async def test_leaving_process_finishes_its_answers(tmp_path: Path) -> None:
    """A process that ends as planned cuts its answers off."""
    async with _run_process(tmp_path) as (replica, http):
        headers, whole = _WHOLE['/plan/x']
        async with http.post('/plan/x', headers=headers) as response:
            replica.send(signal.SIGTERM)
            assert await response.read() == whole
        await _wait_ended(replica)
    assert replica.stand_in.crashed_at == math.inf
    assert replica.stand_in.runs[0].ended < math.inf


async def test_paused_process_goes_on(tmp_path: Path) -> None:
    """A process that stood still counts as one that was lost."""
    async with _run_process(tmp_path) as (replica, http):
        replica.stand_still()
        replica.go_on()
        headers, whole = _WHOLE['/plan/x']
        async with http.post('/plan/x', headers=headers) as response:
            assert await response.read() == whole
    start, end = replica.stand_in.standstills[0]
    assert start < end < math.inf
