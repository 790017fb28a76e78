"""What the functions of the relay share."""

import random
from dataclasses import dataclass, field

from ryelatch_core.events import UsageTracker, LineLog
from ryelatch_core.fleet import (
    AccountBook,
    DurationBook,
    FailureBook,
    LoadBook,
    ReturnPlan,
    Windows,
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
    load: LoadBook = field(default_factory=LoadBook)
    ends: CrashChecks = field(init=False)
    paces: PaceChecks = field(init=False)
    windows: Windows = field(init=False)
    accounts: AccountBook = field(default_factory=AccountBook)
    returns: ReturnPlan = field(default_factory=ReturnPlan)
    patience: dict[str, float] = field(default_factory=dict)
    failures: FailureBook = field(default_factory=FailureBook)
    durations: DurationBook = field(default_factory=DurationBook)

    def __post_init__(self) -> None:
        """Make what needs the other parts."""
        self.ends = CrashChecks(self.orders)
        self.paces = PaceChecks(
            self.log, self.clock, self.orders, self.throttle.is_throttled
        )
        self.windows = Windows(self.draw)

    def now(self) -> float:
        """Tell the time in monotonic seconds."""
        return self.clock.monotonic()

    def draw(self) -> float:
        """Draw a number from 0 to 1."""
        return self.random_source.random()
