"""A configuration as the operators wrote it, in the router's own words."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from ryelatch_core.fleet import ModelProfile


class RetryPolicy(enum.Enum):
    """What may be sent again after an attempt whose outcome is unknown."""

    ANY = 'any'
    """The request is idempotent."""

    RESUME = 'resume'
    """A stream that another upstream can continue after its last event."""

    NEVER = 'never'
    """At most one upstream may run it."""


@dataclass(frozen=True, slots=True)
class Split:
    """A share of a route's requests.

    :param weight: relative to the weights of the route's other shares.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one kind and what they are promised.

    :param prefix: path prefix; begins and ends with a slash.
    :param splits: the services that may run it, at least one.
    :param streaming: whether the answer is a stream of events.
    :param max_attempts: upstreams that one request may be sent to.
    :param timeout: seconds after which a request gets its final answer.
    :param objective: seconds to the answer, or to the first event.
    :param gap: the longest pause between events, in seconds.
    :param priority: 0 goes first.
    :param anonymous: whether it is served without a key.
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
    """What upstreams of a service have in common.

    :param max_connections: that one upstream accepts from all nodes.
    :param model: how its engines perform; nothing for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    model: ModelProfile | None = None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    :param priority: goes before that of the route, where it has one.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what a client may send, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of everything that operators decide.

    :param version: grows with each change, in uneven steps.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceConfiguration] = field(default_factory=dict)
    limits: ClientLimits = ClientLimits()
    accounts: tuple[Account, ...] = ()
