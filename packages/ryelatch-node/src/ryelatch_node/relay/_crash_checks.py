"""Detects whether a replica has crashed after connections to it were lost.

A lost connection is no proof of a crash: the network between the VMs or only
that connection may have failed. After a crash nothing listens at the address
of the replica, and new connections are refused.
"""

import asyncio
from dataclasses import dataclass, field

from ryelatch_core.fleet import Replica
from ryelatch_node.ports import ReplicaCommands, Reachability


@dataclass(eq=False)
class CrashChecks:
    """Connects to replicas whose connections were lost.

    All requests that were lost with a replica share one check; otherwise
    ninety of them would connect at the same time.
    """

    commands: ReplicaCommands
    _checks: dict[str, 'asyncio.Future[Reachability]'] = field(default_factory=dict)

    async def has_crashed(self, replica: Replica) -> bool:
        """Check whether a replica's address refuses connections."""
        check = self._checks.get(replica.name)
        if check is None:
            check = asyncio.ensure_future(self.commands.reach(replica))
            self._checks[replica.name] = check
            check.add_done_callback(lambda _: self._checks.pop(replica.name))
        # A client that disconnects must not cancel the check for the others.
        return await asyncio.shield(check) is Reachability.REFUSED
