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

    They arrive within milliseconds after the start. A client whose node was
    killed retries once; if that retry were refused because the restarted node
    has no list yet, the request would be lost.
    """

    context: RelayContext
    _poll_task: 'asyncio.Task[None] | None' = field(init=False, default=None)

    async def wait(self) -> None:
        """Wait for the configuration and the list, or until the timeout."""
        if self._is_complete():
            return
        if self._poll_task is None:
            self._poll_task = asyncio.create_task(self._poll())
        await asyncio.wait((self._poll_task,), timeout=MAX_WAIT_SECONDS)

    async def _poll(self) -> None:
        """Poll until the configuration and the list were received.

        All requests that wait share this task.
        """
        while not self._is_complete():
            await asyncio.sleep(_POLL_SECONDS)
        self._poll_task = None

    def _is_complete(self) -> bool:
        context = self.context
        return (
            context.configuration.table is not None and context.replicas.listed
        )
