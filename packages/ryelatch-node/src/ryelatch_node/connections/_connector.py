"""Pools of connections that bound what the other side sends."""

import functools
from typing import Any

import aiohttp

from ryelatch_core.events import LineLog, Timeline, catalogue
from ryelatch_node.connections._handler import BoundedHandler, SurplusHook
from ryelatch_node.connections._sockets import has_arrived


class BoundedConnector(aiohttp.TCPConnector):
    """A pool of connections that bound what they receive.

    :param on_surplus: called for each connection that is closed for what no
        request waits for.
    :param options: of the pool.
    """

    def __init__(self, on_surplus: SurplusHook, **options: Any) -> None:
        super().__init__(**options)
        # The library has no public way to set another protocol class.
        self._factory = functools.partial(  # type: ignore[assignment]
            BoundedHandler, loop=self._loop, on_surplus=on_surplus
        )

    async def _get(self, key: Any, traces: Any) -> Any:
        """Choose a kept connection, but none on which anything has arrived.

        That is its end, or what no request waits for.
        """
        for handler, _ in self._conns.get(key, ()):
            if handler.is_connected() and not has_arrived(handler):
                break
            handler.close()
        return await super()._get(key, traces)


def make_surplus_hook(log: LineLog | Timeline) -> SurplusHook:
    """Make a hook that records what no request waits for."""

    def record(address: str) -> None:
        log.record(catalogue.SURPLUS_RECEIVED, address=address)

    return record
