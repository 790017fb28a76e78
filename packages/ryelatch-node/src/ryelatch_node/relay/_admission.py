"""Decides which requests are served, and by which service."""

from dataclasses import dataclass

from starlette.types import Scope

from ryelatch_core.quarantine import digest_request
from ryelatch_core.routing import Route, RoutingTable, choose_service
from ryelatch_node.ports import RequestTerms
from ryelatch_node.relay._exchange import AdmittedRequest
from ryelatch_node.relay._parts import RelayContext

SURE_SECONDS = 2.9
"""Age of the configuration up to which "no such route" is taken as true.

A node that has not heard of a change must not deny what it allows; it says
that it can't serve now. A watch confirms every two seconds.
"""

UNSURE_RETRY = 0.5
"""When a client may come back to, most likely, another node."""

QUARANTINE_RETRY = 60.0
"""When a client may come back with a request under which replicas ended.

It is refused for minutes, or until an operator lets it in.
"""

LIST_RETRY = 0.2
"""When a client may come back to a node that is about to list replicas.

The list takes 5 ms, and 0.3 s where the store is slowed sixtyfold.
"""

_UNAUTHORIZED = 401
_NOT_FOUND = 404
_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request isn't served.

    :param digest: of a request under which replicas ended.
    :param ended: those replicas, by the names of their lives.
    """

    status: int
    reason: str
    retry_after: float | None = None
    digest: str = ''
    ended: tuple[str, ...] = ()


@dataclass(slots=True)
class ShutdownState:
    """How far the stop of this node has come.

    :param closing: set while this node is to be left by its clients.
    :param refuses_streams: set when a stream might outlast this process.
    :param last_call: set when any request might.
    """

    closing: bool = False
    refuses_streams: bool = False
    last_call: bool = False


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that was read whole.

    :param seconds: when its head came, in monotonic seconds.
    """

    scope: Scope
    terms: RequestTerms
    body: bytes
    seconds: float


def admit(
    context: RelayContext, stops: ShutdownState, received: ReceivedRequest
) -> AdmittedRequest | Refusal:
    """Decide whether a request is served, and by which service."""
    table = context.configuration.table
    if table is None:
        return Refusal(_UNAVAILABLE, 'no configuration yet', UNSURE_RETRY)
    if not context.replicas.listed:
        # Refused as lacking layers, a client would be told to wait for
        # a repair, while the list comes within milliseconds.
        return Refusal(_UNAVAILABLE, 'no registry yet', LIST_RETRY)
    if stops.last_call:
        return Refusal(_UNAVAILABLE, 'this node stops', 0)
    scope, terms = received.scope, received.terms
    host = _read_host(scope)
    path = scope['raw_path'].decode('latin-1')
    route = table.find_route(host, path)
    if route is None:
        return _deny(context, _NOT_FOUND, 'no such route')
    if stops.refuses_streams and route.streaming:
        return Refusal(_UNAVAILABLE, 'this node stops', 0)
    account = _identify(context, table, route, terms)
    if isinstance(account, Refusal):
        return account
    method, target = scope['method'], _read_target(scope, path)
    digest = digest_request(host, method, target, account, received.body)
    crashes = context.quarantine.find_refused(digest)
    if crashes is not None:
        return Refusal(
            _UNAVAILABLE,
            'replicas ended under this request',
            QUARANTINE_RETRY,
            digest,
            tuple(sorted(crashes.incarnations)),
        )
    patience = min(route.timeout, terms.deadline or route.timeout)
    return AdmittedRequest(
        method,
        target,
        scope['headers'],
        received.body,
        terms,
        route,
        choose_service(route, context.draw()),
        account,
        received.seconds,
        received.seconds + patience,
        table.configuration.version,
        digest,
    )


def _identify(
    context: RelayContext,
    table: RoutingTable,
    route: Route,
    terms: RequestTerms,
) -> str | Refusal:
    """Find the name of the client account; empty on anonymous routes."""
    if route.anonymous or not table.configuration.accounts:
        return ''
    if not context.configuration.allows_keys():
        return Refusal(_UNAVAILABLE, 'keys are unconfirmed', UNSURE_RETRY)
    account = table.find_account(terms.key)
    if account is None:
        return _deny(context, _UNAUTHORIZED, 'unknown key')
    return account.name


def _deny(context: RelayContext, status: int, reason: str) -> Refusal:
    """Deny what no configuration allows, if this node can be sure."""
    if context.configuration.age > SURE_SECONDS:
        return Refusal(_UNAVAILABLE, f'{reason}, unconfirmed', UNSURE_RETRY)
    return Refusal(status, reason)


def _read_host(scope: Scope) -> str:
    hosts = (entry for name, entry in scope['headers'] if name == b'host')
    return next(hosts, b'').decode('latin-1')


def _read_target(scope: Scope, path: str) -> str:
    """Join path and query, byte for byte."""
    query = scope['query_string'].decode('latin-1')
    return f'{path}?{query}' if query else path
