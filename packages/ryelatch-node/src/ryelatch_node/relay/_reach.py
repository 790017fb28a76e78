"""Finds out whether a replica has ended whose connections were lost.

A lost connection is no proof: the way to the replica may be cut, or the
connection alone. Where the process has ended nothing listens at its address.
"""

import asyncio
from dataclasses import dataclass, field

from ryelatch_core.fleet import Replica
from ryelatch_node.ports import Orders, Reach


@dataclass(eq=False)
class CrashChecks:
    """Tries to reach replicas whose connections were lost.

    All requests that were lost with a replica share one try; ninety of them
    would else connect at once.
    """

    orders: Orders
    _checks: dict[str, 'asyncio.Future[Reach]'] = field(default_factory=dict)

    async def has_crashed(self, replica: Replica) -> bool:
        """Tell whether nothing listens at a replica's address any more."""
        check = self._checks.get(replica.name)
        if check is None:
            check = asyncio.ensure_future(self.orders.reach(replica))
            self._checks[replica.name] = check
            check.add_done_callback(lambda _: self._checks.pop(replica.name))
        # A client that goes away takes the try from none of the others.
        return await asyncio.shield(check) is Reach.REFUSED
