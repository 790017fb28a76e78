"""Reserves a place for a request before it is sent.

A node chooses a path and asks the controller of its zone for room on it. If
there is none, it chooses once more, by the load that the controller reported,
and then waits for a place where the fewest others wait. Where no controller
replies, the request is sent as if it needed no place.
"""

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass

from ryelatch_core.admission import ReservationRequest
from ryelatch_core.fleet import Stage
from ryelatch_node.relay._choice import (
    choose_request_path,
    get_patience,
    is_retried,
    misses_layers,
)
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._exchange import (
    AdmittedRequest,
    Exchange,
    round_seconds,
)
from ryelatch_node.relay._progress import Progress
from ryelatch_node.relay._query import count_tokens
from ryelatch_node.reservations import (
    BusyReply,
    GrantReply,
    RefusalReply,
    ZoneKey,
)

MAX_PATHS_ASKED = 2
"""Paths for which room is asked for before a request waits."""

FIRST_EVENT_SECONDS = 0.2
"""Time from a place to the first event, which the objective includes."""

PACE_FRACTION = 0.5
"""Fraction of the longest pause that events may take without other delays.

Prompts that are read between events, and requests of other first replicas,
take the rest.
"""

MAX_RETRIED_WAIT_SECONDS = 1.0
"""Longest wait of a request whose client was refused before.

It is late already and has no further try. Its client leaves after two seconds
without an event.
"""


@dataclass(slots=True)
class Place:
    """What became of the place of a request.

    :param asked: whether a controller was asked for it.
    :param zone: the availability zone in which it waited; empty if it didn't.
    :param waited: seconds that it waited.
    :param retry_after: if refused, seconds after which one is expected.
    """

    asked: bool = False
    zone: str = ''
    waited: float = 0
    retry_after: float | None = None


@contextlib.contextmanager
def hold_place(context: RelayContext, exchange: Exchange) -> Iterator[Place]:
    """Hold the place of a request, if it gets one, until the block ends."""
    try:
        yield Place()
    finally:
        context.reservations.client.release(exchange.key)


async def choose_reserved_path(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
    place: Place,
) -> tuple[Stage, ...]:
    """Choose the path of the next attempt, and reserve room on it.

    If there is none, replicas that were silent are asked whether they go on.

    :returns: its stages; empty if there is no path, or no place in time.
    """
    path = await _choose(context, exchange, request, progress, place)
    if path or place.retry_after is not None:
        return path
    if not await context.silence_checks.find_returned(request.service):
        return ()
    return _choose_unreserved(context, exchange, request, progress)


async def _choose(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
    place: Place,
) -> tuple[Stage, ...]:
    rank = context.reservations.find_rank(request.service, request.priority)
    if rank is None or place.asked:
        return _choose_unreserved(context, exchange, request, progress)
    place.asked = True
    wanted = _make_request(context, exchange, request, rank)
    client = context.reservations.client
    for _ in range(MAX_PATHS_ASKED):
        path = choose_request_path(context, exchange, request, progress)
        if _count_zones(path) != 1:
            break
        key = ZoneKey(request.service, path[0].replica.zone)
        reply = await client.reserve(key, wanted, _list_names(path))
        if not isinstance(reply, BusyReply):
            record_path(context, exchange, path)
            return path
    if path and _count_zones(path) > 1:
        return path
    if not path and misses_layers(context, request):
        return ()
    return await _wait(context, exchange, request, progress, place, wanted)


def _choose_unreserved(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
) -> tuple[Stage, ...]:
    path = choose_request_path(context, exchange, request, progress)
    record_path(context, exchange, path)
    return path


def record_path(
    context: RelayContext, exchange: Exchange, path: tuple[Stage, ...]
) -> None:
    """Report the path of a request that holds a place."""
    if path:
        context.reservations.client.place(
            exchange.key, path[0].replica.zone, _list_names(path)
        )


async def _wait(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
    place: Place,
    wanted: ReservationRequest,
) -> tuple[Stage, ...]:
    """Wait for a place in the zone where the fewest requests wait."""
    key = _choose_zone(context, request)
    if key is None:
        return choose_request_path(context, exchange, request, progress)
    began = context.now()
    reply = await context.reservations.client.enqueue(key, wanted)
    place.zone = key.zone
    place.waited = context.now() - began
    exchange.detail['place_waited'] = round_seconds(place.waited)
    if isinstance(reply, RefusalReply):
        place.retry_after = reply.retry_after
        return ()
    zone = key.zone if isinstance(reply, GrantReply) else None
    path = choose_request_path(context, exchange, request, progress, zone)
    record_path(context, exchange, path)
    return path


def _choose_zone(
    context: RelayContext, request: AdmittedRequest
) -> ZoneKey | None:
    """Choose the zone in which a request waits.

    Nobody waits in a zone without all layers, as its controller refuses all.

    :returns: ``None`` if no zone holds all layers.
    """
    load = context.reservations.load
    own = context.startup.zone
    zones = {
        replica.zone
        for replica in context.replicas.list_service(request.service)
    }
    keys = (ZoneKey(request.service, zone) for zone in sorted(zones))
    ordered = sorted(
        keys, key=lambda key: (load.count_waiting(key), key.zone != own)
    )
    whole = (
        key for key in ordered if not misses_layers(context, request, key.zone)
    )
    return next(whole, None)


def _make_request(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    rank: int,
) -> ReservationRequest:
    now = context.now()
    retried = is_retried(context, request)
    start_by = request.arrived + request.route.objective - FIRST_EVENT_SECONDS
    if retried:
        start_by = now + MAX_RETRIED_WAIT_SECONDS
    return ReservationRequest(
        exchange.key,
        rank,
        request.account,
        count_tokens(context, request),
        retried,
        start_by,
        request.deadline,
        get_patience(context, request),
        request.route.gap * PACE_FRACTION,
    )


def _list_names(path: tuple[Stage, ...]) -> tuple[str, ...]:
    return tuple(stage.replica.name for stage in path)


def _count_zones(path: tuple[Stage, ...]) -> int:
    return len({stage.replica.zone for stage in path})
