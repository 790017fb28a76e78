"""Sources of the first lists, for nodes with slow links in a large fleet.

A large configuration takes such a node half a second to read from the store,
and all nodes may start at once. A node with a fast link has it at once, and
sends it compressed.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ryelatch_core.kernel import Clock
from ryelatch_core.membership import (
    NODES_PER_WATCHER,
    NodeEntry,
    choose_watchers,
    shares_watches,
    watches_for_others,
)
from ryelatch_node.peer_sync._bootstrap_client import BootstrapClient

SLOW_LINK_MBPS = 50.0
"""Bandwidth below which a large list takes a link more than 0.2 s."""

COUNT_SECONDS = 0.05
"""Time in which a node usually receives the list of nodes after its start."""

HEAD_START_SECONDS = 0.08
"""Time after the start in which only peers are asked for lists.

What a peer sends would otherwise wait on the link behind what the store sends.
"""

OFFER_INTERVAL_SECONDS = 0.05
"""Interval of offers while the sources lack a list themselves."""

MAX_OFFERS = 40
"""Most offers; by then, the lists have arrived or the store is unavailable."""

MIN_COMPRESSION = 3.0
"""Factor by which lists are smaller when a peer sends them."""


@dataclass(eq=False)
class InitialSources:
    """Offers sources to a node until it has its first lists.

    :param local_name: name of this node.
    :param zone: its availability zone.
    :param link_mbps: bandwidth of its link, in Mbit/s.
    :param list_nodes: lists all nodes, this one included.
    :param is_synced: whether this node has the state it needs to serve.
    :param nodes_known: set once this node has a list of nodes.
    """

    clock: Clock
    local_name: str
    zone: str
    link_mbps: float
    client: BootstrapClient
    list_nodes: Callable[[], Sequence[NodeEntry]]
    is_synced: Callable[[], bool]
    nodes_known: asyncio.Event = field(default_factory=asyncio.Event)
    _started_at: float = field(init=False)

    def __post_init__(self) -> None:
        """Begin the head start of peers."""
        self._started_at = self.clock.monotonic()

    async def run(self) -> None:
        """Offer one source after the other while a list is missing."""
        await self._wait_for_nodes()
        for number in range(MAX_OFFERS):
            if self.is_synced():
                break
            self._offer(number)
            await asyncio.sleep(OFFER_INTERVAL_SECONDS)
        # The supervisor restarts a task that returns.
        await asyncio.Event().wait()

    async def wait_head_start(self) -> None:
        """Wait while sources may send the lists sooner than the store."""
        if self.link_mbps >= SLOW_LINK_MBPS:
            return
        await self._wait_for_nodes()
        if self._list_sources():
            elapsed = self.clock.monotonic() - self._started_at
            await asyncio.sleep(max(0, HEAD_START_SECONDS - elapsed))

    async def _wait_for_nodes(self) -> None:
        elapsed = self.clock.monotonic() - self._started_at
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0, COUNT_SECONDS - elapsed)):
                await self.nodes_known.wait()

    def _offer(self, number: int) -> None:
        sources = self._list_sources()
        if sources:
            self.client.offer_source(sources[number % len(sources)])

    def _list_sources(self) -> list[NodeEntry]:
        return list_sources(
            self.local_name, self.zone, self.link_mbps, self.list_nodes()
        )


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
    if (
        link_mbps >= SLOW_LINK_MBPS
        or not shares_watches(nodes)
        or watches_for_others(local_name, zone, nodes)
    ):
        return []
    return [
        watcher
        for watcher in choose_watchers(local_name, zone, nodes)
        if watcher.link_mbps >= link_mbps * _count_sent_lists(watcher, nodes)
    ]


def _count_sent_lists(watcher: NodeEntry, nodes: Sequence[NodeEntry]) -> float:
    """Count the lists that a watcher sends if all nodes start at once.

    :returns: the number of lists of full size with as many bytes.
    """
    local = sum(node.zone == watcher.zone for node in nodes)
    watchers = math.ceil(local / NODES_PER_WATCHER)
    return local / watchers / MIN_COMPRESSION
