"""Client of the object API: versions, conditional updates, watches."""

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

_MAX_ANSWER = 4_194_304
_LONGEST_WATCH = 5.0

_Decoded = TypeVar('_Decoded')


class StoreError(enum.Enum):
    """Why a call did not do what was asked."""

    MISSING = 'missing'
    """There is no such object."""

    CONFLICT = 'conflict'
    """The object is not in the version that the write demands."""

    UNAVAILABLE = 'out'
    """No answer; a write may have taken effect all the same."""

    UNCHANGED = 'unchanged'
    """A watch ended without a change."""


@dataclass(frozen=True)
class Entry:
    """An object as read.

    :param version: grows with each write of the object.
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


def _ignore(*, answered: bool) -> None:
    """Take note of nothing."""


class Store:
    """Calls to the platform.

    :param platform: where it is and how long one call may take.
    :param note: told after each call whether the platform answered.
    """

    def __init__(
        self,
        platform: Platform,
        note: Callable[..., None] = _ignore,
    ) -> None:
        self._platform = platform
        self._note = note
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
        """Wait until an object has another version than the one known.

        :param wait: seconds after which the platform answers anyway.
        """
        path = f'watch/{key}?after={after}&wait={wait}'
        return await self._call('GET', path, patience=wait)

    async def create(self, key: str, body: bytes) -> Result[Entry, StoreError]:
        """Create an object if there is none."""
        return await self._call(
            'PUT', f'objects/{key}', body, {'If-None-Match': '*'}
        )

    async def update(
        self,
        key: str,
        body: bytes,
        version: str,
    ) -> Result[Entry, StoreError]:
        """Replace an object that is still in a version."""
        return await self._call(
            'PUT', f'objects/{key}', body, {'If-Match': version}
        )

    async def delete(self, key: str, version: str) -> Result[Entry, StoreError]:
        """Delete an object that is still in a version."""
        return await self._call(
            'DELETE', f'objects/{key}', headers={'If-Match': version}
        )

    async def list_vms(self) -> Result[list[Vm], StoreError]:
        """Read the list of live and leaving VMs; it lags by seconds."""
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
        patience: float = 0,
    ) -> Result[Entry, StoreError]:
        timeout = aiohttp.ClientTimeout(self._platform.timeout + patience)
        session = self._open()
        try:
            async with session.request(
                method,
                f'{self._platform.url}/v1/{path}',
                data=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                content = await response.content.read(_MAX_ANSWER)
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._replace_session(session)
            self._note(answered=False)
            return Err(StoreError.UNAVAILABLE)
        if response.status in _REASONS:
            self._note(answered=True)
            return Err(_REASONS[HTTPStatus(response.status)])
        if response.status >= HTTPStatus.BAD_REQUEST:
            self._note(answered=False)
            return Err(StoreError.UNAVAILABLE)
        self._note(answered=True)
        version = response.headers.get('ETag', '').strip('"')
        return Ok(Entry(content, version))

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                headers={'Authorization': f'Bearer {self._platform.token}'}
            )
        return self._session

    def _replace_session(self, silent: aiohttp.ClientSession) -> None:
        """Use new connections after one gave no answer.

        Something between the ends can lose track of open connections, which
        then stay silent for good while new ones work. It shows as calls that
        time out one after the other, each on the next idle connection of the
        pool. After the first, none of them is used again; calls that still
        wait on them, such as a watch, come to their own end.
        """
        if self._session is silent:
            self._session = None
            task = asyncio.create_task(self._retire(silent))
            self._retiring[silent] = task

    async def _retire(self, session: aiohttp.ClientSession) -> None:
        await asyncio.sleep(self._platform.timeout + _LONGEST_WATCH)
        await session.close()
        del self._retiring[session]


def _decode_as(
    kind: type[_Decoded],
) -> Callable[[Entry], Result[_Decoded, StoreError]]:
    """Make the step from an answer's body to typed data."""

    def decode(entry: Entry) -> Result[_Decoded, StoreError]:
        try:
            return Ok(msgspec.json.decode(entry.body, type=kind))
        except msgspec.MsgspecError:
            return Err(StoreError.UNAVAILABLE)

    return decode


def open_store(platform: Platform) -> Store:
    """Make a client without a node around it, as for the command line."""
    return Store(platform)
