"""Requests to nodes that have just started, in virtual time."""

import asyncio
import json
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from ryelatch_core.events import LineLog
from ryelatch_node.ports import RequestMetadata
from ryelatch_node.relay._errors import ClientGone
from ryelatch_node.relay._ingress import Ingress
from ryelatch_node.relay._initial_sync import (
    MAX_BYTES,
    MAX_REQUESTS,
    InitialSync,
    PendingRequest,
)
from virtual.loop import VirtualClock, run

_STREAM_SECONDS = 20.0
_PLAIN_SECONDS = 1.0

_STREAM_ABANDONED_SECONDS = 2.0
"""Time without an event after which a client leaves a stream."""

_ANSWER_SECONDS = 0.25
"""Time of a plain answer, or of a retry, of which a client needs one."""

_TOLERANCE_SECONDS = 0.02
"""Interval at which the views are polled, twice."""


class _Node:
    """A node that has just started, without configuration and lists."""

    def __init__(self) -> None:
        self.store_out = False
        self.lines: list[dict[str, Any]] = []
        clock = VirtualClock()
        self.context: Any = SimpleNamespace(
            configuration=SimpleNamespace(table=None, version=0, age=0.0),
            replicas=SimpleNamespace(listed=False),
            clock=clock,
            now=clock.monotonic,
            log=LineLog('node-a', clock, self._write_line),
        )
        self.sync = InitialSync(self.context, lambda: self.store_out)

    def apply_lists(self) -> None:
        """Receive the configuration and the first list of replicas."""
        self.context.configuration.table = object()
        self.context.replicas.listed = True

    async def wait(
        self, patience: float | None, size: int = 0, leaves: float = 1000.0
    ) -> float:
        """Let a request wait, and return for how long it did.

        :param leaves: seconds after which its client disconnects.
        """
        now = self.context.now()
        pending = PendingRequest(size, now, patience)
        return await self.sync.wait(pending, _make_receive(leaves))

    def _write_line(self, line: bytes) -> int:
        self.lines.append(json.loads(line))
        return len(line)


def _make_receive(leaves: float) -> Callable[[], Any]:
    async def receive() -> dict[str, Any]:
        await asyncio.sleep(leaves)
        return {'type': 'http.disconnect'}

    return receive


@pytest.mark.parametrize('patience', [None, _STREAM_SECONDS, 1.5])
def test_all_come_back_at_once(patience: float | None) -> None:
    """All nodes have just started, and refuse all clients that come back.

    The lists take longer than usual, as all nodes request them at once.
    """

    async def play() -> None:
        node = _Node()
        waits = []
        for _ in range(200):
            waits.append(asyncio.create_task(node.wait(patience)))
            await asyncio.sleep(0.002)
        await asyncio.sleep(0.2)
        assert not any(task.done() for task in waits)
        node.apply_lists()
        await asyncio.sleep(_TOLERANCE_SECONDS)
        assert all(task.done() for task in waits)
        assert await node.wait(patience) == 0

    run(play())


@pytest.mark.parametrize('patience', [0.2, _PLAIN_SECONDS, 1.2])
def test_time_for_another_attempt_remains(patience: float) -> None:
    """A client waits for a node without lists until its own deadline."""

    async def play() -> None:
        waited = await _Node().wait(patience)
        assert patience - waited >= patience / 2 - _TOLERANCE_SECONDS

    run(play())


@pytest.mark.parametrize('patience', [None, _STREAM_SECONDS])
def test_stream_is_refused_before_client_leaves(
    patience: float | None,
) -> None:
    """A client leaves a stream that is held, and gets no refusal to retry."""

    async def play() -> None:
        waited = await _Node().wait(patience)
        assert waited < _STREAM_ABANDONED_SECONDS - _ANSWER_SECONDS

    run(play())


@pytest.mark.parametrize('patience', [0.0, -1.0])
def test_request_without_time_is_refused_at_once(patience: float) -> None:
    """A request that can't be served any more is held."""

    async def play() -> None:
        assert await _Node().wait(patience) < _TOLERANCE_SECONDS

    run(play())


