"""Asks replicas that were silent whether they go on, before a refusal.

A replica that sent no report in time is kept from new work for seconds, as most
such replicas are lost. When all replicas of a service stand still for a moment,
requests would be refused long after they go on.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice

from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import NEVER
from ryelatch_node.ports import ReplicaCommands
from ryelatch_node.views import ReplicaView

REPORT_SECONDS = 0.1
"""Longest wait for a report; a request that would be refused waits for it."""

COOLDOWN_SECONDS = 0.5
"""Least time between two checks of a service, as each report has a cost."""

MAX_ASKED = 32
"""Replicas that are asked in one check."""


@dataclass(eq=False)
class SilenceChecks:
    """Requests reports of the unreachable replicas of a service.

    All requests that find no path at the same time share one check.

    :param is_throttled: whether a replica, by its name, limits its requests.
    """

    clock: Clock
    commands: ReplicaCommands
    replicas: ReplicaView
    is_throttled: Callable[[str], bool] = lambda _: False
    _started: dict[str, float] = field(default_factory=dict)
    _running: dict[str, 'asyncio.Task[bool]'] = field(default_factory=dict)

    async def find_returned(self, service: str) -> bool:
        """Whether any unreachable replica of a service goes on.

        Those that do are no longer suspected. Does nothing if there was a check
        just now.
        """
        check = self._running.get(service) or self._start(service)
        # A client that disconnects must not cancel the check for the others.
        return check is not None and await asyncio.shield(check)

    def _start(self, service: str) -> 'asyncio.Task[bool] | None':
        now = self.clock.monotonic()
        if now - self._started.get(service, NEVER) < COOLDOWN_SECONDS:
            return None
        unreachable = self.replicas.list_unreachable()
        silent = [
            replica
            for replica in self.replicas.list_service(service)
            if replica.name in unreachable
            and not self.is_throttled(replica.name)
        ]
        if not silent:
            return None
        self._started[service] = now
        check = asyncio.create_task(self._check(silent))
        self._running[service] = check
        check.add_done_callback(lambda _: self._running.pop(service))
        return check

    async def _check(self, silent: list[Replica]) -> bool:
        asked = islice(silent, MAX_ASKED)
        return any(await asyncio.gather(*map(self._goes_on, asked)))

    async def _goes_on(self, replica: Replica) -> bool:
        try:
            async with asyncio.timeout(REPORT_SECONDS):
                report = await self.commands.read_report(replica)
        except TimeoutError:
            return False
        if report is None:
            return False
        self.replicas.clear_suspicion(replica)
        return True
