"""Admits requests through fair queues, one per model or non-model service."""

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

JITTER_FACTOR = 3.0
"""Maximum jitter of a Retry-After time, as a multiple of that time.

Retry-After has a resolution of one second, so the jitter has to span several
seconds.
"""


@dataclass(frozen=True)
class AdmissionSlot:
    """A slot held by an admitted request until it is released."""

    model: str
    ticket: Ticket


class Admission:
    """Admits requests according to the fair shares of client accounts.

    Slots and per-account caps depend on the demand at all nodes, which peers
    report to each other.

    :param name: name of this node, under which its own demand is counted.
    """

    def __init__(self, app: App, holder: SettingsHolder, name: str) -> None:
        self.queues: dict[str, FairQueue] = {}
        self.peer_demands: dict[str, dict[str, dict[str, int]]] = {}
        self._app = app
        self._settings_holder = holder
        self.count_nodes: Callable[[], int] = lambda: 1
        self._name = name
        self._ticket_numbers = itertools.count(1)
        self._waiters: dict[int, asyncio.Future[Failure | None]] = {}
        app.hub.connect(SettingsApplied, lambda _: self.resize())

    async def admit(
        self,
        model: str,
        account: AccountEntry,
        work: float,
    ) -> Result[AdmissionSlot, Failure]:
        """Wait until a request may start.

        :param work: estimated number of token positions it will compute.
        :returns: the slot that it holds, or the failure to send to the client
            if its queue is full or it waited too long.
        """
        queue = self._find_queue(model)
        policy = account.policy
        now = self._app.clock.monotonic()
        ticket = Ticket(
            next(self._ticket_numbers),
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
        return (
            Ok(AdmissionSlot(model, ticket))
            if failure is None
            else Err(failure)
        )

    def release(self, slot: AdmissionSlot, work: float) -> None:
        """Release a slot, and account for the work that was actually done."""
        self._find_queue(slot.model).finish(slot.ticket, work)
        self._dispatch(slot.model)

    def list_demands(self) -> dict[str, dict[str, int]]:
        """List the demand at this node by model and account, for its peers."""
        return {
            model: queue.count_demand()
            for model, queue in self.queues.items()
            if queue.running or queue.waiting
        }

    def apply_peer(self, peer: str, demands: dict[str, dict[str, int]]) -> None:
        """Replace the demand that a peer reported earlier."""
        self.peer_demands[peer] = demands
        self.resize()

    def drop_peer(self, peer: str) -> None:
        """Discard the demand of a peer that is draining or disconnected."""
        if self.peer_demands.pop(peer, None) is not None:
            self.resize()

    def resize(self) -> None:
        """Recompute slots and caps from the settings and all nodes' demand."""
        for model in list(self.queues):
            self._resize_queue(model, self.queues[model])
            self._dispatch(model)

    def _find_queue(self, model: str) -> FairQueue:
        if model not in self.queues:
            self.queues[model] = FairQueue(1)
            self._resize_queue(model, self.queues[model])
        return self.queues[model]

    def _resize_queue(self, model: str, queue: FairQueue) -> None:
        settings = self._settings_holder.settings
        served = settings.models.get(model) or settings.services.get(model)
        if served is None:
            return
        reporting_nodes = len(self.peer_demands) + 1
        nodes = max(reporting_nodes, self.count_nodes())
        demands = self._collect_demands(model, queue)
        if not demands:
            queue.slots = max(1, served.slots // nodes)
            queue.caps = {}
            return
        queue.caps = cap_accounts(
            served.slots, demands, self._name, nodes, reporting_nodes
        )
        queue.slots = max(
            served.slots // nodes,
            sum(
                cap
                for account, cap in queue.caps.items()
                if demands[account].by_node.get(self._name)
            ),
        )

    def _collect_demands(
        self, model: str, queue: FairQueue
    ) -> dict[str, Demand]:
        by_account: dict[str, dict[str, int]] = {}
        views = {
            peer: demands.get(model, {})
            for peer, demands in self.peer_demands.items()
        }
        views[self._name] = queue.count_demand()
        for node, counts in views.items():
            for account, count in counts.items():
                by_account.setdefault(account, {})[node] = count
        accounts = self._settings_holder.directory.by_path
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
        # Without jitter, clients that are refused together would retry
        # together.
        spread = 1 + JITTER_FACTOR * self._app.random_source.random()
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
