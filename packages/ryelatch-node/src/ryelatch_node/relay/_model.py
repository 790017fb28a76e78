"""Relays requests to a model whose layers are split over replicas."""

import asyncio

from ryelatch_core.fleet import FULL_SECONDS, Stage
from ryelatch_core.quarantine import CRASH_THRESHOLD
from ryelatch_node.relay._attempt import Relaying, attempt_path
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._end_checks import AnswerEnd
from ryelatch_node.relay._errors import AnswerBroken
from ryelatch_node.relay._exchange import AdmittedRequest, Exchange
from ryelatch_node.relay._forwarded_stream import forward_stream
from ryelatch_node.relay._forwarding import (
    ForwardAttempts,
    refuse_forwarded,
)
from ryelatch_node.relay._hedges import (
    MAX_SENDS,
    AttemptResult,
    may_continue,
)
from ryelatch_node.relay._hedging import start_hedge
from ryelatch_node.relay._permits import acquire_permit
from ryelatch_node.relay._places import (
    Place,
    choose_reserved_path,
    hold_place,
)
from ryelatch_node.relay._progress import Progress
from ryelatch_node.relay._refusals import refuse_unserved
from ryelatch_node.relay._verdicts import is_allowed, wait_for_verdict
from ryelatch_node.relay._watch import StreamWatch

_BAD_GATEWAY = 502


async def relay_model(
    context: RelayContext,
    watch: StreamWatch,
    exchange: Exchange,
    request: AdmittedRequest,
) -> None:
    """Send a request along paths until one returns the complete answer.

    :raises AnswerBroken: if the answer has started and can't be completed.
    """
    progress = Progress(request.terms.last_event)
    relaying = Relaying(
        context, watch, exchange, request, progress, start_hedge
    )
    try:
        with hold_place(context, exchange) as place:
            while path := await _prepare_attempt(relaying, place):
                if await _attempt(relaying, path) is AttemptResult.DONE:
                    return
    finally:
        await progress.runs.stop()
    attempts = ForwardAttempts(progress.may_have_run, progress.paid)
    if await forward_stream(context, exchange, request, progress, attempts):
        return
    await _give_up(context, exchange, request, progress, place, attempts)


async def _attempt(
    relaying: Relaying, path: tuple[Stage, ...]
) -> AttemptResult:
    """Run a request along a path, and wait for the hedges started meanwhile."""
    outcome = await attempt_path(relaying, path)
    return await relaying.progress.runs.join(outcome)


async def _prepare_attempt(
    relaying: Relaying, place: Place
) -> tuple[Stage, ...]:
    """Choose the path of the next attempt.

    :returns: empty if there is none; the log then names the obstacle.
    """
    context, request = relaying.context, relaying.request
    exchange, progress = relaying.exchange, relaying.progress
    if exchange.started and progress.refused:
        # The client waits for its next event, and all other paths may be full.
        await asyncio.sleep(FULL_SECONDS)
    obstacle = await _find_obstacle(context, exchange, request, progress)
    path: tuple[Stage, ...] = ()
    if not obstacle:
        progress.paid = bool(exchange.sends)
        path = await _choose_path(context, exchange, request, progress, place)
        if not path:
            obstacle = 'no path'
        elif _became_refused(context, request):
            obstacle = 'refused'
    if obstacle:
        exchange.detail['obstacle'] = obstacle
        return ()
    progress.paid = False
    return path


async def _choose_path(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
    place: Place,
) -> tuple[Stage, ...]:
    """Choose a path, and acquire a permit for its first replica if needed.

    A permit is needed if the replica has a rate limit or is in backoff. If it
    isn't granted, another path is chosen.

    :returns: the stages of the path; empty if there is no path.
    """
    while True:
        path = await choose_reserved_path(
            context, exchange, request, progress, place
        )
        if not path and exchange.started and context.crash_checks.pending:
            # Where only the connection was lost, the replica can go on.
            await context.crash_checks.wait()
            path = await choose_reserved_path(
                context, exchange, request, progress, place
            )
        if not path or await acquire_permit(context, exchange, path[0].replica):
            return path


async def _find_obstacle(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
) -> str:
    """Find what prevents the next attempt, and spend a retry if nothing does.

    :returns: its name for the log; empty if the request may be sent.
    """
    if exchange.sends:
        if exchange.ran >= request.route.max_attempts:
            await _settle_runs(context, exchange, request)
        is_last = exchange.ran >= request.route.max_attempts
        progress.kept_to = exchange.list_cut() if is_last else frozenset()
        spent = _find_spent_limit(exchange, request, progress)
        if spent:
            return spent
    await wait_for_verdict(context, exchange, request)
    if not await is_allowed(context, exchange, request):
        return 'refused'
    budget = context.budgets.get(request.service)
    if exchange.sends and not budget.spend():
        return 'retry budget'
    return ''


async def _settle_runs(
    context: RelayContext, exchange: Exchange, request: AdmittedRequest
) -> None:
    """Wait until it is known which lost runs count as attempts.

    Those at replicas that ended don't, nor do those that only this node lost.
    """
    await exchange.settle_runs()
    if not exchange.cut:
        return
    context.links.record_silent_path(exchange.cut)
    if await context.links.has_lost(request.service):
        exchange.excuse_runs(context.links.is_lost)


def _became_refused(context: RelayContext, request: AdmittedRequest) -> bool:
    """Whether a request was refused while it waited for a path."""
    refused = context.quarantine.find_refused(request.fingerprint)
    return refused is not None and not request.trial


def _find_spent_limit(
    exchange: Exchange, request: AdmittedRequest, progress: Progress
) -> str:
    """Find the limit that the attempts so far have reached.

    :returns: its name for the log; empty if another attempt is within all.
    """
    if not may_continue(exchange, progress.last_event):
        return 'no event IDs'
    if exchange.sends >= MAX_SENDS:
        return 'sends'
    if exchange.ran >= request.route.max_attempts and not progress.kept_to:
        return 'attempts'
    if progress.may_have_run and not request.repeatable:
        return 'may have run'
    return 'crashes' if progress.crashes >= CRASH_THRESHOLD else ''


async def _give_up(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
    place: Place,
    attempts: ForwardAttempts,
) -> None:
    if exchange.started and progress.left:
        exchange.record_end(AnswerEnd.LEFT)
        await exchange.write(b'', more=False)
        return
    if exchange.started:
        raise AnswerBroken
    if progress.failure_answer:
        answer, body = progress.failure_answer
        await exchange.answer(answer.status, answer.headers, body)
    elif progress.may_have_run:
        await exchange.refuse(_BAD_GATEWAY, 'the answer was lost')
    elif not await refuse_forwarded(context, exchange, request, attempts):
        await refuse_unserved(context, exchange, request, place)
