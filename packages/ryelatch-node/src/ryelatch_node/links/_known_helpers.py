"""The nodes known to reach replicas that this node doesn't reach."""

from collections import Counter
from collections.abc import Container
from dataclasses import dataclass, field

from ryelatch_core.kernel import Clock
from ryelatch_core.links import Helper, LinkGroup, choose_helper
from ryelatch_core.membership import NodeEntry

EXPIRY_SECONDS = 3.0
"""Time after which the reply of a helper is no longer relied on."""


@dataclass(eq=False)
class Helpers:
    """What other nodes reach, by their names.

    :param zone: availability zone of this node.
    :param busy: requests of this node that each of them serves now.
    """

    clock: Clock
    zone: str
    busy: Counter[str] = field(default_factory=Counter)
    _known: dict[str, Helper] = field(default_factory=dict)

    def record(
        self, node: NodeEntry, reached: frozenset[LinkGroup], room: int
    ) -> None:
        """Record the reply of a node."""
        now = self.clock.monotonic()
        self._known[node.name] = Helper(node, reached, room, now)

    def drop(self, name: str) -> None:
        """Forget a node that failed to serve a request."""
        self._known.pop(name, None)

    def choose(
        self, service: str, excluded: Container[str] = ()
    ) -> Helper | None:
        """Choose a node that serves requests to a service.

        :param excluded: names of the nodes that didn't serve this request.
        """
        oldest = self.clock.monotonic() - EXPIRY_SECONDS
        self._known = {
            name: helper
            for name, helper in self._known.items()
            if helper.at >= oldest
        }
        return choose_helper(
            self._known.values(),
            service,
            self.zone,
            self.busy.__getitem__,
            excluded,
        )
