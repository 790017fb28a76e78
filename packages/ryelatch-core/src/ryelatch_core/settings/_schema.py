"""Classes of the settings tree and the start-up settings, with bounds."""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from msgspec import Meta

Seconds = Annotated[float, Meta(gt=0, le=3600, description='seconds')]
Weight = Annotated[float, Meta(gt=0, le=1000)]
Priority = Annotated[int, Meta(ge=0, le=9)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
KeyHash = Annotated[
    str,
    Meta(
        pattern='^sha256:[0-9a-f]{64}$',
        description='sha256: followed by the hash of a key in hexadecimal',
    ),
]
Prefix = Annotated[str, Meta(pattern='^/[A-Za-z0-9._~/-]*$')]
Method = Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']


@dataclass(frozen=True)
class Policy:
    """Limits and permissions; unset fields are inherited from the parent."""

    weight: Annotated[
        Weight | None,
        Meta(description='relative share of capacity under contention'),
    ] = None
    priority: Annotated[
        Priority | None,
        Meta(description='priority at the engines; 9 is served first'),
    ] = None
    concurrent: Annotated[
        Count | None,
        Meta(description='maximum number of requests running at once'),
    ] = None
    queue: Annotated[
        Count | None,
        Meta(description='maximum number of requests waiting at once'),
    ] = None
    queue_wait: Annotated[
        Seconds | None,
        Meta(description='maximum wait in the queue, in seconds'),
    ] = None
    deadline: Annotated[
        Seconds | None,
        Meta(description='maximum duration of a request, in seconds'),
    ] = None
    max_tokens: Annotated[
        Count | None, Meta(description='maximum number of tokens generated')
    ] = None
    models: Annotated[
        tuple[str, ...] | None, Meta(description='models that may be used')
    ] = None
    routes: Annotated[
        tuple[str, ...] | None, Meta(description='routes that may be called')
    ] = None


@dataclass(frozen=True)
class Account:
    """A client account, or a group whose children inherit its policy."""

    policy: Policy = field(default_factory=Policy)
    keys: Annotated[
        tuple[KeyHash, ...],
        Meta(description='hashes of the keys; several during a key rotation'),
    ] = ()
    accounts: dict[str, 'Account'] = field(default_factory=dict)


@dataclass(frozen=True)
class Model:
    """A language model, of which each engine serves a range of layers."""

    layers: Annotated[int, Meta(ge=1, le=1000)]
    context: Annotated[
        Count,
        Meta(description='maximum tokens of prompt and answer together'),
    ]
    version: str
    slots: Annotated[
        Count,
        Meta(description='maximum number of answers in progress in the fleet'),
    ] = 256


@dataclass(frozen=True)
class Route:
    """A path prefix that is routed to a non-model service."""

    service: str
    idempotent: Annotated[
        tuple[Method, ...],
        Meta(description='methods that may be repeated after a failure'),
    ] = ('GET', 'HEAD')
    strip: Annotated[
        bool, Meta(description='remove the prefix from the path')
    ] = True
    keep_answers: Annotated[
        Seconds,
        Meta(
            description='how long a claimed idempotency key is kept, in seconds'
        ),
    ] = 3600


@dataclass(frozen=True)
class Service:
    """A non-model service beside the engines."""

    role: Annotated[
        str, Meta(description="role of its VMs in the platform's list of VMs")
    ]
    timeout: Annotated[
        Seconds, Meta(description='maximum wait for an answer, in seconds')
    ] = 30
    health: Annotated[
        Prefix,
        Meta(description='path that answers 503 while an upstream is leaving'),
    ] = '/healthz'
    slots: Annotated[
        Count,
        Meta(description='maximum number of requests in progress in the fleet'),
    ] = 256


@dataclass(frozen=True)
class Zone:
    """An availability zone."""

    region: str


@dataclass(frozen=True)
class EngineRules:
    """Capabilities of the engines of one kind."""

    fencing: Annotated[
        bool,
        Meta(description='whether they reject an outdated fencing number'),
    ] = False


@dataclass(frozen=True)
class Settings:
    """Root of the settings tree."""

    policy: Policy = field(default_factory=Policy)
    zones: dict[str, Zone] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    routes: dict[Prefix, Route] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    engines: dict[str, EngineRules] = field(default_factory=dict)


@dataclass(frozen=True)
class Address:
    """Host and port on which a process listens."""

    host: str
    port: Annotated[int, Meta(ge=0, le=65535)]


@dataclass(frozen=True)
class Platform:
    """Access to the object API of the platform."""

    url: Annotated[str, Meta(pattern='^https?://')]
    token: str
    timeout: Annotated[
        Seconds, Meta(description='maximum duration of one call, in seconds')
    ] = 2


@dataclass(frozen=True)
class Tls:
    """Certificate of this process and the authority that signs its peers."""

    certificate: str
    key: str
    authority: str | None = None


@dataclass(frozen=True)
class Startup:
    """Start-up settings of one node."""

    name: Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]
    zone: str
    listen: Address
    peers: Address
    platform: Platform
    peer_key: Annotated[str, Meta(min_length=16)]
    operator_keys: tuple[KeyHash, ...]
    seeds: Annotated[
        tuple[Address, ...],
        Meta(description='peers to ask if the store is unavailable at startup'),
    ] = ()
    drain_notice: Annotated[
        float,
        Meta(
            ge=0,
            le=600,
            description='seconds between reporting not ready and closing, for '
            'the load balancer to react',
        ),
    ] = 2
    tls: Tls | None = None
