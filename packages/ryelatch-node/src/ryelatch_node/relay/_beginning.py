"""What a request waits for right after a start."""

import asyncio
from dataclasses import dataclass, field

from ryelatch_node.relay._parts import RelayContext

MAX_WAIT_SECONDS = 0.3
"""Longest wait of a request for the first list after a start.

The calls take 5 ms each, 0.3 s where the store is slowed sixtyfold; where it
is out, a client is better served by another node.
"""

_POLL_SECONDS = 0.01


@dataclass(eq=False)
class InitialSync:
    """The first configuration and list of replicas.

    They come within milliseconds of the start. Refused before, a client that
    came back when its node was killed has used its one try.
    """

    context: RelayContext
    _known: 'asyncio.Task[None] | None' = field(init=False, default=None)

    async def wait(self) -> None:
        """Wait for both, for a short while."""
        if self._are_known():
            return
        if self._known is None:
            self._known = asyncio.create_task(self._poll())
        await asyncio.wait((self._known,), timeout=MAX_WAIT_SECONDS)

    async def _poll(self) -> None:
        """Look until both have come, once for all requests that wait."""
        while not self._are_known():
            await asyncio.sleep(_POLL_SECONDS)
        self._known = None

    def _are_known(self) -> bool:
        context = self.context
        return context.configuration.table is not None and context.replicas.listed
