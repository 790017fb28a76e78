"""What controllers reported of the load of all nodes at the replicas."""

from dataclasses import dataclass, field

from ryelatch_core.fleet import LoadEstimate
from ryelatch_core.kernel import Clock
from ryelatch_node.reservations._controllers import ZoneKey
from ryelatch_node.reservations._frames import ReplicaLoad

MAX_LOAD_AGE_SECONDS = 3.0
"""Age up to which a report replaces this node's own estimate.

Most answers that were in progress have ended by then.
"""

MAX_ROOM_AGE_SECONDS = 0.5
"""Age up to which a replica that was full is left out.

Places are freed all the time, and only the controller knows when.
"""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A report of the load of a zone.

    :param waiting: number of requests that wait for a place in the zone.
    :param at: when it arrived, in monotonic seconds.
    """

    replicas: tuple[ReplicaLoad, ...]
    waiting: int
    at: float


@dataclass(eq=False)
class FleetLoad:
    """The last report of each zone."""

    clock: Clock
    _reports: dict[ZoneKey, LoadReport] = field(default_factory=dict)

    def record(
        self, key: ZoneKey, replicas: tuple[ReplicaLoad, ...], waiting: int
    ) -> None:
        """Record a report.

        :param waiting: number of requests that wait for a place in the zone.
        """
        now = self.clock.monotonic()
        self._reports[key] = LoadReport(replicas, waiting, now)

    def is_known(self, service: str) -> bool:
        """Whether there is a recent report of the load of any zone."""
        return bool(self._list_recent(service, MAX_LOAD_AGE_SECONDS))

    def count_waiting(self, key: ZoneKey) -> int:
        """Return how many requests waited in a zone a moment ago."""
        report = self._reports.get(key)
        if report is None:
            return 0
        age = self.clock.monotonic() - report.at
        return report.waiting if age <= MAX_ROOM_AGE_SECONDS else 0

    def merge(self, service: str, estimate: LoadEstimate) -> LoadEstimate:
        """Replace an estimate where there are recent reports.

        :param estimate: what this node's own requests suggest.
        """
        reported = self._list_recent(service, MAX_LOAD_AGE_SECONDS)
        if not reported:
            return estimate
        requests = {load.name: load.requests for load in reported}
        tokens = {load.name: load.tokens for load in reported}
        return LoadEstimate(
            {**estimate.requests, **requests},
            {**estimate.tokens, **tokens},
            context=tokens,
            entry_seconds={load.name: load.delay for load in reported},
        )

    def list_full(self, service: str, tokens: int) -> frozenset[str]:
        """List the replicas without memory for a request.

        :param tokens: of the request.
        """
        return frozenset(
            load.name
            for load in self._list_recent(service, MAX_ROOM_AGE_SECONDS)
            if load.free < tokens
        )

    def list_closed(self, service: str) -> frozenset[str]:
        """List the replicas at which no further path may begin."""
        return frozenset(
            load.name
            for load in self._list_recent(service, MAX_ROOM_AGE_SECONDS)
            if not load.free_slots
        )

    def _list_recent(self, service: str, max_age: float) -> list[ReplicaLoad]:
        oldest = self.clock.monotonic() - max_age
        return [
            load
            for key, report in self._reports.items()
            if key.service == service and report.at >= oldest
            for load in report.replicas
        ]
