"""Endpoint for requests to non-model services."""

from dataclasses import dataclass, replace
from http import HTTPStatus
from types import MappingProxyType

from starlette.requests import Request
from starlette.responses import Response

from ryelatch_core.events import Timeline, catalogue
from ryelatch_core.kernel import App
from ryelatch_core.outcomes import (
    OUTCOME_HEADER,
    REQUEST_HEADER,
    Failure,
    Outcome,
)
from ryelatch_core.settings import AccountEntry, Route, Settings
from ryelatch_core.settings import Service as NonModelService
from ryelatch_node.admission import Admission
from ryelatch_node.config import SettingsHolder
from ryelatch_node.front._authentication import find_account
from ryelatch_node.front._body import read_body
from ryelatch_node.front._errors import CallerError, refuse
from ryelatch_node.front._meter import Meter
from ryelatch_node.front._model import Endpoint
from ryelatch_node.non_model import (
    Answer,
    Call,
    Claim,
    ClaimError,
    Claims,
    Forwarder,
    RecordState,
)
from ryelatch_node.non_model._claims import fingerprint_call, make_claim_key
from ryelatch_node.non_model._forward import clean_headers, is_idempotent
from ryelatch_node.upstreams import Upstreams

_KEY_HEADER = 'idempotency-key'
_MAX_KEY_CHARACTERS = 255
_MAX_RECORDED_BYTES = 900_000

_CLAIM_FAILURES = MappingProxyType(
    {
        ClaimError.STORE_OUT: Failure(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'store_out',
            'The key could not be claimed, so the request was not sent.',
            Outcome.NOT_RUN,
            2,
            'server_error',
        ),
        ClaimError.MISMATCH: Failure(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            'key_reused',
            'Another request was sent with this idempotency key.',
            Outcome.NOT_RUN,
        ),
        ClaimError.LOST: Failure(
            HTTPStatus.CONFLICT,
            'answer_lost',
            'A request with this idempotency key may have run; its answer is '
            'not known.',
            Outcome.UNKNOWN,
        ),
    }
)


_ANSWER_NOT_KEPT = Failure(
    HTTPStatus.CONFLICT,
    'answer_not_kept',
    'The request with this idempotency key ran, and its answer was not kept.',
    Outcome.FAILED,
)


@dataclass(frozen=True)
class _RoutedRequest:
    """A request with its client account, its route and its service.

    :param prefix: the path prefix under which the settings hold the route.
    """

    account: AccountEntry
    prefix: str
    route: Route
    service: NonModelService
    call: Call


def serve_non_model(app: App) -> Endpoint:
    """Make the endpoint for all paths that routes of the settings match."""

    async def answer(request: Request) -> Response:
        account = find_account(app, request)
        settings = app.find('settings', SettingsHolder).settings
        prefix = _match_route(settings, account, request.url.path)
        route = settings.routes[prefix]
        call = _build_call(request, prefix, route, await read_body(request))
        service = settings.services[route.service]
        routed = _RoutedRequest(account, prefix, route, service, call)
        started = app.clock.monotonic()
        admission = app.find('admission', Admission)
        admitted = await admission.admit(route.service, account, 1)
        if admitted.is_err():
            raise CallerError(admitted.unwrap_err())
        try:
            return await _serve_routed(app, routed, request, started)
        finally:
            admission.release(admitted.unwrap(), 1)

    return answer


async def _serve_routed(
    app: App,
    routed: _RoutedRequest,
    request: Request,
    started: float,
) -> Response:
    key = request.headers.get(_KEY_HEADER, '')
    outcome = Outcome.UNKNOWN
    try:
        if key and not routed.call.idempotent:
            answered = await _serve_claimed(app, routed, key)
        else:
            answered = await _forward(app, routed)
        outcome = (
            Outcome.COMPLETE
            if answered.status < HTTPStatus.BAD_REQUEST
            else Outcome.FAILED
        )
    except CallerError as error:
        outcome = error.failure.outcome
        raise
    finally:
        elapsed = app.clock.monotonic() - started
        app.find('meter', Meter).record_completion(elapsed, 0, outcome)
        app.find('timeline', Timeline).record(
            catalogue.REQUEST_ENDED,
            request=routed.call.request,
            account=routed.account.path,
            route=routed.prefix,
            outcome=outcome.value,
        )
    response = Response(answered.body, answered.status)
    for name, text in answered.headers:
        response.headers.append(name, text)
    response.headers[OUTCOME_HEADER] = outcome.value
    response.headers[REQUEST_HEADER] = routed.call.request
    return response


