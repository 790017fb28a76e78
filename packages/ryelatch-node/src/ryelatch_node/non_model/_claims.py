"""Idempotency keys, claimed in the store before anything is sent.

Two requests with one key can enter at two nodes, as the balancer spreads
retries. The store's create-if-absent lets one of them through. Nobody but
the one whose mark is in the record ever sends, however late it wakes; so no
lease is needed, and none can lapse.
"""

import asyncio
import enum
import hashlib
import uuid
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass, replace
from typing import Any

import msgspec
from result import Err, Ok, Result

from ryelatch_core.events import Timeline, catalogue
from ryelatch_core.kernel import App, Service, cancel_task
from ryelatch_core.settings import Startup
from ryelatch_node.store import Entry, Store, StoreError

_TRIES = 3
_MEND_SECONDS = 0.5
_MEND_TRIES = 240
_WATCH_SECONDS = 2.0
_SWEEP_SECONDS = 1.0


class RecordState(enum.StrEnum):
    """How far a claimed request has come."""

    CLAIMED = 'claimed'
    """The node with the mark may have sent it."""

    RELEASED = 'released'
    """It was not sent, for certain; the key is free again."""

    DONE = 'done'
    """Its answer is in the record."""

    LOST = 'lost'
    """It was sent, and its answer is lost."""


@dataclass(frozen=True)
class Record:
    """What the store holds of a key.

    :param mark: unique to the claim, so that its owner knows it again.
    :param fingerprint: hash of the request; another request may not use the
        same key.
    :param whole: the body is there, not too large to be kept.
    :param until: epoch seconds after which it may be deleted.
    """

    mark: str
    node: str
    fingerprint: str
    state: RecordState = RecordState.CLAIMED
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    until: float = 0
    whole: bool = True


@dataclass(frozen=True)
class Claim:
    """A claim that this node holds."""

    key: str
    record: Record
    version: str


class ClaimError(enum.Enum):
    """Why a key could not be claimed."""

    STORE_OUT = 'store-out'
    MISMATCH = 'mismatch'
    LOST = 'lost'


Claimed = Claim | Record


