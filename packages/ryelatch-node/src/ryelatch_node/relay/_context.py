"""Services and state that the functions of the relay share."""

import random
from dataclasses import dataclass, field

from ryelatch_core.admission import (
    AccountTracker,
    ConcurrencyWindows,
    RetryScheduler,
)
from ryelatch_core.events import LineLog, UsageTracker
from ryelatch_core.fleet import (
    DurationTracker,
    FailureTracker,
    LoadTracker,
)
from ryelatch_core.kernel import Clock, LagMeter
from ryelatch_core.retries import RetryBudgets
from ryelatch_node.forwarding import ForwardClient
from ryelatch_node.links import Links
from ryelatch_node.ports import HeaderCodec, RelayStartup, ReplicaCommands
from ryelatch_node.quarantine import Quarantine
from ryelatch_node.relay._crash_checks import CrashChecks
from ryelatch_node.relay._held import HeldBytes
from ryelatch_node.relay._silence_checks import SilenceChecks
from ryelatch_node.relay._slow_replicas import SlowReplicaChecks
from ryelatch_node.relay._upstream import Upstreams
from ryelatch_node.reservations import Reservations
from ryelatch_node.throttle import Throttle
from ryelatch_node.views import ConfigurationView, ReplicaView


@dataclass
class RelayContext:
    """Services that the relay uses, and state that it keeps itself.

    :param lag: records when this process ran late.
    :param longest_timeouts: longest time for which a client of a route was
        prepared to wait for an answer, in seconds, by name of the route.
    """

    startup: RelayStartup
    log: LineLog
    clock: Clock
    random_source: random.Random
    configuration: ConfigurationView
    replicas: ReplicaView
    upstreams: Upstreams
    wire: HeaderCodec
    commands: ReplicaCommands
    budgets: RetryBudgets
    quarantine: Quarantine
    throttle: Throttle
    reservations: Reservations
    links: Links
    forwarding: ForwardClient
    usage: UsageTracker = field(default_factory=UsageTracker)
    load: LoadTracker = field(default_factory=LoadTracker)
    crash_checks: CrashChecks = field(init=False)
    silence_checks: SilenceChecks = field(init=False)
    slow_replicas: SlowReplicaChecks = field(init=False)
    windows: ConcurrencyWindows = field(init=False)
    accounts: AccountTracker = field(default_factory=AccountTracker)
    returns: RetryScheduler = field(default_factory=RetryScheduler)
    longest_timeouts: dict[str, float] = field(default_factory=dict)
    failures: FailureTracker = field(default_factory=FailureTracker)
    durations: DurationTracker = field(default_factory=DurationTracker)
    lag: LagMeter = field(default_factory=LagMeter)
    held: HeldBytes = field(default_factory=HeldBytes)

    def __post_init__(self) -> None:
        """Create the members that depend on others."""
        self.crash_checks = CrashChecks(
            self.log,
            self.clock,
            self.commands,
            self.configuration,
            self.throttle,
            self.replicas,
            self.links,
        )
        self.silence_checks = SilenceChecks(
            self.clock,
            self.commands,
            self.replicas,
            self.throttle.is_throttled,
        )
        self.slow_replicas = SlowReplicaChecks(
            self.log, self.clock, self.commands, self.throttle.is_throttled
        )
        self.windows = ConcurrencyWindows(self.draw)

    def now(self) -> float:
        """Read the clock, in monotonic seconds."""
        return self.clock.monotonic()

    def draw(self) -> float:
        """Draw a random number from 0 to 1."""
        return self.random_source.random()
