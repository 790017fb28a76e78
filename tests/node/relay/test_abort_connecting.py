"""Connection attempts that end at once as the links to a replica are lost."""

import asyncio

from ryelatch_node.relay._upstream import _ObservedConnector

_ADDRESS = '10.0.0.1:80'


def _ignore(_: str) -> None:
    """Ignore the outcome of a connection."""


async def test_attempt_may_be_aborted_twice() -> None:
    """The examination of links crashes as they are lost twice in a row."""
    connector = _ObservedConnector(_ignore, _ignore, _ignore)
    scope = asyncio.timeout(None)

    async def connect() -> None:
        async with scope:
            await asyncio.Event().wait()

    connecting = asyncio.create_task(connect())
    await asyncio.sleep(0)
    connector._connecting[_ADDRESS].add(scope)
    connector.abort_connecting(_ADDRESS)
    await asyncio.sleep(0)
    connector.abort_connecting(_ADDRESS)
    results = await asyncio.gather(connecting, return_exceptions=True)
    assert isinstance(results[0], TimeoutError)
    await connector.close()
