"""Fair queue over client accounts, in virtual time of work done."""

from collections import deque
from dataclasses import dataclass, field

from result import Err, Ok, Result

RESERVED = 2


@dataclass(frozen=True)
class Ticket:
    """A request that waits for its turn.

    :param work: what it is expected to cost, in positions run.
    :param expires: monotonic seconds at which waiting is pointless.
    """

    number: int
    account: str
    weight: float
    work: float
    expires: float


@dataclass(frozen=True)
class Limits:
    """Bounds of one client account at this node."""

    concurrent: int
    queue: int


@dataclass(frozen=True)
class Shed:
    """Why a request is not let in.

    :param retry_after: seconds until there may be room.
    """

    reason: str
    retry_after: float


@dataclass
class _Lane:
    """One client account's waiting and running requests."""

    waiting: deque[Ticket] = field(default_factory=deque)
    running: int = 0
    finish: float = 0.0
    limits: Limits = Limits(1, 1)
    weight: float = 1


class FairQueue:
    """Start-time fair queuing (Goyal et al., 1996) over client accounts.

    A small account waits behind its own requests only, and an idle one banks
    no credit: its next request starts at the virtual time of now.

    :param slots: requests that may run at once.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.caps: dict[str, int] = {}
        self.running = 0
        self._now = 0.0
        self._lanes: dict[str, _Lane] = {}

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return sum(len(lane.waiting) for lane in self._lanes.values())

    def count_demand(self) -> dict[str, int]:
        """Count requests running or waiting for each busy account."""
        return {
            account: lane.running + len(lane.waiting)
            for account, lane in self._lanes.items()
            if lane.running or lane.waiting
        }

    def offer(self, ticket: Ticket, limits: Limits) -> Result[None, Shed]:
        """Let a request wait, or shed it at once."""
        lane = self._lanes.setdefault(ticket.account, _Lane())
        lane.limits = limits
        lane.weight = ticket.weight
        if len(lane.waiting) >= limits.queue:
            # A queue without a bound turns a surge into answers that all
            # come too late; it shows as rising latency with no errors.
            return Err(Shed('queue-full', _guess_wait(lane)))
        if not (lane.waiting or lane.running):
            lane.finish = max(lane.finish, self._now)
        lane.waiting.append(ticket)
        return Ok(None)

    def take(self, now: float) -> Ticket | None:
        """Take the request whose account is furthest behind its share.

        :param now: monotonic seconds; expired requests are passed over and
            come out of :meth:`expire`.
        """
        ready = [
            (lane.finish, account)
            for account, lane in self._lanes.items()
            if lane.waiting and self._has_room(account, lane)
        ]
        if not ready:
            return None
        start, account = min(ready)
        lane = self._lanes[account]
        ticket = lane.waiting.popleft()
        self._now = max(self._now, start)
        lane.finish = max(start, self._now) + ticket.work / ticket.weight
        lane.running += 1
        self.running += 1
        return ticket

    def expire(self, now: float) -> list[Ticket]:
        """Take out the requests that have waited too long."""
        expired = [
            ticket
            for lane in self._lanes.values()
            for ticket in lane.waiting
            if ticket.expires <= now
        ]
        for ticket in expired:
            self.withdraw(ticket)
        return expired

    def withdraw(self, ticket: Ticket) -> bool:
        """Take out a waiting request; tell whether it still waited."""
        lane = self._lanes[ticket.account]
        if ticket not in lane.waiting:
            return False
        lane.waiting.remove(ticket)
        self._forget_idle(ticket.account)
        return True

    def finish(self, ticket: Ticket, work: float) -> None:
        """End a running request and charge what it really cost."""
        lane = self._lanes[ticket.account]
        lane.running -= 1
        self.running -= 1
        lane.finish += (work - ticket.work) / ticket.weight
        self._forget_idle(ticket.account)

    def _has_room(self, account: str, lane: _Lane) -> bool:
        cap = min(lane.limits.concurrent, self.caps.get(account, self.slots))
        if lane.running >= cap:
            return False
        # With every slot taken by a surge, an account that was idle would
        # wait for the end of some long answer. Its floor lets it start at
        # once; the engines then run a few streams more than their slots.
        return self.running < self.slots or lane.running < RESERVED

    def _forget_idle(self, account: str) -> None:
        lane = self._lanes[account]
        if not (lane.waiting or lane.running) and lane.finish <= self._now:
            del self._lanes[account]


def _guess_wait(lane: _Lane) -> float:
    return max(1, len(lane.waiting) / max(1, lane.running))
