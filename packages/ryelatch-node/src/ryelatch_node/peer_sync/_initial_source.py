"""Sources of the first lists, for nodes with slow links in a large fleet.

A large configuration takes such a node half a second to read from the store,
and all nodes may start at once. A node with a fast link has it at once, and
sends it compressed to a tenth.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ryelatch_core.membership import (
    NodeEntry,
    choose_watchers,
    shares_watches,
    watches_for_others,
)
from ryelatch_node.peer_sync._bootstrap_client import BootstrapClient

FIRST_OFFER_SECONDS = 0.1
"""Time after the start in which lists of usual size arrive from the store."""

OFFER_INTERVAL_SECONDS = 0.1
"""Interval of offers while the sources lack a list themselves."""

MAX_OFFERS = 20
"""Most offers; by then, the lists have arrived or the store is unavailable."""

MIN_LINK_RATIO = 6.0
"""Minimum bandwidth of a source's link, relative to that of this node.

A source may have to send its lists, compressed to a tenth, to 48 nodes.
"""


@dataclass(eq=False)
class InitialSources:
    """Offers sources to a node until it has its first lists.

    :param local_name: name of this node.
    :param zone: its availability zone.
    :param link_mbps: bandwidth of its link, in Mbit/s.
    :param list_nodes: lists all nodes, this one included.
    :param is_synced: whether this node has the state it needs to serve.
    """

    local_name: str
    zone: str
    link_mbps: float
    client: BootstrapClient
    list_nodes: Callable[[], Sequence[NodeEntry]]
    is_synced: Callable[[], bool]

    async def run(self) -> None:
        """Offer one source after the other while a list is missing."""
        await asyncio.sleep(FIRST_OFFER_SECONDS)
        for number in range(MAX_OFFERS):
            if self.is_synced():
                break
            self._offer(number)
            await asyncio.sleep(OFFER_INTERVAL_SECONDS)
        # The supervisor restarts a task that returns.
        await asyncio.Event().wait()

    def _offer(self, number: int) -> None:
        sources = list_sources(
            self.local_name, self.zone, self.link_mbps, self.list_nodes()
        )
        if sources:
            self.client.offer_source(sources[number % len(sources)])


def list_sources(
    local_name: str,
    zone: str,
    link_mbps: float,
    nodes: Sequence[NodeEntry],
) -> list[NodeEntry]:
    """List the nodes that send a node the lists sooner than the store does.

    :param local_name: name of the node that needs the lists.
    :param zone: its availability zone.
    :param link_mbps: bandwidth of its link, in Mbit/s.
    :param nodes: all nodes.
    :returns: the sources, those of the same zone first.
    """
    if not shares_watches(nodes) or watches_for_others(local_name, zone, nodes):
        return []
    return [
        watcher
        for watcher in choose_watchers(local_name, zone, nodes)
        if watcher.link_mbps >= link_mbps * MIN_LINK_RATIO
    ]
