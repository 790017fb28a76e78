"""Fair queue over client accounts, ordered by virtual time."""

from collections import deque
from dataclasses import dataclass, field

from result import Err, Ok, Result

RESERVED_SLOTS = 2
"""Requests that an account may run even if all slots are taken."""


@dataclass(frozen=True)
class Ticket:
    """A request that is waiting or running.

    :param number: identifies the request at this node.
    :param weight: weight of the account in fair sharing.
    :param work: expected work, in token positions to compute.
    :param expires: monotonic seconds at which the request stops waiting.
    """

    number: int
    account: str
    weight: float
    work: float
    expires: float


@dataclass(frozen=True)
class Limits:
    """Bounds of one client account at this node.

    :param concurrent: largest number of running requests.
    :param queue: largest number of waiting requests.
    """

    concurrent: int
    queue: int


@dataclass(frozen=True)
class Shed:
    """Reason why a request is rejected.

    :param retry_after: estimated seconds until the queue has room.
    """

    reason: str
    retry_after: float


@dataclass
class _AccountState:
    """Waiting and running requests of one client account.

    :param virtual_finish: virtual time at which its last started request ends.
    """

    waiting: deque[Ticket] = field(default_factory=deque)
    running: int = 0
    virtual_finish: float = 0.0
    limits: Limits = Limits(1, 1)
    weight: float = 1


class FairQueue:
    """Start-time fair queuing (Goyal et al., 1996) over client accounts.

    A small account waits only behind its own requests. An idle account saves
    up no credit: its next request starts at the current virtual time.

    :param slots: requests that may run at once.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.caps: dict[str, int] = {}
        self.running = 0
        self._virtual_time = 0.0
        self._accounts: dict[str, _AccountState] = {}

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(state.waiting) for state in self._accounts.values())

    def count_demand(self) -> dict[str, int]:
        """Count running and waiting requests of each account that has any."""
        return {
            account: state.running + len(state.waiting)
            for account, state in self._accounts.items()
            if state.running or state.waiting
        }

    def offer(self, ticket: Ticket, limits: Limits) -> Result[None, Shed]:
        """Queue a request, or reject it if its account's queue is full."""
        state = self._accounts.setdefault(ticket.account, _AccountState())
        state.limits = limits
        state.weight = ticket.weight
        if len(state.waiting) >= limits.queue:
            # With an unbounded queue, all answers come too late in a surge,
            # which shows as rising latency without errors.
            return Err(Shed('queue-full', _estimate_wait(state)))
        if not (state.waiting or state.running):
            state.virtual_finish = max(state.virtual_finish, self._virtual_time)
        state.waiting.append(ticket)
        return Ok(None)

    def take(self, now: float) -> Ticket | None:
        """Take the next request, of the account furthest behind its share.

        :param now: monotonic seconds; not used, as expired requests are taken
            out by :meth:`expire` and :meth:`withdraw`.
        :returns: ``None`` if no request may start.
        """
        ready = [
            (state.virtual_finish, account)
            for account, state in self._accounts.items()
            if state.waiting and self._may_start(account, state)
        ]
        if not ready:
            return None
        start, account = min(ready)
        state = self._accounts[account]
        ticket = state.waiting.popleft()
        self._virtual_time = max(self._virtual_time, start)
        state.virtual_finish = (
            max(start, self._virtual_time) + ticket.work / ticket.weight
        )
        state.running += 1
        self.running += 1
        return ticket

    def expire(self, now: float) -> list[Ticket]:
        """Remove the requests that have waited too long.

        :param now: monotonic seconds.
        """
        expired = [
            ticket
            for state in self._accounts.values()
            for ticket in state.waiting
            if ticket.expires <= now
        ]
        for ticket in expired:
            self.withdraw(ticket)
        return expired

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a waiting request.

        :returns: whether it was still waiting.
        """
        state = self._accounts[ticket.account]
        if ticket not in state.waiting:
            return False
        state.waiting.remove(ticket)
        self._forget_idle(ticket.account)
        return True

    def finish(self, ticket: Ticket, work: float) -> None:
        """Finish a running request and charge the work that it really took.

        :param work: token positions that were computed.
        """
        state = self._accounts[ticket.account]
        state.running -= 1
        self.running -= 1
        state.virtual_finish += (work - ticket.work) / ticket.weight
        self._forget_idle(ticket.account)

    def _may_start(self, account: str, state: _AccountState) -> bool:
        cap = min(state.limits.concurrent, self.caps.get(account, self.slots))
        if state.running >= cap:
            return False
        # With every slot taken in a surge, an account that was idle would
        # wait until some long answer is finished. Its reserved slots let it
        # start at once; engines then run a few streams more than their slots.
        return self.running < self.slots or state.running < RESERVED_SLOTS

    def _forget_idle(self, account: str) -> None:
        state = self._accounts[account]
        if (
            not (state.waiting or state.running)
            and state.virtual_finish <= self._virtual_time
        ):
            del self._accounts[account]


def _estimate_wait(state: _AccountState) -> float:
    return max(1, len(state.waiting) / max(1, state.running))
