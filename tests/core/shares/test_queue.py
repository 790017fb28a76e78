"""Fair queue and slots of client accounts."""

import pytest

from ryelatch_core.shares import (
    Demand,
    FairQueue,
    Limits,
    Ticket,
    allocate_slots,
    cap_accounts,
)

_WIDE = Limits(1000, 1000)


def _ticket(number: int, account: str, work: float = 1) -> Ticket:
    return Ticket(number, account, 1, work, 100)


def test_small_account_waits_behind_its_own_only() -> None:
    """One account sends five hundred requests, then another one sends one.

    In order of arrival, the second account would wait for all of them.
    """
    queue = FairQueue(1)
    for number in range(500):
        queue.offer(_ticket(number, 'large'), _WIDE)
    first = queue.take(0)
    assert first is not None
    queue.offer(_ticket(1000, 'small'), _WIDE)
    queue.finish(first, 1)
    taken = [queue.take(0) for _ in range(1)]
    assert taken[0] is not None
    assert taken[0].account == 'small'


@pytest.mark.parametrize('huge', [1, 100])
def test_shares_are_counted_in_work(huge: float) -> None:
    """One account sends few huge requests, the other many small ones.

    Over time both get the same work done, not the same number of requests.
    """
    queue = FairQueue(1)
    done = {'few': 0.0, 'many': 0.0}
    for number in range(2000):
        queue.offer(_ticket(number, 'few', huge), _WIDE)
        queue.offer(_ticket(5000 + number, 'many'), _WIDE)
    while sum(done.values()) < 800:
        ticket = queue.take(0)
        assert ticket is not None
        done[ticket.account] += ticket.work
        queue.finish(ticket, ticket.work)
    assert abs(done['few'] - done['many']) <= huge


def test_wrong_estimates_are_charged_afterwards() -> None:
    """An account whose requests take ten times the estimate is charged it."""
    queue = FairQueue(1)
    for number in range(100):
        queue.offer(_ticket(number, 'liar'), _WIDE)
        queue.offer(_ticket(1000 + number, 'honest'), _WIDE)
    taken = {'liar': 0, 'honest': 0}
    for _ in range(44):
        ticket = queue.take(0)
        assert ticket is not None
        taken[ticket.account] += 1
        queue.finish(ticket, 10 if ticket.account == 'liar' else 1)
    assert taken['honest'] >= 9 * taken['liar']


def test_idle_account_banks_no_credit() -> None:
    queue = FairQueue(1)
    for number in range(100):
        queue.offer(_ticket(number, 'busy'), _WIDE)
        ticket = queue.take(0)
        assert ticket is not None
        queue.finish(ticket, 1)
    for number in range(10):
        queue.offer(_ticket(200 + number, 'busy'), _WIDE)
        queue.offer(_ticket(300 + number, 'idle'), _WIDE)
    order = []
    for _ in range(6):
        ticket = queue.take(0)
        assert ticket is not None
        order.append(ticket.account)
        queue.finish(ticket, 1)
    assert order.count('busy') == 3


def test_queue_and_running_are_bounded() -> None:
    queue = FairQueue(5)
    limits = Limits(1, 2)
    assert queue.offer(_ticket(1, 'a'), limits).is_ok()
    assert queue.take(0) is not None
    assert queue.offer(_ticket(2, 'a'), limits).is_ok()
    assert queue.take(0) is None
    assert queue.offer(_ticket(3, 'a'), limits).is_ok()
    shed = queue.offer(_ticket(4, 'a'), limits).unwrap_err()
    assert shed.reason == 'queue-full'
    assert shed.retry_after >= 1


def test_idle_account_starts_in_a_surge() -> None:
    """Every slot is taken by long answers of one account.

    A request of an idle account must not wait until one of them is finished.
    """
    queue = FairQueue(4)
    for number in range(50):
        queue.offer(_ticket(number, 'large'), _WIDE)
        queue.take(0)
    assert queue.running == 4
    queue.offer(_ticket(100, 'small'), _WIDE)
    taken = queue.take(0)
    assert taken is not None
    assert taken.account == 'small'


def test_node_that_is_cut_off_keeps_to_its_slice() -> None:
    """A node is cut off from all seven peers, and one account surges.

    It may hand out its own eighth of the slots and no more.
    """
    demands = {'large': Demand(1, {'n1': 500})}
    assert cap_accounts(80, demands, 'n1', 8, reporting=1) == {'large': 10}
    assert cap_accounts(80, demands, 'n1', 8, reporting=8) == {'large': 80}


def test_expired_and_withdrawn_tickets_leave() -> None:
    queue = FairQueue(1)
    for number in range(3):
        queue.offer(_ticket(number, 'a'), _WIDE)
    assert queue.withdraw(_ticket(1, 'a'))
    assert not queue.withdraw(_ticket(1, 'a'))
    assert len(queue.expire(100)) == 2
    assert queue.waiting == 0


def test_slots_are_shared_by_weight_up_to_demand() -> None:
    demands = {
        'small': Demand(1, {'n1': 2}),
        'large': Demand(1, {'n1': 50, 'n2': 50}),
        'heavy': Demand(2, {'n2': 100}),
    }
    granted = allocate_slots(32, demands)
    assert granted == {'small': 2, 'large': 10, 'heavy': 20}
    caps = cap_accounts(32, demands, 'n1', 4)
    assert caps['large'] == 5
    assert caps['small'] == 2


def test_caps_fit_the_fleet() -> None:
    """All nodes compute their caps from the same demands."""
    demands = {
        f'a{index}': Demand(1, {f'n{node}': 9 for node in range(8)})
        for index in range(10)
    }
    total = sum(
        sum(cap_accounts(160, demands, f'n{node}', 8).values())
        for node in range(8)
    )
    assert total <= 160 * 1.1
