"""Client of the object store: versions, conditional writes, watches."""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result

from ryelatch_core.membership import Vm
from ryelatch_core.settings import Platform
from ryelatch_node.connections import (
    BoundedConnector,
    SurplusHook,
    has_framing,
    read_bounded,
)

_MAX_RESPONSE_BYTES = 4_194_304
_MAX_WATCH_SECONDS = 5.0

_Decoded = TypeVar('_Decoded')


class StoreError(enum.Enum):
    """Why a call to the store failed."""

    MISSING = 'missing'
    """There is no such object."""

    CONFLICT = 'conflict'
    """The object doesn't have the version that the write requires."""

    UNAVAILABLE = 'out'
    """The store did not respond; a write may still have taken effect."""

    UNCHANGED = 'unchanged'
    """A watch ended without a change, or a list hasn't changed."""


@dataclass(frozen=True)
class Entry:
    """A stored object.

    :param version: version of the object, which each write increases.
    """

    body: bytes
    version: str


_REASONS = MappingProxyType(
    {
        HTTPStatus.NOT_FOUND: StoreError.MISSING,
        HTTPStatus.PRECONDITION_FAILED: StoreError.CONFLICT,
        HTTPStatus.NOT_MODIFIED: StoreError.UNCHANGED,
    }
)


def _ignore_result(*, answered: bool) -> None:
    """Ignore whether the store responded."""


def _ignore_surplus(_: str) -> None:
    """Ignore what no request waits for."""


class Store:
    """Calls to the platform's object store.

    :param platform: its address, and the timeout of a call.
    :param on_call: called after each call with whether the store responded.
    :param on_surplus: called for each connection that is closed for what no
        request waits for.
    """

    def __init__(
        self,
        platform: Platform,
        on_call: Callable[..., None] = _ignore_result,
        on_surplus: SurplusHook = _ignore_surplus,
    ) -> None:
        self._on_surplus = on_surplus
        self._platform = platform
        self._on_call = on_call
        self._session: aiohttp.ClientSession | None = None
        self._retiring: dict[aiohttp.ClientSession, asyncio.Task[None]] = {}
        self._list: list[Vm] = []
        self._list_version = ''

    async def close(self) -> None:
        """Close all connections."""
        for task in self._retiring.values():
            task.cancel()
        sessions = [*self._retiring, *filter(None, [self._session])]
        self._session = None
        await asyncio.gather(*(session.close() for session in sessions))

    async def get(self, key: str) -> Result[Entry, StoreError]:
        """Read an object."""
        return await self._call('GET', f'objects/{key}')

    async def watch(
        self,
        key: str,
        after: str,
        wait: float,
    ) -> Result[Entry, StoreError]:
        """Wait until an object has another version than a known one.

        :param after: the known version.
        :param wait: seconds after which the store responds in any case.
        """
        path = f'watch/{key}?after={after}&wait={wait}'
        return await self._call('GET', path, extra_wait=wait)

    async def create(self, key: str, body: bytes) -> Result[Entry, StoreError]:
        """Create an object if it doesn't exist."""
        return await self._call(
            'PUT', f'objects/{key}', body, {'If-None-Match': '*'}
        )

    async def update(
        self,
        key: str,
        body: bytes,
        version: str,
    ) -> Result[Entry, StoreError]:
        """Replace an object if it still has the given version."""
        return await self._call(
            'PUT', f'objects/{key}', body, {'If-Match': version}
        )

    async def delete(self, key: str, version: str) -> Result[Entry, StoreError]:
        """Delete an object if it still has the given version."""
        return await self._call(
            'DELETE', f'objects/{key}', headers={'If-Match': version}
        )

    async def list_vms(self) -> Result[list[Vm], StoreError]:
        """Read the list of live and leaving VMs; it is seconds old."""
        headers = {'If-None-Match': f'"{self._list_version}"'}
        found = await self._call('GET', 'vms', headers=headers)
        if found.is_err() and found.unwrap_err() is StoreError.UNCHANGED:
            return Ok(self._list)
        decoded = found.and_then(_decode_as(list[Vm]))
        if decoded.is_ok():
            self._list = decoded.unwrap()
            self._list_version = found.unwrap().version
        return decoded

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        extra_wait: float = 0,
    ) -> Result[Entry, StoreError]:
        timeout = aiohttp.ClientTimeout(self._platform.timeout + extra_wait)
        session = self._open()
        try:
            async with session.request(
                method,
                f'{self._platform.url}/v1/{path}',
                data=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                content = await _read_body(response)
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._replace_session(session)
            self._on_call(answered=False)
            return Err(StoreError.UNAVAILABLE)
        if response.status in _REASONS:
            self._on_call(answered=True)
            return Err(_REASONS[HTTPStatus(response.status)])
        if response.status >= HTTPStatus.BAD_REQUEST:
            self._on_call(answered=False)
            return Err(StoreError.UNAVAILABLE)
        self._on_call(answered=True)
        version = response.headers.get('ETag', '').strip('"')
        return Ok(Entry(content, version))

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=BoundedConnector(self._on_surplus),
                headers={'Authorization': f'Bearer {self._platform.token}'},
            )
        return self._session

    def _replace_session(self, unresponsive: aiohttp.ClientSession) -> None:
        """Use new connections after a call got no response.

        A network device can lose the state of open connections, which then
        never respond again while new ones work. Calls would time out one
        after the other, each on the next idle connection of the pool. So
        after the first timeout no call uses the old connections; those that
        still wait on them, such as a watch, are left to finish.
        """
        if self._session is unresponsive:
            self._session = None
            task = asyncio.create_task(self._retire(unresponsive))
            self._retiring[unresponsive] = task

    async def _retire(self, session: aiohttp.ClientSession) -> None:
        await asyncio.sleep(self._platform.timeout + _MAX_WATCH_SECONDS)
        await session.close()
        del self._retiring[session]


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Read a complete body.

    :raises ClientPayloadError: if it doesn't state where it ends: a part of
        an object would be taken for all of it.
    """
    if not has_framing(response):
        raise aiohttp.ClientPayloadError('no length')
    return await read_bounded(response, _MAX_RESPONSE_BYTES)


def _decode_as(
    kind: type[_Decoded],
) -> Callable[[Entry], Result[_Decoded, StoreError]]:
    """Make a function that decodes the body of an entry as a type."""

    def decode(entry: Entry) -> Result[_Decoded, StoreError]:
        try:
            return Ok(msgspec.json.decode(entry.body, type=kind))
        except msgspec.MsgspecError:
            return Err(StoreError.UNAVAILABLE)

    return decode


def open_store(platform: Platform) -> Store:
    """Make a client outside a node, as the command line uses it."""
    return Store(platform)
