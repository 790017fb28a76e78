"""Detects whether a replica has ended after connections to it were lost.

A lost connection is no proof: the network between the VMs or only that
connection may have failed. Nor does an address that accepts connections prove
that the process is alive: the system may end its connections before it stops
listening, and the next process may listen there at once. So the replica is
asked, and looked at again until it has answered or is known to have ended.
"""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from types import MappingProxyType

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Clock
from ryelatch_node.links import Links
from ryelatch_node.ports import Presence, Reachability, ReplicaCommands
from ryelatch_node.relay._end_checks import RESTART_SECONDS
from ryelatch_node.relay._presence import ask_presence
from ryelatch_node.tasks import Tasks
from ryelatch_node.throttle import Throttle
from ryelatch_node.views import ConfigurationView, ReplicaView

CHECK_SECONDS = 0.5
"""Time in which a check looks again; a request may wait for it."""

_LOOK_PAUSES_SECONDS = (0.02, 0.05, 0.1, 0.15, 0.2)

FOLLOW_SECONDS = 4.0
"""Time after a loss in which the end of its replica still counts for it.

A process may stand still for a second or two before it ends, and the entry of
the next one appears within a second.
"""

_FOLLOW_PAUSES_SECONDS = (0.25, 0.5, 0.75, 1.0, 1.0)


class Fate(enum.Enum):
    """What became of a replica to which a connection was lost."""

    RUNNING = 'running'
    ENDED = 'ended'
    UNKNOWN = 'unknown'
    """Its address accepts connections, and no answer has come."""

    UNREACHABLE = 'unreachable'
    """No connection can be established, and none is refused."""


_FATES = MappingProxyType(
    {
        Presence.RUNNING: Fate.RUNNING,
        Presence.ANSWERS: Fate.RUNNING,
        Presence.RESTARTED: Fate.ENDED,
        Presence.GONE: Fate.ENDED,
        Presence.SILENT: Fate.UNKNOWN,
        Presence.UNKNOWN: Fate.UNKNOWN,
    }
)


@dataclass(frozen=True, eq=False)
class _LostRun:
    """A run that counts as lost in a crash if its replica has ended.

    :param until: until when that may be found out, in monotonic seconds.
    :param is_refuted: whether an answer of the replica shows that it has not.
    """

    record: Callable[[], None]
    until: float
    is_refuted: bool


@dataclass(eq=False)
class _Check:
    """A check in progress.

    :param lost: when the last connection was lost, in monotonic seconds.
    :param asks: whether the replica is asked if its address accepts.
    :param looked: set once the replica was looked at for the first time.
    """

    replica: Replica
    lost: float
    asks: bool = True
    looked: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(eq=False)