class Claims:
    """Claims keys and records what became of them."""

    def __init__(self, app: App, store: Store, node: str) -> None:
        self._app = app
        self._store = store
        self._node = node
        self._timeline = app.find('timeline', Timeline)
        self._tasks: set[asyncio.Task[None]] = set()
        self._old: deque[tuple[float, str, str]] = deque()
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start deleting records past their time."""
        self._sweeper = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Wait until every outcome is recorded, as far as the store lets."""
        await cancel_task(self._sweeper)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_MEND_SECONDS * _TRIES)

    async def claim(
        self,
        key: str,
        fingerprint: str,
        keep: float,
        patience: float,
    ) -> Result[Claimed, ClaimError]:
        """Claim a key, or find what became of the one who has it.

        :param keep: seconds for which the record is kept.
        :param patience: seconds to wait for another's answer.
        :returns: a claim, with which the request may be sent once; or the
            record of an answer given before.
        """
        until = self._app.clock.wall() + keep
        mine = Record(uuid.uuid4().hex, self._node, fingerprint, until=until)
        due = self._app.clock.monotonic() + patience
        entry = await self._create(key, mine)
        if entry is None:
            self._timeline.record(catalogue.CLAIM_FAILED, key=key)
            self._spawn(self._free(key, mine))
            return Err(ClaimError.STORE_OUT)
        return await self._settle_found(key, mine, entry, due)

    def settle(self, claim: Claim, record: Record) -> None:
        """Record an outcome; go on trying in an outage of the store."""
        self._spawn(self._write_end(claim, record))

    def release(self, claim: Claim) -> None:
        """Free a key whose request was not sent, for certain."""
        self.settle(claim, replace(claim.record, state=RecordState.RELEASED))

    async def _create(self, key: str, mine: Record) -> Entry | None:
        """Create a record, or read the one that is there.

        A write without an answer that is not there may still land. It is
        made again: whichever of the two lands first bears this mark, and the
        other fails as the object exists.
        """
        body = _encode(mine)
        for _ in range(_TRIES):
            written = await self._store.create(key, body)
            if written.is_ok():
                return Entry(body, written.unwrap().version)
            found = await self._store.get(key)
            if found.is_ok():
                return found.unwrap()
            if found.unwrap_err() is StoreError.UNAVAILABLE:
                return None
        return None

    def _hold(self, key: str, record: Record, version: str) -> Claim:
        self._timeline.record(catalogue.CLAIM_MADE, key=key)
        return Claim(key, record, version)

    async def _settle_found(
        self,
        key: str,
        mine: Record,
        entry: Entry,
        due: float,
    ) -> Result[Claimed, ClaimError]:
        """Find out what a record means for this request."""
        theirs = _decode(entry)
        if theirs.mark == mine.mark:
            return Ok(self._hold(key, mine, entry.version))
        if theirs.fingerprint != mine.fingerprint:
            return Err(ClaimError.MISMATCH)
        if theirs.state is RecordState.RELEASED:
            return await self._take_over(key, mine, entry, due)
        self._timeline.record(
            catalogue.CLAIM_FOUND, key=key, state=theirs.state
        )
        if theirs.state is RecordState.DONE:
            return Ok(theirs)
        if theirs.state is RecordState.LOST:
            return Err(ClaimError.LOST)
        changed = await self._wait_change(key, entry, due)
        if changed is None:
            return Err(ClaimError.LOST)
        return await self._settle_found(key, mine, changed, due)

    async def _wait_change(
        self,
        key: str,
        entry: Entry,
        due: float,
    ) -> Entry | None:
        """Wait for the outcome of the one who holds a claim."""
        left = due - self._app.clock.monotonic()
        while left > 0:
            watched = await self._store.watch(
                key, entry.version, min(left, _WATCH_SECONDS)
            )
            if watched.is_ok():
                return watched.unwrap()
            if watched.unwrap_err() is not StoreError.UNCHANGED:
                return None
            left = due - self._app.clock.monotonic()
        return None

    async def _take_over(
        self,
        key: str,
        mine: Record,
        entry: Entry,
        due: float,
    ) -> Result[Claimed, ClaimError]:
        written = await self._store.update(key, _encode(mine), entry.version)
        if written.is_ok():
            return Ok(self._hold(key, mine, written.unwrap().version))
        found = await self._store.get(key)
        if found.is_ok() and found.unwrap().version != entry.version:
            return await self._settle_found(key, mine, found.unwrap(), due)
        self._spawn(self._free(key, mine))
        return Err(ClaimError.STORE_OUT)

    async def _write_end(self, claim: Claim, record: Record) -> None:
        for _ in range(_MEND_TRIES):
            written = await self._store.update(
                claim.key, _encode(record), claim.version
            )
            if written.is_ok() or written.unwrap_err() is not StoreError.UNAVAILABLE:
                self._timeline.record(
                    catalogue.CLAIM_SETTLED, key=claim.key, state=record.state
                )
                if written.is_ok():
                    version = written.unwrap().version
                    self._old.append((record.until, claim.key, version))
                return
            await asyncio.sleep(_MEND_SECONDS)
        self._timeline.record(catalogue.CLAIM_FAILED, key=claim.key)

    async def _free(self, key: str, mine: Record) -> None:
        """Free a key that was perhaps claimed by a write without answer.

        The caller was told ``not-run``. Were the write to land later, the
        caller's next try would wait for a request that nobody sends. Either
        the object bears this mark and is set free, or it does not exist and
        is created free, after which the lost write can't land any more.
        """
        free = _encode(replace(mine, state=RecordState.RELEASED))
        for _ in range(_MEND_TRIES):
            created = await self._store.create(key, free)
            if created.is_ok():
                return
            found = await self._store.get(key)
            if found.is_ok():
                entry = found.unwrap()
                theirs = _decode(entry)
                if theirs.mark != mine.mark:
                    return
                if theirs.state is RecordState.RELEASED:
                    return
                await self._store.update(key, free, entry.version)
                continue
            await asyncio.sleep(_MEND_SECONDS)

    async def _sweep(self) -> None:
        """Delete what this node settled and nobody may ask for any more.

        Records of a node that died stay; they cost the store room only.
        """
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            now = self._app.clock.wall()
            while self._old and self._old[0][0] < now:
                _, key, version = self._old.popleft()
                await self._store.delete(key, version)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def make_claim_key(account: str, route: str, key: str) -> str:
    """Give the store's key of an account's idempotency key on a route."""
    text = '\0'.join((account, route, key))
    return f'claims/{hashlib.sha256(text.encode()).hexdigest()}'


def fingerprint_call(method: str, path: str, body: bytes) -> str:
    """Hash a request, to tell another one with the same key."""
    head = f'{method} {path}\0'.encode()
    return hashlib.sha256(head + body).hexdigest()


def _encode(record: Record) -> bytes:
    return msgspec.msgpack.encode(record)


def _decode(entry: Entry) -> Record:
    return msgspec.msgpack.decode(entry.body, type=Record)


def setup(app: App) -> None:
    """Add the service ``claims``."""
    store = app.find('store', Store)
    claims = Claims(app, store, app.find('startup', Startup).name)
    app.add(
        Service(
            'claims',
            claims,
            ('store', 'timeline'),
            start=claims.start,
            stop=claims.stop,
        )
    )
