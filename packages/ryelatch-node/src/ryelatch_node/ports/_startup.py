"""Start-up settings of a relaying node, and events on changes."""

from dataclasses import dataclass
from typing import NamedTuple

DEFAULT_MEMORY_BYTES = 300_000_000
"""Memory of the process if the settings don't tell, that of a small VM."""

DEFAULT_MAX_FILES = 4100
"""Descriptors of the process if the settings don't tell."""


class Address(NamedTuple):
    """Host and port on which a server listens."""

    host: str
    port: int


class RelayStartup(NamedTuple):
    """Start-up settings of a relaying node; times in seconds.

    :param front: address for clients.
    :param readiness: address for the load balancer's readiness checks.
    :param metrics: address for reading metrics.
    :param peers: address for requests of other nodes.
    :param link_mbps: bandwidth of this VM's network link.
    :param store: address of the platform's store.
    :param retry_ratio: retries allowed for each request, over all nodes.
    :param retry_extra: additional retries allowed in each window.
    :param retry_window: length of that window.
    :param grace: time from the signal to stop until the process must have
        exited.
    :param revoke_seconds: time after which a revoked key must be refused.
    :param drain_seconds: time for which leaving upstreams may still get
        requests.
    :param steady_seconds: time after a fault of the platform or a VM in which
        nodes needn't meet such bounds.
    :param stall_seconds: time after which upstreams treat an unresponsive
        upstream as lost.
    :param fenced: whether upstreams refuse commands with old fencing numbers.
    :param fleet_admission: whether requests to services whose routes differ in
        priority need a place that is reserved over all nodes.
    :param memory_bytes: memory that this VM gives the process.
    :param max_files: descriptors that this VM lets the process open.
    """

    name: str
    zone: str
    front: Address
    readiness: Address
    metrics: Address
    peers: Address
    link_mbps: float
    store: Address
    zones: tuple[str, ...]
    retry_ratio: float
    retry_extra: float
    retry_window: float
    grace: float
    revoke_seconds: float
    drain_seconds: float
    steady_seconds: float
    stall_seconds: float
    fenced: bool
    fleet_admission: bool = False
    memory_bytes: float = DEFAULT_MEMORY_BYTES
    max_files: int = DEFAULT_MAX_FILES


RESTART_ONLY = (
    'name',
    'zone',
    'front',
    'readiness',
    'metrics',
    'peers',
    'store',
    'fleet_admission',
)
"""Settings that take effect only when the process starts."""


@dataclass(frozen=True)
class SettingsChanged:
    """Emitted when the settings of this process have changed."""

    startup: RelayStartup


@dataclass(frozen=True)
class NodeCountChanged:
    """Emitted with the number of nodes that are registered in the store."""

    nodes: int


def apply_reloadable(
    old: RelayStartup,
    new: RelayStartup,
) -> tuple[RelayStartup, tuple[str, ...]]:
    """Apply new settings except those that require a restart.

    :returns: the settings in force from now on, and the names of changed
        settings that take effect after a restart.
    """
    waiting = tuple(
        name
        for name in RESTART_ONLY
        if getattr(old, name) != getattr(new, name)
    )
    return new._replace(
        **{name: getattr(old, name) for name in RESTART_ONLY}
    ), waiting
