"""Holds the lease on a duty, and tells when it may be taken."""

from dataclasses import dataclass

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import Lease
from ryelatch_node.ports import LeaseRecord, LeaseStore

TAKEOVER_SECONDS = 0.6
"""How long others leave a gap to a holder of the lease who does nothing.

It acts within a few ms of knowing of a loss, and all know of it within half
a second of each other.
"""

RENEWED_TAKEOVER_SECONDS = 6.0
"""How long others leave a gap to a holder who has just renewed its lease.

It renews before it orders. Thirty layers load in 5.3 s, and what it ordered
goes on loading should it be lost meanwhile.
"""

BASE_JITTER_SECONDS = 0.6
"""Spread of that time over a small fleet, so that most see another's claim
first."""

BASE_JITTER_NODES = 8
"""Nodes of such a fleet; in a larger one the spread is longer in proportion.

With one spread for all sizes, all of two hundred nodes would plan the same
loss within half a second; so it is a dozen a second at any size.
"""

MAX_JITTER_SECONDS = 6.0
"""Longest such spread: no longer than a holder at work is left alone.

It bounds how late a lost holder is followed where few nodes of a large fleet
are left.
"""

RENEWAL_SECONDS = 2.0
"""How often the lease is renewed while there is something to do."""

HOLDER_LEAD_SECONDS = 2.0
"""How much sooner than this node the holder may have known of a need.

Changes of the registry are gathered for up to 0.8 s, and a watch may hear
nothing for a second. A renewal that this node heard of before the need
itself was still made for it.
"""

CLAIM_COOLDOWN_SECONDS = 1.0
"""How long no claim is made after one that failed; calls are priced."""


@dataclass(eq=False)
class LeaseKeeper:
    """The lease as this node knows it.

    :param base_jitter: seconds by which this node is more patient than others,
        in a small fleet.
    :param holder: name of this life of the process.
    :param nodes: that may take the lease.
    """

    log: LineLog
    clock: Clock
    store: LeaseStore
    base_jitter: float
    holder: str
    nodes: int = 1
    _record: LeaseRecord | None = None
    _record_since: float = 0
    _renewed: float = float('-inf')
    _cooldown_until: float = 0
    _fenced: bool = False

    @property
    def held(self) -> bool:
        """Whether this node holds it, as far as it knows."""
        return self.fence is not None

    @property
    def fence(self) -> int | None:
        """The fencing number of this node; nothing if it is not the holder."""
        lease = self._record.lease if self._record else None
        if lease is None or lease.holder != self.holder or self._fenced:
            return None
        return lease.fence

    def follow(self, record: LeaseRecord) -> None:
        """Take note of the lease as the store has it now."""
        if self._record is None or record.revision > self._record.revision:
            if self._record is not None:
                self._record_since = self.clock.monotonic()
            self._record = record

    def mark_fenced(self) -> None:
        """Take note that another node has used a higher fencing number."""
        self._fenced = True

    @property
    def jitter(self) -> float:
        """Seconds by which this node is more patient than others."""
        factor = max(1, self.nodes / BASE_JITTER_NODES)
        max_factor = MAX_JITTER_SECONDS / BASE_JITTER_SECONDS
        return self.base_jitter * min(factor, max_factor)

    def is_turn(self, now: float, need_since: float) -> bool:
        """Whether this node is the one to look after work.

        :param need_since: when the need for that work arose.
        """
        record = self._record
        if record is None or now < self._cooldown_until:
            return False
        return self.held or now >= self._compute_turn(record, need_since)

    async def acquire(self, now: float, need_since: float) -> bool:
        """Renew or take the lease for work that is to be done now.

        :param need_since: when the need for that work arose.
        :returns: whether this node may act.
        """
        record = self._record
        if record is None or not self.is_turn(now, need_since):
            return False
        renewed = self.held and now - self._renewed <= RENEWAL_SECONDS
        return renewed or await self._claim(record)

    def _compute_turn(self, record: LeaseRecord, need_since: float) -> float:
        """Tell when this node may take the lease.

        A holder that renewed after the need arose is at work. Counted from
        the need alone, every node takes the lease in turn while the loads
        last, gives the same orders again, and each begins the load anew.
        """
        if record.lease is None:
            return need_since + self.jitter
        if self._record_since > need_since - HOLDER_LEAD_SECONDS:
            return self._record_since + RENEWED_TAKEOVER_SECONDS + self.jitter
        return need_since + TAKEOVER_SECONDS + self.jitter

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
            self._cooldown_until = sent + CLAIM_COOLDOWN_SECONDS
            return False
        if not renewing:
            self.log.record(catalogue.LEASE_TAKEN, fence=lease.fence)
        self._fenced = False
        self._record = written
        self._record_since = sent
        self._renewed = sent
        return True