class CrashChecks:
    """Looks whether replicas have ended whose connections were lost.

    All requests that were lost with a replica share one check; otherwise
    ninety of them would connect at the same time.
    """

    log: LineLog
    clock: Clock
    commands: ReplicaCommands
    configuration: ConfigurationView
    throttle: Throttle
    replicas: ReplicaView
    links: Links
    _checks: dict[str, _Check] = field(default_factory=dict)
    _results: dict[str, 'asyncio.Task[Fate]'] = field(default_factory=dict)
    _lost_runs: dict[str, list[_LostRun]] = field(default_factory=dict)
    _followed: set[str] = field(default_factory=set)
    _tasks: Tasks = field(init=False)

    def __post_init__(self) -> None:
        """Create the background tasks."""
        self._tasks = Tasks(self.log, 'crash checks')

    @property
    def pending(self) -> frozenset[str]:
        """Names of the replicas whose checks are in progress."""
        return frozenset(self._results)

    async def stop(self) -> None:
        """Cancel what is looked at in the background."""
        await self._tasks.stop()

    async def wait(self) -> None:
        """Wait until the checks that are in progress now have finished."""
        if self._results:
            await asyncio.wait(self._results.values())

    def start(
        self, replica: Replica, *, asks: bool = True
    ) -> 'asyncio.Task[Fate]':
        """Start a check of a replica, or renew the one in progress.

        :param asks: whether it is asked if its address accepts connections.
        """
        now = self.clock.monotonic()
        known = self._checks.get(replica.name)
        if known is not None:
            known.lost = now
            known.asks = known.asks or asks
            return self._results[replica.name]
        check = _Check(replica, now, asks)
        task = asyncio.create_task(self._check(check))
        self._checks[replica.name] = check
        self._results[replica.name] = task
        return task

    async def has_crashed(
        self, replica: Replica, *, patient: bool = False
    ) -> bool:
        """Check whether a replica has ended, for this node and for others.

        A firewall refuses connections too, but only those of this node.

        :param patient: whether to wait if the first look doesn't tell.
        :returns: false as well if it isn't known then.
        """
        check = self.start(replica)
        if not patient:
            await self._checks[replica.name].looked.wait()
            if not check.done():
                return False
        # A client that disconnects must not cancel the check for the others.
        fate = await asyncio.shield(check)
        return fate is Fate.ENDED and await self._confirm(replica)

    async def refuses_connections(self, replica: Replica) -> bool:
        """Check whether a replica that is silent accepts no connections.

        Its connections stand, so nothing is asked.
        """
        check = asyncio.shield(self.start(replica, asks=False))
        return await check is Fate.ENDED and await self._confirm(replica)

    async def count_crash(
        self, replica: Replica, record: Callable[[], None], *, patient: bool
    ) -> bool:
        """Record a crash if a replica has ended, later if not known yet.

        :param record: called once if it has.
        :param patient: whether to wait if the first look doesn't tell.
        :returns: whether it is known to have ended.
        """
        self._add(replica, record, is_refuted=True)
        return await self.has_crashed(replica, patient=patient)

    def expect_crash(
        self, replica: Replica, record: Callable[[], None]
    ) -> None:
        """Record a crash if a replica is found to have ended soon.

        For runs that were given up while the replica was silent; nothing is
        asked.

        :param record: called once if it has.
        """
        self._add(replica, record, is_refuted=False)

    def follow(self, replica: Replica) -> None:
        """Look at a replica for some seconds while runs there are in doubt."""
        name = replica.name
        if name in self._lost_runs and name not in self._followed:
            self._followed.add(name)
            self._tasks.spawn(self._follow(replica))

    def _add(
        self, replica: Replica, record: Callable[[], None], *, is_refuted: bool
    ) -> None:
        now = self.clock.monotonic()
        known = self._lost_runs.get(replica.name, [])
        kept = [run for run in known if run.until > now]
        kept.append(_LostRun(record, now + FOLLOW_SECONDS, is_refuted))
        self._lost_runs[replica.name] = kept

    async def _check(self, check: _Check) -> Fate:
        """Look at a replica until its fate is known, or for some time.

        The entry of a crashed replica expires only after some seconds. Unless
        the replica is suspected, each request sent to it until then costs a
        retry, and requests without a retry left are refused.
        """
        try:
            fate = await self._look_repeatedly(check)
        finally:
            # What is lost from now on needs another check.
            del self._results[check.replica.name]
            del self._checks[check.replica.name]
            check.looked.set()
        self._conclude(check, fate)
        return fate

    async def _look_repeatedly(self, check: _Check) -> Fate:
        until = self.clock.monotonic() + CHECK_SECONDS
        fate = await self._look(check)
        for pause in _LOOK_PAUSES_SECONDS:
            left = until - self.clock.monotonic()
            if fate is not Fate.UNKNOWN or left <= 0 or not check.asks:
                break
            check.looked.set()
            await asyncio.sleep(min(pause, left))
            fate = await self._look(check)
        return fate

    async def _look(self, check: _Check) -> Fate:
        """Look at a replica once."""
        replica, now = check.replica, self.clock.monotonic()
        if replica.name in self.replicas.incarnations.list_crashed(now):
            return Fate.ENDED
        found = await self.commands.reach(replica)
        # That it listens proves no link: connections may be reset after that.
        if found is not Reachability.LISTENS:
            self.links.record_failed((replica,))
        if found is Reachability.REFUSED:
            return Fate.ENDED
        if found is Reachability.UNKNOWN:
            return Fate.UNREACHABLE
        return await self._ask(check) if check.asks else Fate.UNKNOWN

    async def _ask(self, check: _Check) -> Fate:
        """Ask a replica whose address accepts connections."""
        asked = self.clock.monotonic()
        presence = await ask_presence(
            self.commands, self.configuration, self.throttle, check.replica
        )
        restarted = self.clock.monotonic() - check.lost >= RESTART_SECONDS
        if presence is Presence.ANSWERS and restarted:
            # It may be the next process that answers.
            return Fate.UNKNOWN
        fate = _FATES[presence]
        # It may have ended after its answer.
        is_late = fate is Fate.RUNNING and check.lost > asked
        return Fate.UNKNOWN if is_late else fate

    def _conclude(self, check: _Check, fate: Fate) -> None:
        replica = check.replica
        self.log.record(
            catalogue.REPLICA_CHECKED, replica=replica.name, outcome=fate.value
        )
        if fate is Fate.ENDED:
            self.replicas.suspect(replica, 'ended', full=False)
            self._tasks.spawn(self._record(replica))
        elif fate is Fate.UNKNOWN and check.asks:
            self.replicas.suspect(replica, 'no answer', full=True)
            self.follow(replica)
        elif fate is Fate.RUNNING:
            runs = self._lost_runs.pop(replica.name, [])
            kept = [run for run in runs if not run.is_refuted]
            if kept:
                self._lost_runs[replica.name] = kept

    async def _record(self, replica: Replica) -> None:
        await self._confirm(replica)

    async def _confirm(self, replica: Replica) -> bool:
        """Record the crash of a replica unless this node alone has lost it."""
        if await self.links.explains_loss(replica):
            return False
        now = self.clock.monotonic()
        left = self._has_left(replica, now)
        for run in self._lost_runs.pop(replica.name, []):
            if run.until > now and (run.is_refuted or not left):
                run.record()
        return True

    def _has_left(self, replica: Replica, now: float) -> bool:
        """Whether a replica may refuse connections as it leaves."""
        known = self.replicas.replicas.get(replica.name)
        if known is not None:
            return known.leaving
        crashed = self.replicas.incarnations.list_crashed(now)
        return replica.name not in crashed

    async def _follow(self, replica: Replica) -> None:
        check = _Check(replica, self.clock.monotonic())
        try:
            for pause in _FOLLOW_PAUSES_SECONDS:
                await asyncio.sleep(pause)
                if replica.name not in self._lost_runs:
                    return
                fate = await self._look(check)
                if fate is not Fate.UNKNOWN:
                    self._conclude(check, fate)
                    return
        finally:
            self._followed.discard(replica.name)
