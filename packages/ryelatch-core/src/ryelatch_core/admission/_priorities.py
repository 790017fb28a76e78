"""Ranks requests by the priorities that operators configure."""

from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from ryelatch_core.routing import Account, Configuration, Route


class Priority(NamedTuple):
    """Priority of a request; the least is served first.

    :param account: that of its client account, or of its route if the account
        has none.
    :param route: that of its route, which decides among equal accounts.
    """

    account: int
    route: int


def get_priority(route: Route, account: Account | None) -> Priority:
    """Return the priority of a request.

    :param account: its client account; ``None`` if the request is anonymous.
    """
    if account is None or account.priority is None:
        return Priority(route.priority, route.priority)
    return Priority(account.priority, route.priority)


def rank_priorities(
    configuration: Configuration,
) -> Mapping[str, tuple[Priority, ...]]:
    """List the priorities of requests to each model service, in order.

    Only services whose routes differ in priority are included; requests to
    the others need no order. Accounts with priorities of their own don't call
    for one by themselves.
    """
    accounts: list[Account | None] = [*configuration.accounts]
    priorities: dict[str, set[Priority]] = defaultdict(set)
    routes: dict[str, set[int]] = defaultdict(set)
    for route in configuration.routes:
        callers = accounts
        if route.anonymous or not accounts:
            callers = [None]
        ranks = {get_priority(route, account) for account in callers}
        for split in route.splits:
            priorities[split.service] |= ranks
            routes[split.service].add(route.priority)
    return {
        name: tuple(sorted(priorities[name]))
        for name, service in configuration.services.items()
        if service.model is not None and len(routes[name]) > 1
    }
