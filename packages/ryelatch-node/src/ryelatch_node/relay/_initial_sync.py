"""Holds requests right after a start until this node can serve them."""

import asyncio
from dataclasses import dataclass, field

from ryelatch_node.relay._context import RelayContext

MAX_WAIT_SECONDS = 0.3
"""Longest wait of a request for the first configuration and replica list.

The calls to the store take 5 ms each, and 0.3 s where the store is slowed
sixtyfold. If it is unavailable, another node serves the client better.
"""

_POLL_SECONDS = 0.01


@dataclass(eq=False)
class InitialSync:
    """Waits for the first configuration and the first list of replicas.

    They are received within milliseconds of the start. A client whose node
    was killed retries once; if that retry is refused because the new process
    has no list yet, the request is lost.
    """

    context: RelayContext
    _waiting: 'asyncio.Task[None] | None' = field(init=False, default=None)

    async def wait(self) -> None:
        """Wait until both were received, or for ``MAX_WAIT_SECONDS``."""
        if self._is_complete():
            return
        if self._waiting is None:
            self._waiting = asyncio.create_task(self._poll())
        await asyncio.wait((self._waiting,), timeout=MAX_WAIT_SECONDS)

    async def _poll(self) -> None:
        """Poll until both were received; all waiting requests share a task."""
        while not self._is_complete():
            await asyncio.sleep(_POLL_SECONDS)
        self._waiting = None

    def _is_complete(self) -> bool:
        context = self.context
        return (
            context.configuration.table is not None and context.replicas.listed
        )
