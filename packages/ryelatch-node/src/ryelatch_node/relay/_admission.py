"""Decides which requests are admitted, and which service serves them."""

import math
from dataclasses import dataclass, replace

from starlette.types import Scope

from ryelatch_core.admission import get_priority
from ryelatch_core.quarantine import (
    Cause,
    Fingerprint,
    digest_request,
    make_part_key,
)
from ryelatch_core.routing import (
    Account,
    Route,
    RoutingTable,
    choose_service,
)
from ryelatch_node.ports import RequestMetadata
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._exchange import AdmittedRequest
from ryelatch_node.relay._refusals import (
    QUARANTINE_RETRY_SECONDS,
    describe_cause,
)

MAX_DENIAL_AGE_SECONDS = 2.9
"""Age of the configuration up to which requests are answered 401 or 404.

A node that has not received a change must not deny a request that the change
allows, so beyond this age it answers 503. A watch confirms the configuration
every two seconds.
"""

UNCONFIRMED_RETRY_SECONDS = 0.5
"""Retry-After while the configuration is missing or unconfirmed.

The retry most likely reaches another node.
"""

LIST_RETRY_SECONDS = 0.2
"""Retry-After before the first list of replicas was received.

The list takes 5 ms, and 0.3 s where the store is slowed sixtyfold.
"""

_UNAUTHORIZED = 401
_NOT_FOUND = 404
_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused.

    :param status: HTTP status of the answer.
    :param retry_after: seconds after which the client should retry, if any.
    :param digest: digest of a quarantined request; empty for other refusals.
    :param cause: what it is quarantined for.
    """

    status: int
    reason: str
    retry_after: float | None = None
    digest: str = ''
    cause: Cause | None = None


@dataclass(slots=True)
class ShutdownState:
    """How far the planned shutdown of this node has advanced.

    :param closing: set from the start of the shutdown on: the node reports
        that it is not ready, and its answers close their connections.
    :param ends_at: when requests in progress are ended, in monotonic seconds.
    :param refuses_streams: set once a new stream might outlast this process.
    :param refuses_long: set once no new clients are sent here: whatever may
        run until ``ends_at`` is refused, also if it may be repeated.
    :param refuses_all: set once any new request might outlast this process.
    """

    closing: bool = False
    ends_at: float = math.inf
    refuses_streams: bool = False
    refuses_long: bool = False
    refuses_all: bool = False


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request whose body was received completely.

    :param received_at: when its headers were received, in monotonic seconds.
    :param service: that the node chose which forwarded it, if one did.
    """

    scope: Scope
    terms: RequestMetadata
    body: bytes
    received_at: float
    service: str = ''


def admit(
    context: RelayContext, shutdown: ShutdownState, received: ReceivedRequest
) -> AdmittedRequest | Refusal:
    """Decide whether to serve a request, and by which service.

    :returns: the admitted request, or why it is refused.
    """
    table = context.configuration.table
    if table is None:
        return Refusal(
            _UNAVAILABLE, 'no configuration yet', UNCONFIRMED_RETRY_SECONDS
        )
    if not context.replicas.listed:
        # Without a list all layers seem to be missing, and the client would
        # get the Retry-After of a repair. The list comes within milliseconds.
        return Refusal(_UNAVAILABLE, 'no registry yet', LIST_RETRY_SECONDS)
    if shutdown.refuses_all:
        return Refusal(_UNAVAILABLE, 'this node stops', 0)
    scope, terms = received.scope, received.terms
    host = _read_host(scope)
    path = scope['raw_path'].decode('latin-1')
    route = table.find_route(host, path)
    if route is None:
        return _deny(context, _NOT_FOUND, 'no such route')
    if shutdown.refuses_streams and route.streaming:
        return Refusal(_UNAVAILABLE, 'this node stops', 0)
    account = _identify(context, table, route, terms)
    if isinstance(account, Refusal):
        return account
    timeout = min(route.timeout, terms.deadline or route.timeout)
    target = _read_target(scope, path)
    name = account.name if account else ''
    service = _choose_service(context, route, received.service)
    request = AdmittedRequest(
        scope['method'],
        target,
        scope['headers'],
        received.body,
        terms,
        route,
        service,
        name,
        get_priority(route, account),
        received.received_at,
        received.received_at + timeout,
        table.configuration.version,
        Fingerprint(
            digest_request(host, scope['method'], target, name, received.body),
            tuple(make_part_key(service, part) for part in terms.parts),
        ),
    )
    if _may_outlast(shutdown, request):
        return Refusal(_UNAVAILABLE, 'this node stops', 0)
    return _check_quarantine(context, request)


def _may_outlast(shutdown: ShutdownState, request: AdmittedRequest) -> bool:
    """Whether a request is refused as it may run until this process ends.

    Most end much sooner. So while new clients are sent here, what a client may
    repeat is served; streams have a time of their own.
    """
    if request.deadline <= shutdown.ends_at:
        return False
    repeatable = request.repeatable or request.route.streaming
    return shutdown.refuses_long or not repeatable


def _choose_service(context: RelayContext, route: Route, preferred: str) -> str:
    """Choose the service of a request, the preferred one if it is offered."""
    if any(split.service == preferred for split in route.splits):
        return preferred
    return choose_service(route, context.draw())


def _check_quarantine(
    context: RelayContext, request: AdmittedRequest
) -> AdmittedRequest | Refusal:
    """Refuse a request that is quarantined, unless it may be a trial."""
    cause = context.quarantine.find_refused(request.fingerprint)
    if cause is None:
        return request
    if context.quarantine.may_claim_trial(request.fingerprint):
        return replace(request, trial=True)
    return Refusal(
        _UNAVAILABLE,
        describe_cause(cause),
        QUARANTINE_RETRY_SECONDS,
        request.digest,
        cause,
    )


def _identify(
    context: RelayContext,
    table: RoutingTable,
    route: Route,
    terms: RequestMetadata,
) -> Account | Refusal | None:
    """Look up the client account of a request by its API key.

    :returns: the account, ``None`` if the route is anonymous or no accounts
        are configured; or why the request is refused.
    """
    if route.anonymous or not table.configuration.accounts:
        return None
    if not context.configuration.allows_keys():
        return Refusal(
            _UNAVAILABLE, 'keys are unconfirmed', UNCONFIRMED_RETRY_SECONDS
        )
    account = table.find_account(terms.key)
    if account is None:
        return _deny(context, _UNAUTHORIZED, 'unknown key')
    return account


def _deny(context: RelayContext, status: int, reason: str) -> Refusal:
    """Refuse a request that the configuration does not allow.

    The status asks for a retry if the configuration may be outdated.
    """
    if context.configuration.age > MAX_DENIAL_AGE_SECONDS:
        return Refusal(
            _UNAVAILABLE, f'{reason}, unconfirmed', UNCONFIRMED_RETRY_SECONDS
        )
    return Refusal(status, reason)


def _read_host(scope: Scope) -> str:
    hosts = (entry for name, entry in scope['headers'] if name == b'host')
    return next(hosts, b'').decode('latin-1')


def _read_target(scope: Scope, path: str) -> str:
    """Join path and query, byte for byte."""
    query = scope['query_string'].decode('latin-1')
    return f'{path}?{query}' if query else path
