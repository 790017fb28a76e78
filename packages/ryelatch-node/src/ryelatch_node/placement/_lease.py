"""Holds the lease on a duty, and tells when it may be taken."""

from dataclasses import dataclass

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import Lease
from ryelatch_node.ports import LeaseRecord, LeaseStore

TAKE_SECONDS = 0.6
"""How long others leave a gap to a holder of the lease who does nothing.

It acts within a few ms of knowing of a loss, and all know of it within half
a second of each other.
"""

WORK_SECONDS = 6.0
"""How long others leave a gap to a holder who has just renewed its lease.

It renews before it orders. Thirty layers load in 5.3 s, and what it ordered
goes on loading should it be lost meanwhile.
"""

TAKE_SPREAD_SECONDS = 0.6
"""Spread of that time over a small fleet, so that most see another's claim
first."""

SPREAD_NODES = 8
"""Nodes of such a fleet; in a larger one the spread is longer in proportion.

With one spread for all sizes, all of two hundred nodes would plan the same
loss within half a second; so it is a dozen a second at any size.
"""

LONGEST_SPREAD_SECONDS = 6.0
"""Longest such spread: no longer than a holder at work is left alone.

It bounds how late a lost holder is followed where few nodes of a large fleet
are left.
"""

RENEW_SECONDS = 2.0
"""How often the lease is renewed while there is something to do."""

AHEAD_SECONDS = 2.0
"""How much sooner than this node the holder may have known of a need.

Changes of the registry are gathered for up to 0.8 s, and a watch may hear
nothing for a second. A renewal that this node heard of before the need
itself was still made for it.
"""

REST_SECONDS = 1.0
"""How long no claim is made after one that failed; calls are priced."""


@dataclass(eq=False)
class LeaseManager:
    """The lease as this node knows it.

    :param spread: seconds by which this node is more patient than others,
        in a small fleet.
    :param holder: name of this life of the process.
    :param nodes: that may take the lease.
    """

    log: LineLog
    clock: Clock
    store: LeaseStore
    spread: float
    holder: str
    nodes: int = 1
    _record: LeaseRecord | None = None
    _record_since: float = 0
    _renewed: float = float('-inf')
    _rest_until: float = 0
    _given_up: bool = False

    @property
    def held(self) -> bool:
        """Whether this node holds it, as far as it knows."""
        return self.fence is not None

    @property
    def fence(self) -> int | None:
        """The fencing number of this node; nothing if it is not the holder."""
        lease = self._record.lease if self._record else None
        if lease is None or lease.holder != self.holder or self._given_up:
            return None
        return lease.fence

    def apply_record(self, record: LeaseRecord) -> None:
        """Take note of the lease as the store has it now."""
        if self._record is None or record.revision > self._record.revision:
            if self._record is not None:
                self._record_since = self.clock.monotonic()
            self._record = record

    def give_up(self) -> None:
        """Take note that another node has used a higher fencing number."""
        self._given_up = True

    @property
    def patience(self) -> float:
        """Seconds by which this node is more patient than others."""
        factor = max(1, self.nodes / SPREAD_NODES)
        most = LONGEST_SPREAD_SECONDS / TAKE_SPREAD_SECONDS
        return self.spread * min(factor, most)

    def is_turn(self, now: float, need_since: float) -> bool:
        """Whether this node is the one to look after work.

        :param need_since: when the need for that work arose.
        """
        record = self._record
        if record is None or now < self._rest_until:
            return False
        return self.held or now >= self._find_turn(record, need_since)

    async def secure(self, now: float, need_since: float) -> bool:
        """Renew or take the lease for work that is to be done now.

        :param need_since: when the need for that work arose.
        :returns: whether this node may act.
        """
        record = self._record
        if record is None or not self.is_turn(now, need_since):
            return False
        fresh = self.held and now - self._renewed <= RENEW_SECONDS
        return fresh or await self._claim(record)

    def _find_turn(self, record: LeaseRecord, need_since: float) -> float:
        """Tell when this node may take the lease.

        A holder that renewed after the need arose is at work. Counted from
        the need alone, every node takes the lease in turn while the loads
        last, gives the same orders again, and each begins the load anew.
        """
        if record.lease is None:
            return need_since + self.patience
        if self._record_since > need_since - AHEAD_SECONDS:
            return self._record_since + WORK_SECONDS + self.patience
        return need_since + TAKE_SECONDS + self.patience

    async def _claim(self, record: LeaseRecord) -> bool:
        """Take or renew the lease by a conditional write."""
        renewing = self.held
        fence = record.lease.fence if record.lease else 0
        lease = Lease(self.holder, fence if renewing else fence + 1)
        sent = self.clock.monotonic()
        written = await self.store.write(lease, record.revision)
        if written is None or written.lease != lease:
            self.log.record(catalogue.LEASE_LOST, fence=lease.fence)
            self._record_since = sent
            self._record = written or record
            self._rest_until = sent + REST_SECONDS
            return False
        if not renewing:
            self.log.record(catalogue.LEASE_TAKEN, fence=lease.fence)
        self._given_up = False
        self._record = written
        self._record_since = sent
        self._renewed = sent
        return True
