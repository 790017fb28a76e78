"""The placement lease: when this node may take it, and its renewal."""

from dataclasses import dataclass

from ryelatch_core.eras import StoreRevision
from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import Lease
from ryelatch_node.ports import LeaseRecord, LeaseStore

TAKEOVER_SECONDS = 0.6
"""Time after which other nodes take the lease if its holder does not act.

A holder acts within a few ms of learning that layers are lost, and all nodes
learn of it within half a second of each other.
"""

RENEWED_TAKEOVER_SECONDS = 6.0
"""Time after a renewal during which other nodes do not take the lease.

The holder renews the lease before it sends commands. Thirty layers load in
5.3 s, and loads in progress continue even if the holder is lost.
"""

BASE_JITTER_SECONDS = 0.6
"""Range of the takeover jitter in a small fleet.

It lets most nodes receive another node's claim before they make their own.
"""

BASE_JITTER_NODES = 8
"""Fleet size above which the takeover jitter grows with the number of nodes.

With the same range for all sizes, two hundred nodes would plan the same repair
within half a second; scaled, about a dozen per second do at any size.
"""

MAX_JITTER_SECONDS = 6.0
"""Upper bound of the takeover jitter, equal to the delay after a renewal.

It bounds how late a lost holder is replaced when only a few nodes of a large
fleet are left.
"""

RENEWAL_SECONDS = 2.0
"""Interval of lease renewals while there is work to do."""

HOLDER_LEAD_SECONDS = 2.0
"""How much earlier than this node the holder may have seen a need for work.

Changes of the registry are batched for up to 0.8 s, and a watch may receive
nothing for a second. So a renewal that this node received shortly before it saw
the need may have been made for the same need.
"""

CLAIM_COOLDOWN_SECONDS = 1.0
"""Time without another claim after a failed one; calls have a cost."""


FENCES_PER_ERA = 1_000_000
"""Fencing numbers of each era of the store.

A store that came back from an older copy doesn't know the last numbers that it
has handed out, so those of a new era begin above all of the era before.
"""


@dataclass(eq=False)
class LeaseManager:
    """Takes and renews the placement lease, from this node's view of it.

    :param base_jitter: additional seconds that this node waits before it takes
        the lease in a small fleet; nodes differ in it.
    :param holder: unique name of this process, as written to the lease.
    :param nodes: number of nodes that may take the lease.
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
    # The highest fencing number in any record that this node has seen.
    _highest_fence: int = 0

    @property
    def held(self) -> bool:
        """Whether this node holds the lease according to its view."""
        return self.fence is not None

    @property
    def fence(self) -> int | None:
        """Fencing number of this node; nothing if it is not the holder."""
        record = self._record
        if record is None or record.lease is None or not self._is_named:
            return None
        fence = record.lease.fence
        return fence if fence > _find_floor(record.revision) else None

    def apply_record(self, record: LeaseRecord) -> None:
        """Apply a lease record read from the store, unless it is outdated."""
        if self._record is None or record.revision > self._record.revision:
            known = self._record
            if known is not None and record.revision.era == known.revision.era:
                self._record_since = self.clock.monotonic()
            self._set_record(record)

    def mark_fenced(self) -> None:
        """Record that another node has used a higher fencing number."""
        self._fenced = True

    @property
    def jitter(self) -> float:
        """Additional seconds that this node waits before it takes the lease."""
        factor = max(1, self.nodes / BASE_JITTER_NODES)
        max_factor = MAX_JITTER_SECONDS / BASE_JITTER_SECONDS
        return self.base_jitter * min(factor, max_factor)

    def is_turn(self, now: float, need_since: float) -> bool:
        """Whether this node may do the work now, as holder or successor.

        :param now: in monotonic seconds.
        :param need_since: when the need for the work arose.
        """
        record = self._record
        if record is None or now < self._cooldown_until:
            return False
        return self._is_named or now >= self._compute_turn(record, need_since)

    async def acquire(self, now: float, need_since: float) -> bool:
        """Take the lease, or renew it, for work that is due now.

        :param now: in monotonic seconds.
        :param need_since: when the need for the work arose.
        :returns: whether this node may do the work.
        """
        record = self._record
        if record is None or not self.is_turn(now, need_since):
            return False
        renewed = self.held and now - self._renewed <= RENEWAL_SECONDS
        return renewed or await self._claim(record)

    def _compute_turn(self, record: LeaseRecord, need_since: float) -> float:
        """Compute when this node may take the lease from its holder.

        A holder that renewed the lease after the need arose is at work. If only
        the time since the need counted, every node in turn would take the lease
        while layers are still loading, and repeat the commands, and each of
        them would restart the load.
        """
        if record.lease is None:
            return need_since + self.jitter
        if self._record_since > need_since - HOLDER_LEAD_SECONDS:
            return self._record_since + RENEWED_TAKEOVER_SECONDS + self.jitter
        return need_since + TAKEOVER_SECONDS + self.jitter

    async def _claim(self, record: LeaseRecord) -> bool:
        """Take or renew the lease with a conditional write."""
        held = self.fence
        highest = max(self._highest_fence, _find_floor(record.revision))
        lease = Lease(self.holder, highest + 1 if held is None else held)
        sent = self.clock.monotonic()
        written = await self.store.write(lease, record.expected)
        if written is None or written.lease != lease:
            self.log.record(catalogue.LEASE_LOST, fence=lease.fence)
            self._record_since = sent
            self._set_record(written or record)
            self._cooldown_until = sent + CLAIM_COOLDOWN_SECONDS
            return False
        if held is None:
            self.log.record(catalogue.LEASE_TAKEN, fence=lease.fence)
        self._fenced = False
        self._set_record(written)
        self._record_since = sent
        self._renewed = sent
        return self.held

    @property
    def _is_named(self) -> bool:
        """Whether the record names this node, and no other was seen since.

        In a new era it names the former holder, which may take the lease again
        at once.
        """
        lease = self._record.lease if self._record else None
        return (
            lease is not None
            and lease.holder == self.holder
            and not self._fenced
        )

    def _set_record(self, record: LeaseRecord) -> None:
        """Set the record, unless a newer one has arrived meanwhile.

        An object without a lease may follow on one; the fencing number grows
        still.
        """
        known = self._record
        if known is None or record.revision >= known.revision:
            self._record = record
        if record.lease is not None:
            self._highest_fence = max(self._highest_fence, record.lease.fence)


def _find_floor(revision: StoreRevision) -> int:
    """Find the number that all fencing numbers of an era exceed."""
    return max(0, revision.era - 1) * FENCES_PER_ERA
