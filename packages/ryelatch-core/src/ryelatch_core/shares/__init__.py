"""Fair sharing of the engines between client accounts."""

from ryelatch_core.shares._allocation import (
    Demand,
    allocate_slots,
    cap_accounts,
)
from ryelatch_core.shares._queue import FairQueue, Limits, Shed, Ticket

__all__ = [
    'Demand',
    'FairQueue',
    'Limits',
    'Shed',
    'Ticket',
    'allocate_slots',
    'cap_accounts',
]
