"""Idempotency keys, claimed in the store before a request is sent.

Two requests with the same key can arrive at two nodes, as the load balancer
spreads retries. The store's create-if-absent lets only one of them claim the
key. Only the node whose mark is in the record ever sends the request, no matter
how long it was paused, so claims need no lease that could expire.
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

_CLAIM_ATTEMPTS = 3
_RETRY_SECONDS = 0.5
_OUTCOME_ATTEMPTS = 240
_WATCH_SECONDS = 2.0
_SWEEP_SECONDS = 1.0


class RecordState(enum.StrEnum):
    """State of the request that an idempotency key was claimed for."""

    CLAIMED = 'claimed'
    """The node that claimed the key may have sent the request."""

    RELEASED = 'released'
    """The request was certainly not sent; the key may be claimed again."""

    DONE = 'done'
    """The answer of the request is in the record."""

    LOST = 'lost'
    """The request was sent, and its answer is lost."""


@dataclass(frozen=True)
class Record:
    """The stored record of an idempotency key.

    :param mark: unique ID of the claim, by which its owner recognises it.
    :param node: name of the node that made the claim.
    :param fingerprint: hash of the request; a different request must not use
        the same key.
    :param until: epoch seconds after which the record may be deleted.
    :param status: HTTP status of the answer; 0 if there is no answer.
    :param headers: headers of the answer.
    :param body: body of the answer.
    :param whole: whether the body was stored; it is left out if it is too large
        or may be incomplete.
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
    """A claim of an idempotency key that this node holds.

    :param key: name of the record in the store, see :func:`make_claim_key`.
    :param version: of the record in the store, for conditional writes.
    """

    key: str
    record: Record
    version: str


class ClaimError(enum.Enum):
    """Why an idempotency key could not be claimed."""

    STORE_OUT = 'store-out'
    MISMATCH = 'mismatch'
    LOST = 'lost'


Claimed = Claim | Record


