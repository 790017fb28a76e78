"""One client account sends six times its usual requests for nine seconds."""

import pytest

from core_admission import (
    get_path,
    keep_busy,
    list_granted,
    make_controller,
    make_copy,
    make_request,
)
from core_admission_load import ROOM, LoadedZone, Source, get_share_in_time

SMALL_SHARES = (0.14, 0.1, 0.08, 0.07, 0.05, 0.03, 0.02)
"""Fractions of the room that the other accounts use."""


@pytest.mark.parametrize('seed', range(3))
def test_small_accounts_keep_their_share(seed: int) -> None:
    """Accounts with unchanged load are served in time during the surge.

    Refused clients of the large account that came back used to go first.
    """
    small = [
        Source(share * ROOM, account=f'small-{number}')
        for number, share in enumerate(SMALL_SHARES)
    ]
    large = Source(0.21 * ROOM, account='large', factor=6)
    zone = LoadedZone([*small, large], (20, 29), seed)
    zone.run(36)
    before = get_share_in_time(zone.select(10, 20, small.__contains__))
    during = get_share_in_time(zone.select(20, 29, small.__contains__))
    after = get_share_in_time(zone.select(29, 34, small.__contains__))
    assert during >= 0.95 * before
    assert after >= 0.95 * before


def test_account_alone_uses_all_room() -> None:
    """Only one account sends requests, more than there is room for."""
    controller = make_controller(make_copy(0, 1000))
    requests = [make_request(f'{number}', account='a') for number in range(11)]
    granted = [
        controller.reserve(request, get_path(0), 100) for request in requests
    ]
    assert sum(granted) == 10


def test_retried_request_goes_before_new_ones() -> None:
    """A client comes back to accounts with a little less in progress."""
    controller = make_controller(make_copy(0, 1000))
    keep_busy(controller, get_path(0), 20)
    for account, tokens in (('mine', 500), ('similar', 400), ('small', 100)):
        running = make_request(account, account=account, tokens=tokens)
        assert controller.reserve(running, get_path(0), 100)
    for account in ('mine', 'similar', 'small'):
        new = make_request(f'{account}-new', account=account)
        assert not list_granted(controller.enqueue(new, 100))
    back = make_request('mine-back', account='mine', retried=True)
    assert not list_granted(controller.enqueue(back, 100.1))
    order = [
        waiting.request.identity
        for waiting in controller.queue.sort(controller.ledger.account_tokens)
    ]
    assert order == ['small-new', 'mine-back', 'similar-new', 'mine-new']
