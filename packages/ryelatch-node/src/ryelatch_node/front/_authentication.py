"""Who calls: keys of client accounts and operators."""

import hmac
from http import HTTPStatus

from starlette.requests import Request

from ryelatch_core.events import Timeline, catalogue
from ryelatch_core.kernel import App
from ryelatch_core.settings import AccountEntry, Startup, hash_key
from ryelatch_node.config import SettingsHolder
from ryelatch_node.front._body import check_headers
from ryelatch_node.front._errors import refuse

_BEARER = 'bearer '


def find_account(app: App, request: Request) -> AccountEntry:
    """Find the client account that a request's key belongs to.

    :raises CallerError: with 401 if there is none.
    """
    check_headers(request)
    directory = app.find('settings', SettingsHolder).directory
    account = directory.by_key.get(hash_key(_read_key(request)))
    if account is None:
        _count(app, request, 'unknown-key')
        raise refuse(
            HTTPStatus.UNAUTHORIZED,
            'invalid_api_key',
            'Incorrect API key provided.',
        )
    return account


def check_operator(app: App, request: Request) -> None:
    """Refuse a request that has no operator's key.

    :raises CallerError: with 401.
    """
    check_headers(request)
    given = hash_key(_read_key(request))
    known = app.find('startup', Startup).operator_keys
    if not any(hmac.compare_digest(given, key) for key in known):
        _count(app, request, 'not-an-operator')
        raise refuse(
            HTTPStatus.UNAUTHORIZED, 'not_an_operator', 'No operator has it.'
        )


def _read_key(request: Request) -> str:
    header = request.headers.get('authorization', '')
    if header.lower().startswith(_BEARER):
        return header[len(_BEARER) :].strip()
    return ''


def _count(app: App, request: Request, reason: str) -> None:
    app.find('timeline', Timeline).record(
        catalogue.CALLER_REFUSED, reason=reason, path=request.url.path
    )
