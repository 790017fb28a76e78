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
from ryelatch_node.relay._presence import ask_presence
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
        ended = self.clock.monotonic()
        presence = await self._ask(replica)
        while self._asks_again(replica, presence, patient=patient):
            await asyncio.sleep(RETRY_SECONDS)
            presence = await self._ask(replica)
        if presence is Presence.SILENT and self.lag.was_late(ended):
            # The end of the connection may have arrived unread.
            presence = Presence.UNKNOWN
        if presence is Presence.UNKNOWN:
            return AnswerEnd.UNKNOWN
        if self._is_gone(replica, presence, ended):
            left = self._has_left(replica, received - ALIVE_SECONDS)
            return AnswerEnd.LEFT if left else AnswerEnd.GONE
        known = presence in {Presence.RUNNING, Presence.RESTARTED}
        if known or not self._reads_late(ended):
            return AnswerEnd.RUNNING
        return AnswerEnd.UNKNOWN

    def _is_gone(
        self, replica: Replica, presence: Presence, ended: float
    ) -> bool:
        """Whether the process that answered has ended.

        :param ended: when its answer ended, in monotonic seconds.
        """
        if presence in {Presence.RUNNING, Presence.GONE}:
            return presence is Presence.GONE
        # Its entry here may be older than the process that answered.
        restarted = presence is Presence.RESTARTED
        replaced = restarted or self._is_replaced(replica)
        return replaced and not self._is_soon(ended)

    def _asks_again(
        self, replica: Replica, presence: Presence, *, patient: bool
    ) -> bool:
        unknown = presence is Presence.UNKNOWN
        return patient and unknown and not self._is_replaced(replica)

    def _is_replaced(self, replica: Replica) -> bool:
        """Whether a later incarnation is known to have its place."""
        crashed = self.replicas.incarnations.list_crashed(
            self.clock.monotonic()
        )
        return replica.name in crashed

    def _is_soon(self, ended: float) -> bool:
        """Whether no process can have started since an answer ended."""
        since = self.clock.monotonic() - ended
        return since < RESTART_SECONDS and not self._reads_late(ended)

    def _reads_late(self, ended: float) -> bool:
        """Whether this node read an end so late that one can have started."""
        pause = self.lag.find_pause(ended - RESTART_SECONDS)
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
        return await ask_presence(
            self.commands, self.configuration, self.throttle, replica
        )

    def _has_left(self, replica: Replica, alive: float) -> bool:
        """Whether a replica left, and wasn't just lost.

        It had announced that, or was still alive after its entry was removed.

        :param alive: when it was still alive, in monotonic seconds.
        """
        if self._is_replaced(replica):
            return False
        known = self.replicas.replicas.get(replica.name)
        if known is None:
            return self.replicas.leaving.has_left(replica.name, alive)
        return known.leaving
