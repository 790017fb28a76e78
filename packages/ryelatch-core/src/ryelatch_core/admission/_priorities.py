"""Ranks requests by the priorities that operators configure."""

from ryelatch_core.routing import Account, Configuration, Route


def get_priority(route: Route, account: Account | None) -> int:
    """Return the priority of a request; 0 is served first.

    :param account: its client account, whose priority replaces the route's;
        ``None`` if the request is anonymous.
    """
    if account is None or account.priority is None:
        return route.priority
    return account.priority


def list_ranked_services(configuration: Configuration) -> frozenset[str]:
    """List the model services whose requests differ in priority.

    Only these need an order among requests of several nodes. A request of an
    account with its own priority may go to any route that isn't anonymous.
    """
    overrides = {
        account.priority
        for account in configuration.accounts
        if account.priority is not None
    }
    priorities: dict[str, set[int]] = {}
    for route in configuration.routes:
        ranks = {route.priority}
        if not route.anonymous:
            ranks |= overrides
        for split in route.splits:
            priorities.setdefault(split.service, set()).update(ranks)
    return frozenset(
        name
        for name, service in configuration.services.items()
        if service.model is not None and len(priorities.get(name, ())) > 1
    )
