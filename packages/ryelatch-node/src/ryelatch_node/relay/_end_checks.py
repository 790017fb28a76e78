"""Detects whether a replica ended an answer itself, or ended with it.

An answer without a length or chunks ends with its connection. The system of a
process that is killed closes its connections in order as well, so only the
replica itself can tell, by answering once more after that end.
"""

import asyncio
import enum
from dataclasses import dataclass, field

from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Clock, LagMeter
from ryelatch_node.ports import Presence, ReplicaCommands
from ryelatch_node.throttle import Throttle
from ryelatch_node.views import ConfigurationView, ReplicaView

GATHER_SECONDS = 0.01
"""Time in which ends of answers are gathered before their replica is asked.

All connections of a process that is killed end within a millisecond or so.
"""

RETRY_SECONDS = 0.2
"""Pause between questions about an answer that nothing can replace."""

ALIVE_SECONDS = 1.0
"""Time before the last bytes of an answer in which its replica was alive.

A node that runs late reads them later than they came.
"""

RESTART_SECONDS = 0.3
"""Least time after the end of a process until the next one answers for it."""


class AnswerEnd(enum.Enum):
    """How the end of an answer was recognized."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    RUNNING = 'running'
    """Its replica was still running after it."""

    GONE = 'gone'
    """Its replica is gone and had not announced it."""

    LEFT = 'left'
    """Its replica is gone, as it had announced: it may be complete."""

    UNKNOWN = 'unknown'
    """Its replica didn't answer."""


@dataclass(eq=False)
class EndChecks:
    """Asks replicas whether they outlived the answers they sent.

    All answers that end at once share one question.

    :param lag: records when this process ran late.
    """

    clock: Clock
    commands: ReplicaCommands
    replicas: ReplicaView
    configuration: ConfigurationView
    throttle: Throttle
    lag: LagMeter
    _gathering: dict[str, 'asyncio.Task[Presence]'] = field(
        default_factory=dict
    )

    async def find_end(
        self, replica: Replica, received: float, *, patient: bool
    ) -> AnswerEnd:
        """Find out how an answer ended, after its connection has ended.

        :param received: when its last bytes arrived, in monotonic seconds.
        :param patient: whether to ask for as long as the replica is silent.
        """
        presence = await self._ask(replica)
        while patient and presence is Presence.UNKNOWN:
            await asyncio.sleep(RETRY_SECONDS)
            presence = await self._ask(replica)
        match presence:
            case Presence.RUNNING:
                return AnswerEnd.RUNNING
            case Presence.UNKNOWN:
                return AnswerEnd.UNKNOWN
            case Presence.ANSWERS if not self._reads_late(received):
                return AnswerEnd.RUNNING
            case Presence.ANSWERS:
                return AnswerEnd.UNKNOWN
            case Presence.RESTARTED if self._is_soon(received):
                # Its entry here is older than the process that answered.
                return AnswerEnd.RUNNING
        left = self._has_left(replica.name, received - ALIVE_SECONDS)
        return AnswerEnd.LEFT if left else AnswerEnd.GONE

    def _is_soon(self, received: float) -> bool:
        """Whether no process can have started since an answer ended."""
        since = self.clock.monotonic() - received
        return since < RESTART_SECONDS and not self._reads_late(received)

    def _reads_late(self, received: float) -> bool:
        """Whether this node read an end so late that one can have started."""
        pause = self.lag.find_pause(received - RESTART_SECONDS)
        return pause >= RESTART_SECONDS

    async def _ask(self, replica: Replica) -> Presence:
        question = self._gathering.get(replica.name)
        if question is None:
            question = asyncio.create_task(self._ask_once(replica))
            self._gathering[replica.name] = question
        # A client that disconnects must not cancel it for the others.
        return await asyncio.shield(question)

    async def _ask_once(self, replica: Replica) -> Presence:
        await asyncio.sleep(GATHER_SECONDS)
        # An answer that ends from now on needs a later question.
        del self._gathering[replica.name]
        if not await self.throttle.acquire_permit(replica):
            return Presence.UNKNOWN
        table = self.configuration.table
        service = table and table.configuration.services.get(replica.service)
        health_path = service.health_path if service else '/'
        return await self.commands.confirm(replica, health_path)

    def _has_left(self, name: str, alive: float) -> bool:
        """Whether a replica left, and wasn't just lost.

        It had announced that, or was still alive after its entry was removed.

        :param alive: when it was still alive, in monotonic seconds.
        """
        now = self.clock.monotonic()
        if name in self.replicas.incarnations.list_crashed(now):
            return False
        known = self.replicas.replicas.get(name)
        if known is None:
            return self.replicas.leaving.has_left(name, alive)
        missing = self.replicas.find_missing((name,))
        return known.leaving or missing > now - alive
