"""What a process is told at its start."""

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
    :param store: where the platform's store is.
    :param retry_ratio: retries allowed for each request, over all nodes.
    :param retry_extra: retries allowed besides in each window.
    :param retry_window: length of that window.
    :param grace: from a signal to stop to the end of the process.
    :param revoke_seconds: after which a revoked key must not be accepted.
    :param stall_seconds: after which upstreams give up on a lost one.
    :param fenced: whether upstreams refuse orders with old fencing numbers.
    """

    name: str
    zone: str
    front: Address
    readiness: Address
    metrics: Address
    store: Address
    zones: tuple[str, ...]
    retry_ratio: float
    retry_extra: float
    retry_window: float
    grace: float
    revoke_seconds: float
    stall_seconds: float
    fenced: bool
