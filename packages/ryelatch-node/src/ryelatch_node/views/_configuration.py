"""The configuration in force, and when it was last confirmed."""

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.routing import (
    Configuration,
    Confirmation,
    RoutingTable,
    build_table,
)
from ryelatch_node.views._freshness import NEVER_SECONDS


class ConfigurationView:
    """The configuration that requests are handled by.

    :param bound: seconds for which keys may be accepted unconfirmed.
    """

    def __init__(self, log: LineLog, clock: Clock, bound: float) -> None:
        self.table: RoutingTable | None = None
        self._log = log
        self._clock = clock
        self._confirmation = Confirmation(bound)
        self._fresh = True

    def set_bound(self, bound: float) -> None:
        """Change for how long keys may be accepted unconfirmed."""
        self._confirmation.bound = bound

    @property
    def version(self) -> int:
        """The version in force; 0 before any is known."""
        return self.table.configuration.version if self.table else 0

    @property
    def age(self) -> float:
        """Seconds since the configuration was known to be the newest."""
        age = self._confirmation.age(self._clock.monotonic())
        return min(age, NEVER_SECONDS)

    @property
    def max_age(self) -> float:
        """Age in seconds at which keys are no longer accepted."""
        return self._confirmation.max_age

    @property
    def left(self) -> float:
        """Seconds for which keys are accepted if nothing confirms them."""
        return self._confirmation.left(self._clock.monotonic())

    def offer(self, configuration: Configuration, sent: float) -> None:
        """Take a version that the store gave, if it isn't older.

        A list may be served by a part of the store that lags behind what
        this node has seen. Going back to it would undo a change that was
        accepted and seen in force by callers.

        :param sent: when the call was sent that brought it.
        """
        if configuration.version < self.version:
            self._log.record(
                catalogue.CONFIGURATION_REFUSED,
                version=configuration.version,
                in_force=self.version,
            )
            return
        if self.table is None or configuration.version > self.version:
            self.table = build_table(configuration)
            self._log.record(
                catalogue.CONFIGURATION_APPLIED,
                version=configuration.version,
                routes=len(configuration.routes),
                accounts=len(configuration.accounts),
            )
        self.confirm(sent)

    def confirm(self, sent: float) -> None:
        """Note that a call sent at this time showed nothing newer."""
        self._confirmation.confirm(sent)
        self.allows_keys()

    def allows_keys(self) -> bool:
        """Whether keys may be accepted by this configuration."""
        fresh = self._confirmation.allows_keys(self._clock.monotonic())
        if fresh != self._fresh:
            self._fresh = fresh
            kind = (
                catalogue.CONFIGURATION_FRESH
                if fresh
                else catalogue.CONFIGURATION_STALE
            )
            self._log.record(kind, version=self.version, age=self._round_age())
        return fresh

    def _round_age(self) -> float:
        return round(self.age, 3)