async def _serve_claimed(app: App, routed: _RoutedRequest, key: str) -> Answer:
    """Forward a request at most once per idempotency key, over all nodes.

    A request whose key was claimed before gets the recorded answer.

    :raises CallerError: if the key is too long or can't be claimed, if the
        answer was not kept, or if forwarding fails.
    """
    if len(key) > _MAX_KEY_CHARACTERS:
        raise refuse(
            HTTPStatus.BAD_REQUEST,
            'key_too_long',
            f'At most {_MAX_KEY_CHARACTERS} characters.',
        )
    call = routed.call
    claims = app.find('claims', Claims)
    claimed = await claims.claim(
        make_claim_key(routed.account.path, routed.prefix, key),
        fingerprint_call(call.method, call.path, call.body),
        routed.route.keep_answers,
        routed.service.timeout,
    )
    if claimed.is_err():
        raise CallerError(_CLAIM_FAILURES[claimed.unwrap_err()])
    claim = claimed.unwrap()
    if not isinstance(claim, Claim):
        if not claim.whole:
            raise CallerError(_ANSWER_NOT_KEPT)
        headers = (*claim.headers, ('idempotent-replayed', 'true'))
        return Answer(claim.status, headers, claim.body)
    return await _forward_claimed(app, routed, claim)


async def _forward_claimed(
    app: App, routed: _RoutedRequest, claim: Claim
) -> Answer:
    claims = app.find('claims', Claims)
    lost = replace(claim.record, state=RecordState.LOST)
    record = lost
    try:
        answered = await _forward(app, routed)
        # What may be a part must not become the answer of each repeat.
        kept = answered.framed and len(answered.body) <= _MAX_RECORDED_BYTES
        record = replace(
            claim.record,
            state=RecordState.DONE,
            status=answered.status,
            headers=answered.headers,
            body=answered.body if kept else b'',
            whole=kept,
        )
    except CallerError as error:
        if error.failure.outcome is Outcome.NOT_RUN:
            record = replace(claim.record, state=RecordState.RELEASED)
        raise
    finally:
        claims.settle(claim, record)
    return answered


async def _forward(app: App, routed: _RoutedRequest) -> Answer:
    upstreams = app.find('upstreams', Upstreams).list_service_vms(
        routed.service.role
    )
    app.random_source.shuffle(upstreams)
    forwarded = await app.find('forwarder', Forwarder).forward(
        routed.call, routed.service, upstreams
    )
    if forwarded.is_err():
        raise CallerError(forwarded.unwrap_err())
    return forwarded.unwrap()


def _match_route(settings: Settings, account: AccountEntry, path: str) -> str:
    """Find the longest route prefix that matches a path.

    :raises CallerError: with 404 if no route that the client account may use
        matches.
    """
    allowed = account.policy.routes
    matching = [
        prefix
        for prefix in settings.routes
        if _is_under(path, prefix) and (allowed is None or prefix in allowed)
    ]
    if not matching:
        raise refuse(
            HTTPStatus.NOT_FOUND, 'no_route', f'No route leads from {path}.'
        )
    return max(matching, key=len)


def _is_under(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(f'{prefix.rstrip("/")}/')


def _build_call(
    request: Request,
    prefix: str,
    route: Route,
    body: bytes,
) -> Call:
    path = request.scope['raw_path'].decode('ascii', 'replace')
    if route.strip:
        path = path[len(prefix.rstrip('/')) :] or '/'
    query = request.url.query
    headers = clean_headers(request.headers.items())
    return Call(
        request.state.request,
        request.method,
        f'{path}?{query}' if query else path,
        (*headers, (REQUEST_HEADER, request.state.request)),
        body,
        is_idempotent(route, request.method),
    )