def test_clients_of_an_outage_are_refused_soon() -> None:
    """A node that starts in an outage holds clients that others can serve."""

    async def play() -> None:
        node = _Node()
        node.store_out = True
        assert await node.wait(_STREAM_SECONDS) <= 0.3 + _TOLERANCE_SECONDS
        await asyncio.sleep(1)
        assert await node.wait(_STREAM_SECONDS) < _TOLERANCE_SECONDS
        node.store_out = False
        await asyncio.sleep(_TOLERANCE_SECONDS)
        waiting = asyncio.create_task(node.wait(_STREAM_SECONDS))
        await asyncio.sleep(0.5)
        assert not waiting.done()
        node.apply_lists()
        assert await waiting <= 0.5 + _TOLERANCE_SECONDS

    run(play())


@pytest.mark.parametrize(
    ('size', 'held'),
    [
        (0, MAX_REQUESTS),
        (MAX_BYTES // 4, 4),
        (MAX_BYTES + 1, 0),
    ],
)
def test_what_waits_is_bounded(size: int, held: int) -> None:
    """Clients that come back fill the memory of a node without lists."""

    async def play() -> None:
        node = _Node()
        waits = [
            asyncio.create_task(node.wait(_STREAM_SECONDS, size))
            for _ in range(held + 5)
        ]
        await asyncio.sleep(_TOLERANCE_SECONDS)
        assert sum(not task.done() for task in waits) == held
        node.apply_lists()
        await asyncio.gather(*waits)
        node.context.replicas.listed = False
        waiting = asyncio.create_task(node.wait(_STREAM_SECONDS))
        await asyncio.sleep(_TOLERANCE_SECONDS)
        assert not waiting.done()
        waiting.cancel()

    run(play())


def test_client_that_left_frees_its_place() -> None:
    """Clients that left keep others from waiting, and are served later."""

    async def play() -> None:
        node = _Node()
        size = MAX_BYTES
        with pytest.raises(ClientGone):
            await node.wait(_STREAM_SECONDS, size, leaves=0.1)
        waiting = asyncio.create_task(node.wait(_STREAM_SECONDS, size))
        await asyncio.sleep(_TOLERANCE_SECONDS)
        assert not waiting.done()
        waiting.cancel()

    run(play())


async def _serve(
    node: _Node, patience: float, leaves: float
) -> list[dict[str, Any]]:
    """Serve a request, and return the messages that its client receives."""
    terms = RequestMetadata('r-1', patience, '')
    node.context.wire = SimpleNamespace(read_request=lambda _: terms)
    ingress = Ingress(
        node.context,
        SimpleNamespace(),  # type: ignore[arg-type]
        SimpleNamespace(),  # type: ignore[arg-type]
        lambda: node.store_out,
    )
    body = {'type': 'http.request', 'body': b'{}', 'more_body': False}
    incoming = iter([body])
    disconnect = _make_receive(leaves)
    sent: list[dict[str, Any]] = []

    async def receive() -> Any:
        return next(incoming, None) or await disconnect()

    async def send(message: Any) -> None:
        sent.append(message)

    await ingress.serve({'type': 'http', 'headers': []}, receive, send)
    assert not ingress.open_requests
    return sent


def test_refused_client_learns_when_to_retry() -> None:
    """A client that waited in vain is refused without a time to retry."""

    async def play() -> None:
        node = _Node()
        start, _ = await _serve(node, _PLAIN_SECONDS, leaves=1000.0)
        assert start['status'] == 503
        retry_after = float(dict(start['headers'])[b'retry-after'])
        assert 0 < retry_after <= _PLAIN_SECONDS / 2
        line = node.lines.pop()
        assert line['name'] == 'exchange-refused'
        assert line['sync_wait'] <= _PLAIN_SECONDS / 2 + _TOLERANCE_SECONDS

    run(play())


def test_client_that_left_is_not_served() -> None:
    """A request of a client that left is sent to a replica all the same."""

    async def play() -> None:
        node = _Node()
        asyncio.get_running_loop().call_later(0.3, node.apply_lists)
        assert not await _serve(node, _STREAM_SECONDS, leaves=0.1)
        assert [line['name'] for line in node.lines] == ['exchange-left']

    run(play())
