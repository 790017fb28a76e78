"""Configuration of routes, services and client accounts, and look-ups in it."""

from ryelatch_core.routing._confirmation import Confirmation
from ryelatch_core.routing._table import (
    RoutingTable,
    build_table,
    choose_service,
)
from ryelatch_core.routing._types import (
    Account,
    ClientLimits,
    Configuration,
    RetryPolicy,
    Route,
    ServiceConfiguration,
    Split,
)

__all__ = [
    'Account',
    'ClientLimits',
    'Configuration',
    'Confirmation',
    'RetryPolicy',
    'Route',
    'RoutingTable',
    'ServiceConfiguration',
    'Split',
    'build_table',
    'choose_service',
]
