"""Authentication of client accounts and operators by their keys."""

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
    """Find the client account that the key of a request belongs to.

    :raises CallerError: with 401 if no account has this key.
    """
    check_headers(request)
    directory = app.find('settings', SettingsHolder).directory
    account = directory.by_key.get(hash_key(_read_key(request)))
    if account is None:
        _record_refusal(app, request, 'unknown-key')
        raise refuse(
            HTTPStatus.UNAUTHORIZED,
            'invalid_api_key',
            'Incorrect API key provided.',
        )
    return account


def check_operator(app: App, request: Request) -> None:
    """Refuse a request without the key of an operator.

    :raises CallerError: with 401 if the key is missing or unknown.
    """
    check_headers(request)
    key_hash = hash_key(_read_key(request))
    operator_hashes = app.find('startup', Startup).operator_keys
    if not any(hmac.compare_digest(key_hash, key) for key in operator_hashes):
        _record_refusal(app, request, 'not-an-operator')
        raise refuse(
            HTTPStatus.UNAUTHORIZED, 'not_an_operator', 'No operator has it.'
        )


def _read_key(request: Request) -> str:
    header = request.headers.get('authorization', '')
    if header.lower().startswith(_BEARER):
        return header[len(_BEARER) :].strip()
    return ''


def _record_refusal(app: App, request: Request, reason: str) -> None:
    app.find('timeline', Timeline).record(
        catalogue.CALLER_REFUSED, reason=reason, path=request.url.path
    )
