"""Fair queue over client accounts, in virtual time of work done."""

from collections import deque
from dataclasses import dataclass, field

from result import Err, Ok, Result

RESERVED_SLOTS = 2


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
class _AccountState:
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
        self._virtual_time = 0.0
        self._accounts: dict[str, _AccountState] = {}

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return sum(len(state.waiting) for state in self._accounts.values())

    def count_demand(self) -> dict[str, int]:
        """Count requests running or waiting for each busy account."""
        return {
            account: state.running + len(state.waiting)
            for account, state in self._accounts.items()
            if state.running or state.waiting
        }

    def offer(self, ticket: Ticket, limits: Limits) -> Result[None, Shed]:
        """Let a request wait, or shed it at once."""
        state = self._accounts.setdefault(ticket.account, _AccountState())
        state.limits = limits
        state.weight = ticket.weight
        if len(state.waiting) >= limits.queue:
            # A queue without a bound turns a surge into answers that all
            # come too late; it shows as rising latency with no errors.
            return Err(Shed('queue-full', _estimate_wait(state)))
        if not (state.waiting or state.running):
            state.finish = max(state.finish, self._virtual_time)
        state.waiting.append(ticket)
        return Ok(None)

    def take(self, now: float) -> Ticket | None:
        """Take the request whose account is furthest behind its share.

        :param now: monotonic seconds; expired requests are passed over and
            come out of :meth:`expire`.
        """
        ready = [
            (state.finish, account)
            for account, state in self._accounts.items()
            if state.waiting and self._may_start(account, state)
        ]
        if not ready:
            return None
        start, account = min(ready)
        state = self._accounts[account]
        ticket = state.waiting.popleft()
        self._virtual_time = max(self._virtual_time, start)
        state.finish = (
            max(start, self._virtual_time) + ticket.work / ticket.weight
        )
        state.running += 1
        self.running += 1
        return ticket

    def expire(self, now: float) -> list[Ticket]:
        """Take out the requests that have waited too long."""
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
        """Take out a waiting request; tell whether it still waited."""
        state = self._accounts[ticket.account]
        if ticket not in state.waiting:
            return False
        state.waiting.remove(ticket)
        self._forget_idle(ticket.account)
        return True

    def finish(self, ticket: Ticket, work: float) -> None:
        """End a running request and charge what it really cost."""
        state = self._accounts[ticket.account]
        state.running -= 1
        self.running -= 1
        state.finish += (work - ticket.work) / ticket.weight
        self._forget_idle(ticket.account)

    def _may_start(self, account: str, state: _AccountState) -> bool:
        cap = min(state.limits.concurrent, self.caps.get(account, self.slots))
        if state.running >= cap:
            return False
        # With every slot taken by a surge, an account that was idle would
        # wait for the end of some long answer. Its floor lets it start at
        # once; the engines then run a few streams more than their slots.
        return self.running < self.slots or state.running < RESERVED_SLOTS

    def _forget_idle(self, account: str) -> None:
        state = self._accounts[account]
        if (
            not (state.waiting or state.running)
            and state.finish <= self._virtual_time
        ):
            del self._accounts[account]


def _estimate_wait(state: _AccountState) -> float:
    return max(1, len(state.waiting) / max(1, state.running))
