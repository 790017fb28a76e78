"""Types of the configuration, independent of the platform's format."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from ryelatch_core.fleet import ModelProfile


class RetryPolicy(enum.Enum):
    """Whether a request is sent again if an attempt has an unknown outcome."""

    ANY = 'any'
    """Always: the request is idempotent."""

    RESUME = 'resume'
    """As a stream that another upstream continues after its last event."""

    NEVER = 'never'
    """Never: at most one upstream may run it."""


@dataclass(frozen=True, slots=True)
class Split:
    """The fraction of a route's requests that one service gets.

    :param service: name of the service.
    :param weight: weight relative to those of the route's other splits.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests with one host and path prefix, and how they are served.

    :param host: host name of the requests.
    :param prefix: path prefix; begins and ends with a slash.
    :param splits: services that may run the requests, at least one.
    :param retry_policy: whether a request may be sent again if an attempt's
        outcome is unknown.
    :param streaming: whether the answer is a stream of events.
    :param max_attempts: number of upstreams that one request may be sent to.
    :param timeout: seconds until a request gets its final answer, at most.
    :param objective: target latency to the answer, or to the first event, in
        seconds.
    :param gap: longest pause between events, in seconds.
    :param priority: 0 is served first.
    :param anonymous: whether requests without a key are served.
    """

    name: str
    host: str
    prefix: str
    splits: tuple[Split, ...]
    retry_policy: RetryPolicy
    streaming: bool
    max_attempts: int
    timeout: float
    objective: float
    gap: float
    priority: int
    anonymous: bool = False


@dataclass(frozen=True, slots=True)
class ServiceConfiguration:
    """Configuration that all upstreams of a service have in common.

    :param health_path: path of an upstream's health check.
    :param max_connections: connections that one upstream accepts from all
        nodes together.
    :param model: performance of its engines; ``None`` for a non-model
        service.
    """

    name: str
    health_path: str
    max_connections: int
    model: ModelProfile | None = None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    :param keys: keys that identify its requests.
    :param priority: if set, replaces the priority of the route.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on a client's request, in bytes and seconds.

    :param header_bytes: largest size of the headers.
    :param body_bytes: largest size of the body.
    :param header_seconds: longest time until the headers are complete.
    :param idle_seconds: longest time without data on a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of all that operators configure.

    :param version: grows with each change, not always by one.
    :param services: services by name.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceConfiguration] = field(default_factory=dict)
    limits: ClientLimits = ClientLimits()
    accounts: tuple[Account, ...] = ()
