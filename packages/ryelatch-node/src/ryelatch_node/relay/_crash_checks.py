"""Detects whether a replica has crashed after connections to it were lost.

A lost connection is no proof of a crash: the network between the VMs or only
that connection may have failed. After a crash nothing listens at the address
of the replica, and new connections are refused.
"""

import asyncio
from dataclasses import dataclass, field

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.fleet import Replica
from ryelatch_node.links import Links
from ryelatch_node.ports import Reachability, ReplicaCommands
from ryelatch_node.views import ReplicaView


@dataclass(eq=False)
class CrashChecks:
    """Connects to replicas whose connections were lost.

    All requests that were lost with a replica share one check; otherwise
    ninety of them would connect at the same time.
    """

    log: LineLog
    commands: ReplicaCommands
    replicas: ReplicaView
    links: Links
    _checks: dict[str, 'asyncio.Task[Reachability]'] = field(
        default_factory=dict
    )

    @property
    def pending(self) -> frozenset[str]:
        """Names of the replicas whose checks are in progress."""
        return frozenset(self._checks)

    async def wait(self) -> None:
        """Wait until the checks that are in progress now have finished."""
        if self._checks:
            await asyncio.wait(self._checks.values())

    def start(self, replica: Replica) -> 'asyncio.Task[Reachability]':
        """Start a check of a replica's address, unless one is in progress."""
        check = self._checks.get(replica.name)
        if check is None:
            check = asyncio.create_task(self._check(replica))
            self._checks[replica.name] = check
            check.add_done_callback(lambda _: self._checks.pop(replica.name))
        return check

    async def has_crashed(self, replica: Replica) -> bool:
        """Check whether a replica's address refuses connections.

        A firewall refuses them too, but only those of this node.
        """
        # A client that disconnects must not cancel the check for the others.
        check = asyncio.shield(self.start(replica))
        if await check is not Reachability.REFUSED:
            return False
        return not await self.links.explains_loss(replica)

    async def _check(self, replica: Replica) -> Reachability:
        """Connect to a replica, and suspect it if it has crashed.

        The entry of a crashed replica expires only after some seconds. Unless
        the replica is suspected, each request sent to it until then costs a
        retry, and requests without a retry left are refused.
        """
        found = await self.commands.reach(replica)
        # That it listens proves no link: connections may be reset after that.
        if found is not Reachability.LISTENS:
            self.links.record_failed((replica,))
        if found is Reachability.REFUSED:
            self.replicas.suspect(replica, 'ended', full=False)
        self.log.record(
            catalogue.REPLICA_CHECKED,
            replica=replica.name,
            outcome=found.value,
        )
        return found
