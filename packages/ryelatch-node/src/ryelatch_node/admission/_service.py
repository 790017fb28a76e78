"""Fair queues, one a model or plain service, and the wait in them."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from result import Err, Ok, Result

from ryelatch_core.kernel import App, Service
from ryelatch_core.outcomes import Failure, Outcome
from ryelatch_core.settings import AccountEntry, Startup
from ryelatch_core.shares import (
    Demand,
    FairQueue,
    Limits,
    Shed,
    Ticket,
    cap_accounts,
)
from ryelatch_node.config import SettingsApplied, SettingsHolder

# Retry-After counts whole seconds, so the spread has to be seconds wide.
JITTER = 3.0


@dataclass(frozen=True)
class AdmissionSlot:
    """Leave to start; given back with the work done."""

    model: str
    ticket: Ticket


class Admission:
    """Lets requests start in order of their accounts' shares.

    :param name: of this node, under which it counts its own demand.
    """

    def __init__(self, app: App, holder: SettingsHolder, name: str) -> None:
        self.queues: dict[str, FairQueue] = {}
        self.remote: dict[str, dict[str, dict[str, int]]] = {}
        self._app = app
        self._holder = holder
        self.count_nodes: Callable[[], int] = lambda: 1
        self._name = name
        self._numbers = itertools.count(1)
        self._waiters: dict[int, asyncio.Future[Failure | None]] = {}
        app.hub.connect(SettingsApplied, lambda _: self.resize())

    async def admit(
        self,
        model: str,
        account: AccountEntry,
        work: float,
    ) -> Result[AdmissionSlot, Failure]:
        """Wait for leave to start a request.

        :param work: positions that it is expected to run.
        """
        queue = self._find_queue(model)
        policy = account.policy
        now = self._app.clock.monotonic()
        ticket = Ticket(
            next(self._numbers),
            account.path,
            policy.weight,
            work,
            now + policy.queue_wait,
        )
        limits = Limits(policy.concurrent, policy.queue)
        offered = queue.offer(ticket, limits)
        if offered.is_err():
            return Err(self._refuse(offered.unwrap_err()))
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Failure | None] = loop.create_future()
        self._waiters[ticket.number] = waiter
        timer = loop.call_later(policy.queue_wait, self._expire, model, ticket)
        self._dispatch(model)
        try:
            failure = await waiter
        except asyncio.CancelledError:
            self._withdraw(model, ticket)
            raise
        finally:
            timer.cancel()
            self._waiters.pop(ticket.number, None)
        return Ok(AdmissionSlot(model, ticket)) if failure is None else Err(failure)

    def release(self, granted: AdmissionSlot, work: float) -> None:
        """Give back leave, with the work that the request really took."""
        self._find_queue(granted.model).finish(granted.ticket, work)
        self._dispatch(granted.model)

    def list_demands(self) -> dict[str, dict[str, int]]:
        """List this node's demand by model and account, for peers."""
        return {
            model: queue.count_demand()
            for model, queue in self.queues.items()
            if queue.running or queue.waiting
        }

    def apply_peer(self, peer: str, demands: dict[str, dict[str, int]]) -> None:
        """Take in a peer's demand, whole."""
        self.remote[peer] = demands
        self.resize()

    def drop_peer(self, peer: str) -> None:
        """Forget a peer that is not heard of any more."""
        if self.remote.pop(peer, None) is not None:
            self.resize()

    def resize(self) -> None:
        """Work out slots and caps anew from settings and demands."""
        for model in list(self.queues):
            self._resize_one(model, self.queues[model])
            self._dispatch(model)

    def _find_queue(self, model: str) -> FairQueue:
        if model not in self.queues:
            self.queues[model] = FairQueue(1)
            self._resize_one(model, self.queues[model])
        return self.queues[model]

    def _resize_one(self, model: str, queue: FairQueue) -> None:
        settings = self._holder.settings
        known = settings.models.get(model) or settings.services.get(model)
        if known is None:
            return
        heard = len(self.remote) + 1
        nodes = max(heard, self.count_nodes())
        demands = self._gather(model, queue)
        if not demands:
            queue.slots = max(1, known.slots // nodes)
            queue.caps = {}
            return
        queue.caps = cap_accounts(
            known.slots, demands, self._name, nodes, heard
        )
        queue.slots = max(
            known.slots // nodes,
            sum(
                cap
                for account, cap in queue.caps.items()
                if demands[account].by_node.get(self._name)
            ),
        )

    def _gather(self, model: str, queue: FairQueue) -> dict[str, Demand]:
        by_account: dict[str, dict[str, int]] = {}
        views = {
            peer: demands.get(model, {})
            for peer, demands in self.remote.items()
        }
        views[self._name] = queue.count_demand()
        for node, counts in views.items():
            for account, count in counts.items():
                by_account.setdefault(account, {})[node] = count
        accounts = self._holder.directory.by_path
        return {
            account: Demand(accounts[account].policy.weight, nodes)
            for account, nodes in by_account.items()
            if account in accounts
        }

    def _dispatch(self, model: str) -> None:
        queue = self._find_queue(model)
        now = self._app.clock.monotonic()
        while ticket := queue.take(now):
            waiter = self._waiters.get(ticket.number)
            if waiter is None or waiter.done():
                queue.finish(ticket, 0)
            else:
                waiter.set_result(None)

    def _expire(self, model: str, ticket: Ticket) -> None:
        waiter = self._waiters.get(ticket.number)
        if self._find_queue(model).withdraw(ticket) and waiter is not None:
            waiter.set_result(self._refuse(Shed('queue-wait', 1)))

    def _withdraw(self, model: str, ticket: Ticket) -> None:
        waiter = self._waiters[ticket.number]
        queue = self._find_queue(model)
        if not queue.withdraw(ticket) and waiter.done():
            queue.finish(ticket, 0)
            self._dispatch(model)

    def _refuse(self, shed: Shed) -> Failure:
        # Callers turned away together would come back together; the jitter
        # spreads them.
        spread = 1 + JITTER * self._app.random_source.random()
        return Failure(
            HTTPStatus.TOO_MANY_REQUESTS,
            shed.reason,
            'Too many requests of this client account at once.',
            Outcome.NOT_RUN,
            shed.retry_after * spread,
            'rate_limit_error',
        )


def setup(app: App) -> None:
    """Add the service ``admission``."""
    holder = app.find('settings', SettingsHolder)
    name = app.find('startup', Startup).name
    admission = Admission(app, holder, name)
    app.add(Service('admission', admission, ('settings',)))