class Claims:
    """Claims idempotency keys and records the outcomes of their requests.

    :param node: name of this node.
    """

    def __init__(self, app: App, store: Store, node: str) -> None:
        self._app = app
        self._store = store
        self._node = node
        self._timeline = app.find('timeline', Timeline)
        self._tasks: set[asyncio.Task[None]] = set()
        self._expiring: deque[tuple[float, str, str]] = deque()
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start deleting expired records."""
        self._sweeper = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Stop, after waiting a short time for pending writes to the store."""
        await cancel_task(self._sweeper)
        if self._tasks:
            await asyncio.wait(
                self._tasks, timeout=_RETRY_SECONDS * _CLAIM_ATTEMPTS
            )

    async def claim(
        self,
        key: str,
        fingerprint: str,
        keep: float,
        timeout: float,
    ) -> Result[Claimed, ClaimError]:
        """Claim an idempotency key, or get the answer to an earlier request.

        :param key: name of the record in the store.
        :param fingerprint: hash of the request.
        :param keep: seconds for which the record is kept.
        :param timeout: seconds to wait for the outcome of a request in
            progress with the same key.
        :returns: a claim, with which the request may be sent once, or the
            record with the answer to an earlier request with the same key.
        """
        until = self._app.clock.wall() + keep
        new_record = Record(
            uuid.uuid4().hex, self._node, fingerprint, until=until
        )
        deadline = self._app.clock.monotonic() + timeout
        entry = await self._create(key, new_record)
        if entry is None:
            self._timeline.record(catalogue.CLAIM_FAILED, key=key)
            self._spawn(self._release_unconfirmed(key, new_record))
            return Err(ClaimError.STORE_OUT)
        return await self._resolve_entry(key, new_record, entry, deadline)

    def settle(self, claim: Claim, record: Record) -> None:
        """Record an outcome in the background.

        The write is retried for some time while the store is unavailable.
        """
        self._spawn(self._write_outcome(claim, record))

    def release(self, claim: Claim) -> None:
        """Release a key whose request was certainly not sent to an upstream."""
        self.settle(claim, replace(claim.record, state=RecordState.RELEASED))

    async def _create(self, key: str, new_record: Record) -> Entry | None:
        """Create a record, or read the existing one.

        A write without a reply may take effect after the following read found
        no record. So the same record is written again. The write that takes
        effect first creates the record, with the mark in ``new_record``; the
        other write fails, because the record exists.

        :returns: the new or the existing entry; ``None`` if the store is
            unavailable, or if no attempt created or read a record. In both
            cases a write may still take effect.
        """
        body = _encode(new_record)
        for _ in range(_CLAIM_ATTEMPTS):
            written = await self._store.create(key, body)
            if written.is_ok():
                return Entry(body, written.unwrap().version)
            stored = await self._store.get(key)
            if stored.is_ok():
                return stored.unwrap()
            if stored.unwrap_err() is StoreError.UNAVAILABLE:
                return None
        return None

    def _make_claim(self, key: str, record: Record, version: str) -> Claim:
        self._timeline.record(catalogue.CLAIM_MADE, key=key)
        return Claim(key, record, version)

    async def _resolve_entry(
        self,
        key: str,
        new_record: Record,
        entry: Entry,
        deadline: float,
    ) -> Result[Claimed, ClaimError]:
        """Decide from the record in the store how to handle a request.

        :param new_record: record with which this node claims the key if it can.
        :param entry: the record in the store.
        :param deadline: when to stop waiting for a request in progress with
            the same key, in monotonic seconds.
        """
        existing = _decode(entry)
        if existing.mark == new_record.mark:
            return Ok(self._make_claim(key, new_record, entry.version))
        if existing.fingerprint != new_record.fingerprint:
            return Err(ClaimError.MISMATCH)
        if existing.state is RecordState.RELEASED:
            return await self._take_over(key, new_record, entry, deadline)
        self._timeline.record(
            catalogue.CLAIM_FOUND, key=key, state=existing.state
        )
        if existing.state is RecordState.DONE:
            return Ok(existing)
        if existing.state is RecordState.LOST:
            return Err(ClaimError.LOST)
        changed = await self._wait_for_change(key, entry, deadline)
        if changed is None:
            return Err(ClaimError.LOST)
        return await self._resolve_entry(key, new_record, changed, deadline)

    async def _wait_for_change(
        self,
        key: str,
        entry: Entry,
        deadline: float,
    ) -> Entry | None:
        """Wait until the holder of a claim changes its record.

        A store that is silent is asked again: the holder goes on meanwhile.

        :returns: the changed entry; ``None`` if the deadline passes or the
            store has no such record.
        """
        time_left = deadline - self._app.clock.monotonic()
        while time_left > 0:
            watched = await self._store.watch(
                key, entry.version, min(time_left, _WATCH_SECONDS)
            )
            if watched.is_ok():
                return watched.unwrap()
            failure = watched.unwrap_err()
            if failure is StoreError.UNAVAILABLE:
                await asyncio.sleep(_RETRY_SECONDS)
            elif failure is not StoreError.UNCHANGED:
                return None
            time_left = deadline - self._app.clock.monotonic()
        return None

    async def _take_over(
        self,
        key: str,
        new_record: Record,
        entry: Entry,
        deadline: float,
    ) -> Result[Claimed, ClaimError]:
        """Claim a key that another request released."""
        written = await self._store.update(
            key, _encode(new_record), entry.version
        )
        if written.is_ok():
            return Ok(
                self._make_claim(key, new_record, written.unwrap().version)
            )
        stored = await self._store.get(key)
        if stored.is_ok() and stored.unwrap().version != entry.version:
            return await self._resolve_entry(
                key, new_record, stored.unwrap(), deadline
            )
        self._spawn(self._release_unconfirmed(key, new_record))
        return Err(ClaimError.STORE_OUT)

    async def _write_outcome(self, claim: Claim, record: Record) -> None:
        for _ in range(_OUTCOME_ATTEMPTS):
            written = await self._store.update(
                claim.key, _encode(record), claim.version
            )
            if (
                written.is_ok()
                or written.unwrap_err() is not StoreError.UNAVAILABLE
            ):
                self._timeline.record(
                    catalogue.CLAIM_SETTLED, key=claim.key, state=record.state
                )
                if written.is_ok():
                    version = written.unwrap().version
                    self._expiring.append((record.until, claim.key, version))
                return
            await asyncio.sleep(_RETRY_SECONDS)
        self._timeline.record(catalogue.CLAIM_FAILED, key=claim.key)

    async def _release_unconfirmed(self, key: str, new_record: Record) -> None:
        """Release a key that an unanswered write may have claimed.

        The client has received the outcome ``not-run``. If the write took
        effect later, the client's next retry would wait for a request that no
        node sends. If the record exists with the mark of ``new_record``, it is
        changed to released. If no record exists, it is created as released,
        so that the unanswered write can't take effect any more.
        """
        released = _encode(replace(new_record, state=RecordState.RELEASED))
        for _ in range(_OUTCOME_ATTEMPTS):
            created = await self._store.create(key, released)
            if created.is_ok():
                return
            stored = await self._store.get(key)
            if stored.is_ok():
                entry = stored.unwrap()
                existing = _decode(entry)
                if existing.mark != new_record.mark:
                    return
                if existing.state is RecordState.RELEASED:
                    return
                await self._store.update(key, released, entry.version)
                continue
            await asyncio.sleep(_RETRY_SECONDS)

    async def _sweep(self) -> None:
        """Delete the outcomes recorded by this node once they expire.

        Records of a node that crashed stay; they only take up space in the
        store.
        """
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            now = self._app.clock.wall()
            while self._expiring and self._expiring[0][0] < now:
                _, key, version = self._expiring.popleft()
                await self._store.delete(key, version)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def make_claim_key(account: str, route: str, key: str) -> str:
    """Build the store's key for a client's idempotency key.

    The same idempotency key is distinct for each client account and route.
    """
    text = '\0'.join((account, route, key))
    return f'claims/{hashlib.sha256(text.encode()).hexdigest()}'


def fingerprint_call(method: str, path: str, body: bytes) -> str:
    """Hash a request, to detect a different request with the same key."""
    prefix = f'{method} {path}\0'.encode()
    return hashlib.sha256(prefix + body).hexdigest()


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
