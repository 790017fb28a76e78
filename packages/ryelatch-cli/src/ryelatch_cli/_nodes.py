"""Calls to the admin endpoints of nodes."""

import asyncio
from http import HTTPStatus
from typing import Any

import aiohttp

_TIMEOUT_SECONDS = 5
_POLL_SECONDS = 0.1


async def call_nodes(
    urls: list[str],
    key: str,
    path: str,
    method: str = 'GET',
) -> dict[str, Any]:
    """Call an admin endpoint of all given nodes concurrently.

    :returns: by base URL, the JSON that a node answered, or the text of the
        error.
    """
    timeout = aiohttp.ClientTimeout(_TIMEOUT_SECONDS)
    headers = {'Authorization': f'Bearer {key}'}
    async with aiohttp.ClientSession(
        timeout=timeout, headers=headers
    ) as session:
        answers = await asyncio.gather(
            *(
                _call_node(session, method, f'{url}/admin/{path}')
                for url in urls
            )
        )
    return dict(zip(urls, answers, strict=True))


async def wait_in_force(
    urls: list[str],
    key: str,
    revision: int,
    seconds: float,
) -> dict[str, int]:
    """Wait until a revision is in force on all nodes, or time is up.

    :returns: the last revision that each node reported, by its base URL; -1
        for a node that does not answer.
    """
    deadline = asyncio.get_running_loop().time() + seconds
    while True:
        answers = await call_nodes(urls, key, 'status')
        revisions = {
            url: answer['revision'] if isinstance(answer, dict) else -1
            for url, answer in answers.items()
        }
        done = all(
            node_revision >= revision for node_revision in revisions.values()
        )
        if done or asyncio.get_running_loop().time() >= deadline:
            return revisions
        await asyncio.sleep(_POLL_SECONDS)


async def _call_node(
    session: aiohttp.ClientSession, method: str, url: str
) -> Any:
    try:
        async with session.request(method, url) as response:
            if response.status >= HTTPStatus.BAD_REQUEST:
                return f'HTTP status {response.status}'
            return await response.json()
    except (aiohttp.ClientError, TimeoutError) as error:
        return f'{type(error).__name__}: {error}'
