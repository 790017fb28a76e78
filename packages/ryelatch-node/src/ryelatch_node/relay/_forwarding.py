"""Forwards requests to other nodes where the own links to replicas are lost.

A forwarded request is admitted, relayed, retried and counted by the node that
takes it, as if its client were connected there. This node passes on the answer,
and takes part in nothing else.
"""

import functools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ryelatch_core.events import catalogue
from ryelatch_core.links import Helper
from ryelatch_core.streams import StreamError
from ryelatch_node.forwarding import ForwardedAnswer, HelperLost
from ryelatch_node.peer_sync import ForwardRefused, ForwardRequest
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._exchange import (
    AdmittedRequest,
    Exchange,
    round_seconds,
)
from ryelatch_node.relay._hedges import may_continue

MAX_HELPERS = 3
"""Nodes to which a request is forwarded, one after the other."""

NO_HELPER_RETRY_SECONDS = 0.25
"""Retry-After if no other node takes the request.

The client's next attempt most likely reaches another node, which may still have
its links.
"""

_NOT_RUN = frozenset((408, 421, 429, 503))
"""Statuses with which a node states that it did not run a request."""

_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_UNAVAILABLE = 503


def _has_no_other_run() -> bool:
    return False


PassOn = Callable[[ForwardedAnswer], Awaitable[bool]]
"""Passes an answer on to the client; returns whether the request is done."""


@dataclass
class ForwardAttempts:
    """Attempts to forward a request.

    :param may_have_run: whether a run may be in progress or was lost.
    :param paid: whether a retry was spent that wasn't used.
    :param last_event: number of the last event that the client has received.
    :param tried: names of the nodes that did not serve it.
    :param refusal: of the last node that refused it.
    :param serving: name of the node that has it now; empty if none has.
    :param answer: of the last node that took it.
    :param is_beside: whether a run of this node is in progress meanwhile.
    """

    may_have_run: bool
    paid: bool = False
    last_event: int | None = None
    tried: set[str] = field(default_factory=set)
    refusal: ForwardRefused | None = None
    serving: str = ''
    answer: ForwardedAnswer | None = None
    is_beside: Callable[[], bool] = _has_no_other_run

    @property
    def ran(self) -> int:
        """Runs at that node, which count once it is left or lost."""
        return self.answer.ran if self.answer else 1


async def forward(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    attempts: ForwardAttempts,
    pass_on: PassOn,
) -> bool:
    """Forward a request until a node has served or finally refused it.

    Does nothing unless links to replicas of its service are lost.

    :param pass_on: called with each answer that has begun.
    :returns: whether the client has its final answer.
    """
    for _ in range(MAX_HELPERS):
        if not await _may_forward(context, exchange, request, attempts):
            return False
        helper = await context.links.choose_helper(
            request.service, attempts.tried
        )
        if helper is None:
            return False
        attempts.tried.add(helper.node.name)
        if await _attempt(
            context, exchange, request, attempts, helper, pass_on
        ):
            return True
    return False


async def refuse_forwarded(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    attempts: ForwardAttempts,
) -> bool:
    """Refuse a request that did not run, as lost links were the reason.

    :returns: whether they were.
    """
    if request.origin or not await context.links.has_lost(request.service):
        return False
    refusal = attempts.refusal
    if refusal is None:
        await exchange.refuse(
            _UNAVAILABLE,
            'no node reaches the upstreams',
            retry_after=NO_HELPER_RETRY_SECONDS,
            tried=sorted(attempts.tried),
        )
    else:
        await exchange.refuse(
            _UNAVAILABLE,
            refusal.reason,
            retry_after=refusal.retry_after,
            tried=sorted(attempts.tried),
        )
    return True


async def _may_forward(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    attempts: ForwardAttempts,
) -> bool:
    """Whether a request may be sent to another node.

    A request that a replica may have received is a retry, wherever it goes.
    """
    ran = exchange.begun_runs
    if request.origin or ran >= request.route.max_attempts:
        return False
    if attempts.may_have_run and not request.repeatable:
        return False
    if not may_continue(exchange, attempts.last_event):
        return False
    if context.quarantine.find_refused(request.fingerprint):
        return False
    if not await context.links.has_lost(request.service):
        return False
    is_retry = exchange.has_sent() or attempts.may_have_run
    paid = attempts.paid or not is_retry
    attempts.paid = False
    return paid or context.budgets.get(request.service).spend()


