"""Finds the route, the account and the service of a request."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from ryelatch_core.routing._types import Account, Configuration, Route


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """A configuration, indexed for the look-ups of each request.

    :param routes: routes by host name in lower case, then by path prefix.
    :param longest: bytes of the longest path prefix, by host name.
    :param accounts: client accounts by key.
    """

    configuration: Configuration
    routes: Mapping[str, Mapping[str, Route]]
    longest: Mapping[str, int]
    accounts: Mapping[str, Account]

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route of a host with the longest matching path prefix.

        Each prefix of the path is looked up in turn, none longer than those
        of the routes: a client may send a path of nothing but slashes. So the
        cost doesn't depend on the number of routes, which can grow by hundreds
        at once.

        :param host: host of the request; a port is ignored.
        """
        name = host.partition(':')[0].lower()
        routes = self.routes.get(name)
        if routes is None:
            return None
        end = path.rfind('/', 0, self.longest[name])
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def find_account(self, key: str) -> Account | None:
        """Find the client account that holds a key."""
        return self.accounts.get(key)


def build_table(configuration: Configuration) -> RoutingTable:
    """Index a configuration."""
    routes: dict[str, dict[str, Route]] = defaultdict(dict)
    for route in configuration.routes:
        routes[route.host.lower()][route.prefix] = route
    longest = {host: max(map(len, found)) for host, found in routes.items()}
    accounts = {
        key: account
        for account in configuration.accounts
        for key in account.keys
    }
    return RoutingTable(configuration, routes, longest, accounts)


def choose_service(route: Route, sample: float) -> str:
    """Choose a service of a route at random, by the weights of its splits.

    :param sample: random number, uniformly distributed from 0 to 1.
    """
    left = sample * sum(split.weight for split in route.splits)
    for split in route.splits:
        left -= split.weight
        if left < 0:
            return split.service
    return route.splits[-1].service
