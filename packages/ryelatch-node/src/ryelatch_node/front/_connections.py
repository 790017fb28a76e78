"""Bounds on the connections of clients at the product's own front."""

import asyncio
from collections.abc import Callable
from typing import Any

from ryelatch_core.events import Timeline
from ryelatch_core.kernel import App
from ryelatch_core.routing import ClientLimits
from ryelatch_node.clients import (
    BoundedProtocol,
    BoundedReader,
    ClientResources,
    ConnectionTable,
    MemoryBudget,
    compute_backlog,
    compute_capacity,
    compute_max_descriptors,
)
from ryelatch_node.front._body import MAX_BODY_BYTES, MAX_HEADERS_BYTES
from ryelatch_node.ports import DEFAULT_MAX_FILES, DEFAULT_MEMORY_BYTES

IDLE_SECONDS = 30
"""Time for which a connection may be open without a request."""

CLIENT_LIMITS = ClientLimits(
    header_bytes=2 * MAX_HEADERS_BYTES,
    body_bytes=MAX_BODY_BYTES,
    header_seconds=10,
    idle_seconds=IDLE_SECONDS,
)
"""Limits of a connection; names and values of headers have a closer one."""

_CHECK_SECONDS = 0.5

_MAX_DESCRIPTORS = compute_max_descriptors(DEFAULT_MAX_FILES)

BACKLOG = compute_backlog(_MAX_DESCRIPTORS)
"""Connections that may wait to be accepted."""


def make_resources(app: App) -> ClientResources:
    """Make what all connections of clients share."""
    connections = ConnectionTable(_MAX_DESCRIPTORS, app.clock.monotonic)
    memory = MemoryBudget(
        compute_capacity(DEFAULT_MEMORY_BYTES), connections.free_memory
    )
    return ClientResources(
        connections,
        memory,
        lambda: CLIENT_LIMITS,
        app.find('timeline', Timeline).record,
    )


def make_factory(resources: ClientResources) -> Callable[..., BoundedReader]:
    """Make the function that makes the protocol of a connection."""

    def make_protocol(*arguments: Any, **options: Any) -> BoundedReader:
        protocol = BoundedProtocol(*arguments, resources=resources, **options)
        return BoundedReader(protocol, resources.read_buffer)

    return make_protocol


async def check_connections(resources: ClientResources) -> None:
    """Close the connections that have stood still, until it is cancelled."""
    while True:
        await asyncio.sleep(_CHECK_SECONDS)
        resources.connections.check()
