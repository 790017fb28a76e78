"""Heeds what replicas say in their answers of how much they take."""

import math
from collections.abc import Container
from dataclasses import dataclass, field

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import App, Clock, Service
from ryelatch_core.throttle import Heard, LimitBook
from ryelatch_node.ports import AnswerTerms


@dataclass(eq=False)
class Throttle:
    """What replicas said of their limits."""

    log: LineLog
    clock: Clock
    _limits: LimitBook = field(default_factory=LimitBook)

    def note_answer(self, replica: Replica, terms: AnswerTerms) -> None:
        """Take what an answer says of the replica that gave it."""
        if terms.entry not in {'', replica.entry}:
            return
        if terms.limit is not None and math.isnan(terms.limit):
            self.log.record(catalogue.LIMIT_UNREADABLE, replica=replica.name)
            return
        self._hear(replica.name, Heard(terms.limit, self.clock.monotonic()))

    def count_limited(self) -> int:
        """Count the replicas that have a limit."""
        return len(self._limits.list_limited())

    def keep(self, names: Container[str]) -> None:
        """Forget all replicas but some."""
        self._limits.keep(names)

    def _hear(self, name: str, heard: Heard) -> None:
        if not self._limits.hear(name, heard):
            return
        if heard.limit is None:
            self.log.record(catalogue.REPLICA_UNLIMITED, replica=name)
        else:
            self.log.record(
                catalogue.REPLICA_LIMITED, replica=name, limit=heard.limit
            )


def setup(app: App) -> None:
    """Add the service ``throttle``."""
    throttle = Throttle(app.find('log', LineLog), app.clock)
    app.add(Service('throttle', throttle))
