"""What the functions of the relay share."""

import random
from dataclasses import dataclass, field

from ryelatch_core.events import UsageTracker, LineLog
from ryelatch_core.fleet import (
    AccountTracker,
    DurationTracker,
    FailureTracker,
    LoadTracker,
    RetryScheduler,
    ConcurrencyWindows,
)
from ryelatch_core.kernel import Clock
from ryelatch_core.retries import RetryBudget
from ryelatch_node.beliefs import ConfigurationView, ReplicaView
from ryelatch_node.ports import Orders, RelayStartup, Wire
from ryelatch_node.quarantine import Quarantine
from ryelatch_node.relay._paces import PaceChecks
from ryelatch_node.relay._reach import CrashChecks
from ryelatch_node.relay._upstream import Upstreams
from ryelatch_node.throttle import Throttle


@dataclass
class RelayContext:
    """The services that relaying needs, and what it learned itself."""

    startup: RelayStartup
    log: LineLog
    clock: Clock
    random_source: random.Random
    configuration: ConfigurationView
    replicas: ReplicaView
    upstreams: Upstreams
    wire: Wire
    orders: Orders
    budget: RetryBudget
    quarantine: Quarantine
    throttle: Throttle
    costs: UsageTracker = field(default_factory=UsageTracker)
    load: LoadTracker = field(default_factory=LoadTracker)
    ends: CrashChecks = field(init=False)
    paces: PaceChecks = field(init=False)
    windows: ConcurrencyWindows = field(init=False)
    accounts: AccountTracker = field(default_factory=AccountTracker)
    returns: RetryScheduler = field(default_factory=RetryScheduler)
    patience: dict[str, float] = field(default_factory=dict)
    failures: FailureTracker = field(default_factory=FailureTracker)
    durations: DurationTracker = field(default_factory=DurationTracker)

    def __post_init__(self) -> None:
        """Make what needs the other parts."""
        self.ends = CrashChecks(self.orders)
        self.paces = PaceChecks(
            self.log, self.clock, self.orders, self.throttle.is_throttled
        )
        self.windows = ConcurrencyWindows(self.draw)

    def now(self) -> float:
        """Tell the time in monotonic seconds."""
        return self.clock.monotonic()

    def draw(self) -> float:
        """Draw a number from 0 to 1."""
        return self.random_source.random()
