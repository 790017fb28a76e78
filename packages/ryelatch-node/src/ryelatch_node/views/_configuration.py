"""The node's view of the configuration, and when it was last confirmed."""

from ryelatch_core.eras import REWRITE_SECONDS
from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import STORE_OVERDUE_SECONDS
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
        # Version that the store last returned.
        self._stored_version = 0
        # Newest version that peers have seen.
        self._expected_version = 0
        # Monotonic seconds before which the store may lack the newest version.
        self._settled_at = float('-inf')
        # Monotonic seconds before which nothing confirms the configuration.
        self._unsettled_until = float('-inf')

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
        """Seconds until keys are refused unless a confirmation arrives.

        If none counts yet, that is later than keys are refused: calls that
        can't confirm the configuration needn't be more frequent.
        """
        now = self._clock.monotonic()
        if self._is_store_behind:
            return self._confirmation.max_age
        left = self._confirmation.left(now)
        if now >= self._unsettled_until:
            return left
        return max(left, self._unsettled_until - now + STORE_OVERDUE_SECONDS)

    def begin_era(self) -> None:
        """Allow for versions that the store has lost.

        It came back from an older copy. If a key was revoked since this node
        last confirmed the configuration, it must be refused from one bound
        after that confirmation. What the store returns may lack the revocation
        until it is written again, so it confirms nothing if that may be later.
        """
        self._unsettle(REWRITE_SECONDS)

    def expect(self, version: int, unsettled: float) -> None:
        """Apply what peers have seen, before a list of a new era is applied.

        This node may not have seen the newest version, because it has just
        started, or was cut off. Nothing confirms the configuration before the
        store returns a version that peers have seen.

        :param version: the newest version that peers have seen.
        :param unsettled: seconds for which peers expect that the store lacks
            the newest version.
        """
        self._expected_version = max(self._expected_version, version)
        if unsettled > 0:
            self._unsettle(unsettled)

    @property
    def unsettled(self) -> float:
        """Seconds for which the store may lack the newest version."""
        if self._is_store_behind:
            return REWRITE_SECONDS
        return max(0.0, self._settled_at - self._clock.monotonic())

    def offer(self, configuration: Configuration, sent: float) -> None:
        """Apply a version read from the store unless it is older.

        A list may be served by a replica of the store that lags behind the
        version in force here. Applying it would undo a change that the store
        accepted and that clients have already seen in force.

        :param sent: when the call that returned this version was sent, in
            monotonic seconds.
        """
        self._stored_version = configuration.version
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

        It confirms nothing while the store may lack the newest version.

        :param sent: monotonic seconds.
        """
        if not self._is_store_behind and sent >= self._unsettled_until:
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

    @property
    def _is_store_behind(self) -> bool:
        """Whether the store returned an older version than was seen."""
        newest = max(self.version, self._expected_version)
        return self._stored_version < newest

    def _unsettle(self, seconds: float) -> None:
        settled = self._clock.monotonic() + seconds
        self._settled_at = max(self._settled_at, settled)
        if self._confirmation.confirmed + self._confirmation.bound < settled:
            self._unsettled_until = max(self._unsettled_until, settled)
