"""What the settings tree may hold, with units and bounds."""

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
        description='sha256: and the hash of a key, as hexadecimal digits',
    ),
]
Prefix = Annotated[str, Meta(pattern='^/[A-Za-z0-9._~/-]*$')]
Method = Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']


@dataclass(frozen=True)
class Policy:
    """What each settings node inherits from its parent if it is silent."""

    weight: Annotated[
        Weight | None, Meta(description='share of the work under contention')
    ] = None
    priority: Annotated[
        Priority | None, Meta(description='engine priority, 9 served first')
    ] = None
    concurrent: Annotated[
        Count | None, Meta(description='requests running at once')
    ] = None
    queue: Annotated[
        Count | None, Meta(description='requests waiting at once')
    ] = None
    queue_wait: Annotated[
        Seconds | None, Meta(description='longest wait in the queue, seconds')
    ] = None
    deadline: Annotated[
        Seconds | None, Meta(description='longest whole request, seconds')
    ] = None
    max_tokens: Annotated[
        Count | None, Meta(description='tokens generated at most')
    ] = None
    models: Annotated[
        tuple[str, ...] | None, Meta(description='models that may be asked')
    ] = None
    routes: Annotated[
        tuple[str, ...] | None, Meta(description='routes that may be called')
    ] = None


@dataclass(frozen=True)
class Account:
    """A client account, or a group that its children inherit from."""

    policy: Policy = field(default_factory=Policy)
    keys: Annotated[
        tuple[KeyHash, ...],
        Meta(description='hashes of the keys; several while one is replaced'),
    ] = ()
    accounts: dict[str, 'Account'] = field(default_factory=dict)


@dataclass(frozen=True)
class Model:
    """A language model that engines serve in ranges of layers."""

    layers: Annotated[int, Meta(ge=1, le=1000)]
    context: Annotated[
        Count, Meta(description='prompt and answer together, tokens')
    ]
    version: str
    slots: Annotated[
        Count, Meta(description='answers in progress at once, fleet-wide')
    ] = 256


@dataclass(frozen=True)
class Route:
    """A path prefix that leads to a plain service."""

    service: str
    idempotent: Annotated[
        tuple[Method, ...],
        Meta(description='methods that may be sent again after a failure'),
    ] = ('GET', 'HEAD')
    strip: Annotated[bool, Meta(description='take the prefix off the path')] = (
        True
    )
    keep_answers: Annotated[
        Seconds, Meta(description='how long a claimed key is remembered')
    ] = 3600


@dataclass(frozen=True)
class Service:
    """A plain service beside the engines."""

    role: Annotated[
        str, Meta(description='role of its VMs in the list of the platform')
    ]
    timeout: Annotated[
        Seconds, Meta(description='longest wait for an answer, seconds')
    ] = 30
    health: Annotated[
        Prefix,
        Meta(description='path that answers 503 while an upstream leaves'),
    ] = '/healthz'
    slots: Annotated[
        Count, Meta(description='requests in progress at once, fleet-wide')
    ] = 256


@dataclass(frozen=True)
class Zone:
    """An availability zone."""

    region: str


@dataclass(frozen=True)
class EngineRules:
    """What is known of the engines' part in orders."""

    fencing: Annotated[
        bool, Meta(description='refuses orders with an old fencing number')
    ] = False


@dataclass(frozen=True)
class Settings:
    """The root of the tree."""

    policy: Policy = field(default_factory=Policy)
    zones: dict[str, Zone] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    routes: dict[Prefix, Route] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    engines: dict[str, EngineRules] = field(default_factory=dict)


@dataclass(frozen=True)
class Address:
    """Where a process listens."""

    host: str
    port: Annotated[int, Meta(ge=0, le=65535)]


@dataclass(frozen=True)
class Platform:
    """How to reach the object API of the platform."""

    url: Annotated[str, Meta(pattern='^https?://')]
    token: str
    timeout: Annotated[
        Seconds, Meta(description='longest wait for one call, seconds')
    ] = 2


@dataclass(frozen=True)
class Tls:
    """Certificate of this process and the authority of its peers."""

    certificate: str
    key: str
    authority: str | None = None


@dataclass(frozen=True)
class Startup:
    """The start-up settings of one node."""

    name: Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]
    zone: str
    listen: Address
    peers: Address
    platform: Platform
    peer_key: Annotated[str, Meta(min_length=16)]
    operator_keys: tuple[KeyHash, ...]
    seeds: Annotated[
        tuple[Address, ...],
        Meta(description='peers to ask when the platform is out at the start'),
    ] = ()
    drain_notice: Annotated[
        float,
        Meta(
            ge=0,
            le=600,
            description='seconds between not ready and closing, for the '
            'balancer to notice',
        ),
    ] = 2
    tls: Tls | None = None
