"""The node's view of the configuration, and when it was last confirmed."""

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.routing import (
    Configuration,
    Confirmation,
    RoutingTable,
    build_table,
)
from ryelatch_node.views._freshness import UNKNOWN_AGE_SECONDS


class ConfigurationView:
    """The configuration that this node handles requests by.

    :param bound: seconds for which API keys of clients are accepted without a
        confirmation that the configuration is still the newest.
    """

    def __init__(self, log: LineLog, clock: Clock, bound: float) -> None:
        self.table: RoutingTable | None = None
        self._log = log
        self._clock = clock
        self._confirmation = Confirmation(bound)
        self._fresh = True

    def set_bound(self, bound: float) -> None:
        """Set for how many seconds keys are accepted without confirmation."""
        self._confirmation.bound = bound

    @property
    def version(self) -> int:
        """The version in force; 0 before the first one is received."""
        return self.table.configuration.version if self.table else 0

    @property
    def age(self) -> float:
        """Seconds since the configuration was last confirmed as the newest."""
        age = self._confirmation.age(self._clock.monotonic())
        return min(age, UNKNOWN_AGE_SECONDS)

    @property
    def max_age(self) -> float:
        """Age in seconds from which keys are no longer accepted."""
        return self._confirmation.max_age

    @property
    def left(self) -> float:
        """Seconds until keys are refused unless a confirmation arrives."""
        return self._confirmation.left(self._clock.monotonic())

    def offer(self, configuration: Configuration, sent: float) -> None:
        """Apply a version read from the store unless it is older.

        A list may be served by a replica of the store that lags behind the
        version in force here. Applying it would undo a change that the store
        accepted and that clients have already seen in force.

        :param sent: when the call that returned this version was sent, in
            monotonic seconds.
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
        """Record that a call sent at this time returned nothing newer.

        :param sent: monotonic seconds.
        """
        self._confirmation.confirm(sent)
        self.allows_keys()

    def allows_keys(self) -> bool:
        """Whether keys may be accepted; logs when that changes."""
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
