"""Holds requests right after a start until this node can serve them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from starlette.types import Receive

from ryelatch_core.kernel import cancel_task
from ryelatch_node.clients import wait_for_disconnect
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._errors import ClientGone

MAX_WAIT_SECONDS = 1.2
"""Longest wait of a request for the first configuration and replica list.

Clients leave a stream after two seconds without an event. The rest is for the
time that their connections waited for this process to load its libraries, and
for the first event.
"""

WAIT_FRACTION = 0.5
"""Longest wait, as a fraction of the time that the client waits.

The other half is for the answer, or for another attempt at another node.
"""

OUTAGE_SECONDS = 0.3
"""Duration of an outage of the store after which requests don't wait.

Other nodes serve the clients better then, if any node does.
"""

MAX_REQUESTS = 512
"""Most requests that wait at a time."""

MAX_BYTES = 8_388_608
"""Most bytes of the bodies of requests that wait at a time."""

_POLL_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that was received completely, but isn't admitted yet.

    :param size: number of bytes of its body.
    :param received_at: when its headers were received, in monotonic seconds.
    :param patience: seconds that its client waits; ``None`` if not given.
    """

    size: int
    received_at: float
    patience: float | None

    @property
    def wait_until(self) -> float:
        """Until when the request may wait, in monotonic seconds."""
        if self.patience is None:
            return self.received_at + MAX_WAIT_SECONDS
        return self.received_at + min(
            MAX_WAIT_SECONDS, self.patience * WAIT_FRACTION
        )


@dataclass(eq=False)
class InitialSync:
    """Waits for the first configuration and the first list of replicas.

    If all nodes have just started, no other node serves a refused client any
    sooner, and the client has few attempts.

    :param is_store_out: whether the store is unavailable to this node.
    """

    context: RelayContext
    is_store_out: Callable[[], bool]
    _requests: int = 0
    _bytes: int = 0
    _out_since: float | None = None
    _wait_ended: asyncio.Event = field(default_factory=asyncio.Event)
    _poll_task: 'asyncio.Task[None] | None' = None

    async def wait(self, request: PendingRequest, receive: Receive) -> float:
        """Wait until this node can serve a request, or until it waits in vain.

        :returns: seconds that it waited.
        :raises ClientGone: if its client disconnects meanwhile.
        """
        if self._is_complete() or not self._has_room(request):
            return 0
        if self._poll_task is None:
            self._wait_ended.clear()
            self._poll_task = asyncio.create_task(self._poll())
        started_at = self.context.now()
        self._requests += 1
        self._bytes += request.size
        try:
            await self._wait_until(request.wait_until, receive)
        finally:
            self._requests -= 1
            self._bytes -= request.size
        return self.context.now() - started_at

    async def _wait_until(self, limit: float, receive: Receive) -> None:
        """Wait until the waits end, or until a limit in monotonic seconds."""
        ended = asyncio.create_task(self._wait_ended.wait())
        disconnect = asyncio.create_task(wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (ended, disconnect),
                timeout=max(0, limit - self.context.now()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if disconnect.done():
                raise ClientGone
        finally:
            ended.cancel()
            await cancel_task(disconnect)

    async def _poll(self) -> None:
        """Poll until the configuration and the list were received.

        All requests that wait share this task.
        """
        while not self._is_complete():
            self._update_outage()
            await asyncio.sleep(_POLL_SECONDS)
        self._wait_ended.set()
        self._poll_task = None

    def _update_outage(self) -> None:
        """End all waits while the store has been unavailable for too long."""
        now = self.context.now()
        if not self.is_store_out():
            self._out_since = None
            self._wait_ended.clear()
            return
        if self._out_since is None:
            self._out_since = now
        if now - self._out_since >= OUTAGE_SECONDS:
            self._wait_ended.set()

    def _has_room(self, request: PendingRequest) -> bool:
        return (
            self._requests < MAX_REQUESTS
            and self._bytes + request.size <= MAX_BYTES
        )

    def _is_complete(self) -> bool:
        context = self.context
        return (
            context.configuration.table is not None and context.replicas.listed
        )
