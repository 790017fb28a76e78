"""What a process is told at its start."""

from dataclasses import dataclass
from typing import NamedTuple


class Address(NamedTuple):
    """Where something listens."""

    host: str
    port: int


class RelayStartup(NamedTuple):
    """Start-up settings of a relaying node; times in seconds.

    :param front: where clients connect.
    :param readiness: where the balancer asks whether this node is ready.
    :param metrics: where metrics are read.
    :param peers: where other nodes ask this one.
    :param link_mbps: of this VM's link.
    :param store: where the platform's store is.
    :param retry_ratio: retries allowed for each request, over all nodes.
    :param retry_extra: retries allowed besides in each window.
    :param retry_window: length of that window.
    :param grace: from a signal to stop to the end of the process.
    :param revoke_seconds: after which a revoked key must not be accepted.
    :param drain_seconds: for which upstreams that leave may get requests.
    :param steady_seconds: after some trouble, the platform's or a VM's, for
        which nodes are not held to such bounds.
    :param stall_seconds: after which upstreams give up on a lost one.
    :param fenced: whether upstreams refuse orders with old fencing numbers.
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


FIXED = (
    'name',
    'zone',
    'front',
    'readiness',
    'metrics',
    'peers',
    'store',
)
"""Settings that take effect at a start, when sockets and names are made."""


@dataclass(frozen=True)
class SettingsChanged:
    """The settings of this process have changed."""

    startup: RelayStartup


@dataclass(frozen=True)
class NodeCountChanged:
    """How many nodes there are, as far as they have entered themselves."""

    nodes: int


def apply_reloadable(
    old: RelayStartup,
    new: RelayStartup,
) -> tuple[RelayStartup, tuple[str, ...]]:
    """Take new settings but for those that need a start.

    :returns: what is in force from now on, and the names of changed settings
        that wait for a start.
    """
    waiting = tuple(
        name for name in FIXED if getattr(old, name) != getattr(new, name)
    )
    return new._replace(**{name: getattr(old, name) for name in FIXED}), waiting
