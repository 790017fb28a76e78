"""Starts further runs of a request whose runs in progress are silent."""

from ryelatch_core.events import catalogue
from ryelatch_node.relay._attempt import Relaying, attempt_path
from ryelatch_node.relay._choice import choose_request_path
from ryelatch_node.relay._exchange import round_seconds
from ryelatch_node.relay._forwarded_stream import forward_stream
from ryelatch_node.relay._forwarding import ForwardAttempts
from ryelatch_node.relay._hedges import AttemptResult, has_run_left
from ryelatch_node.relay._permits import acquire_permit
from ryelatch_node.relay._places import record_path
from ryelatch_node.relay._stream import LiveStream


def start_hedge(relaying: Relaying, silent: LiveStream, reason: str) -> None:
    """Start another run beside one that is silent.

    :param reason: why the run counts as silent, for the log.
    """
    context, runs = relaying.context, relaying.progress.runs
    relaying.exchange.record(
        catalogue.STREAM_HEDGED,
        replica=silent.first_replica.name,
        reason=reason,
        pause=round_seconds(context.now() - silent.progress),
        events=silent.delivered,
    )
    runs.start(_hedge(relaying, silent, runs.claims))


async def _hedge(
    relaying: Relaying, silent: LiveStream, claims: int
) -> AttemptResult:
    try:
        return await _run_elsewhere(relaying, claims)
    finally:
        silent.hedged = False
        if not (silent.reason or silent.finished):
            record_path(relaying.context, relaying.exchange, silent.path)


async def _run_elsewhere(relaying: Relaying, claims: int) -> AttemptResult:
    """Run a request at a first replica that has no run of it in progress.

    Without such a path it goes to another node if links are lost. Nothing is
    sent if a run has gone on meanwhile, or if the request may have no further
    run any more.

    :param claims: how often a run had claimed the answer when one was silent.
    """
    context, progress = relaying.context, relaying.progress
    exchange, request = relaying.exchange, relaying.request
    progress.excluded |= progress.runs.list_first_replicas()
    path = choose_request_path(context, exchange, request, progress)
    if not path or path[0].replica.name in progress.excluded:
        return await _forward(relaying, claims)
    if not await acquire_permit(context, exchange, path[0].replica):
        return AttemptResult.AGAIN
    if progress.runs.claims != claims or not _may_run(relaying):
        return AttemptResult.AGAIN
    record_path(context, exchange, path)
    return await attempt_path(relaying, path)


def _may_run(relaying: Relaying) -> bool:
    """Spend a retry, if a request may still have another run.

    While its permit was acquired, others may have begun or have been lost.
    """
    context, request = relaying.context, relaying.request
    if context.quarantine.find_suspect(request.fingerprint):
        return False
    left = has_run_left(relaying.exchange, request)
    return left and context.budgets.get(request.service).spend()


async def _forward(relaying: Relaying, claims: int) -> AttemptResult:
    """Forward a request beside its run in progress, if links are lost."""
    if relaying.progress.runs.claims != claims:
        return AttemptResult.AGAIN
    done = await forward_stream(
        relaying.context,
        relaying.exchange,
        relaying.request,
        relaying.progress,
        ForwardAttempts(relaying.progress.may_have_run),
    )
    return AttemptResult.DONE if done else AttemptResult.AGAIN