def _may_leave(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    attempts: ForwardAttempts,
) -> bool:
    """Whether a request may be sent to yet another node than the present one.

    Otherwise a node that is silent may be the only one that can answer it.
    """
    budget = context.budgets.get(request.service)
    if len(attempts.tried) >= MAX_HELPERS or budget.left < 1:
        return False
    if not may_continue(exchange, attempts.last_event):
        return False
    ran = exchange.begun_runs + attempts.ran
    if ran >= request.route.max_attempts:
        return False
    others = context.links.helpers.choose(request.service, attempts.tried)
    return others is not None


async def _attempt(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    attempts: ForwardAttempts,
    helper: Helper,
    pass_on: PassOn,
) -> bool:
    """Forward a request to one node.

    :returns: whether the client has its final answer.
    """
    exchange.begin_send()
    frame = _make_frame(context, exchange, request, attempts)
    _log_forward(context, exchange, request, helper, frame)
    exchange.detail['forwarded_to'] = helper.node.name
    done = False
    try:
        async with context.forwarding.send(
            helper,
            frame,
            repeatable=request.repeatable,
            before_writing=exchange.check_client,
            may_leave=functools.partial(
                _may_leave, context, exchange, request, attempts
            ),
        ) as answer:
            attempts.serving = helper.node.name
            attempts.answer = answer
            head = await answer.read_head()
            if isinstance(head, ForwardRefused):
                done = await _handle_refusal(
                    context, exchange, request, attempts, helper, head
                )
            else:
                done = await pass_on(answer)
    except HelperLost as error:
        _record_loss(context, exchange, attempts, helper, error)
    except StreamError as error:
        _record_loss(
            context,
            exchange,
            attempts,
            helper,
            HelperLost(str(error), sent=True),
        )
    # After an interruption it still names the node.
    attempts.serving = ''
    return done


async def _handle_refusal(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    attempts: ForwardAttempts,
    helper: Helper,
    refusal: ForwardRefused,
) -> bool:
    """Handle the refusal of a node.

    :returns: whether the client has its final answer.
    """
    exchange.record(
        catalogue.EXCHANGE_FAILED,
        peer=helper.node.name,
        status=refusal.status,
        reason=refusal.reason,
        outcome='not run' if refusal.status in _NOT_RUN else 'failed',
    )
    exchange.ran += refusal.ran
    if not refusal.reaches:
        context.links.helpers.drop(helper.node.name)
    if refusal.status in _NOT_RUN:
        exchange.unsent += not refusal.sent
        attempts.refusal = refusal
        return False
    if refusal.status in {_BAD_GATEWAY, _GATEWAY_TIMEOUT}:
        attempts.may_have_run = True
        if request.repeatable or exchange.started:
            return False
    if exchange.started or attempts.is_beside():
        return False
    await exchange.refuse(
        refusal.status, refusal.reason, retry_after=refusal.retry_after
    )
    return True


def _record_loss(
    context: RelayContext,
    exchange: Exchange,
    attempts: ForwardAttempts,
    helper: Helper,
    error: HelperLost,
) -> None:
    """Record that a node was lost while it served a request."""
    context.links.helpers.drop(helper.node.name)
    if error.sent:
        attempts.may_have_run = True
        exchange.ran += attempts.ran
    else:
        exchange.unsent += 1
    exchange.record(
        catalogue.EXCHANGE_FAILED,
        peer=helper.node.name,
        reason=error.reason,
        outcome='lost' if error.sent else 'unsent',
        last_event=attempts.last_event,
    )


def _make_frame(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    attempts: ForwardAttempts,
) -> ForwardRequest:
    path, _, query = request.target.partition('?')
    return ForwardRequest(
        origin=context.startup.name,
        method=request.method,
        path=path.encode('latin-1'),
        query=query.encode('latin-1'),
        headers=tuple(request.headers),
        body=request.body,
        service=request.service,
        version=request.version,
        elapsed=max(0, context.now() - request.arrived),
        last_event=attempts.last_event,
        ran=exchange.begun_runs,
    )


def _log_forward(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    helper: Helper,
    frame: ForwardRequest,
) -> None:
    exchange.record(
        catalogue.EXCHANGE_FORWARDED,
        peer=helper.node.name,
        service=request.service,
        lost=sorted(
            group.zone
            for group in context.links.lost
            if group.service == request.service
        ),
        attempt=exchange.sends,
        left=round_seconds(request.deadline - context.now()),
        version=request.version,
        digest=request.digest,
        last_event=frame.last_event,
        room=helper.room,
    )
