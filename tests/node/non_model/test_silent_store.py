"""Keys in progress whose outcome is awaited while the store is silent."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from result import Err, Ok, Result

from ryelatch_node.non_model import ClaimError, Claims, Record, RecordState
from ryelatch_node.store import Entry, StoreError
from virtual.loop import VirtualClock, run

_CLAIMED = Record('mark', 'node-b', 'fingerprint')
_CALL_SECONDS = 0.5
_TIMEOUT_SECONDS = 3.0


class _Store:
    """A store in which another node holds a key.

    :param failures: watches that the store leaves without a usable answer.
    """

    def __init__(self, failures: int, reason: StoreError) -> None:
        self._failures = failures
        self._reason = reason

    async def create(self, *_: Any) -> Result[Entry, StoreError]:
        """Refuse to create the record, as it exists."""
        return Err(StoreError.CONFLICT)

    async def get(self, _: str) -> Result[Entry, StoreError]:
        """Return the record of the holder."""
        return Ok(_encode(_CLAIMED, '1'))

    async def watch(self, *_: Any) -> Result[Entry, StoreError]:
        """Fail, or return that the holder's request is done."""
        await asyncio.sleep(_CALL_SECONDS)
        if self._failures:
            self._failures -= 1
            return Err(self._reason)
        done = replace(_CLAIMED, state=RecordState.DONE, status=200)
        return Ok(_encode(done, '2'))


def _encode(record: Record, version: str) -> Entry:
    return Entry(msgspec.msgpack.encode(record), version)


async def _claim(failures: int, reason: StoreError) -> Any:
    timeline = SimpleNamespace(record=lambda *_, **options: None)
    app: Any = SimpleNamespace(clock=VirtualClock(), find=lambda *_: timeline)
    store: Any = _Store(failures, reason)
    claims = Claims(app, store, 'node-a')
    return await claims.claim('key', 'fingerprint', 60, _TIMEOUT_SECONDS)


@pytest.mark.parametrize('failures', [1, 2])
def test_silent_store_ends_no_wait_for_an_outcome(failures: int) -> None:
    """A caller is told that an answer is lost which is recorded just then."""

    async def play() -> None:
        found = await _claim(failures, StoreError.UNAVAILABLE)
        assert found.unwrap().status == 200

    run(play())


def test_wait_for_an_outcome_ends_in_an_outage() -> None:
    """A caller waits beyond its time for a store that doesn't come back."""

    async def play() -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        found = await _claim(100, StoreError.UNAVAILABLE)
        assert found.unwrap_err() is ClaimError.LOST
        assert loop.time() - started <= _TIMEOUT_SECONDS + 2 * _CALL_SECONDS

    run(play())


def test_missing_record_is_not_waited_for() -> None:
    """A caller waits for the outcome of a record that was deleted."""

    async def play() -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        found = await _claim(100, StoreError.MISSING)
        assert found.unwrap_err() is ClaimError.LOST
        assert loop.time() - started <= 2 * _CALL_SECONDS

    run(play())
