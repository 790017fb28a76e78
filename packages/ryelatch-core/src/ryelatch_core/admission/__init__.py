"""Decides which requests get a place at the replicas, and when."""

from ryelatch_core.admission._accounts import AccountTracker
from ryelatch_core.admission._controller import AdmissionController
from ryelatch_core.admission._headroom import (
    EventSeconds,
    ReplicaCapacity,
    measure_capacities,
)
from ryelatch_core.admission._ledger import ReservationLedger
from ryelatch_core.admission._outcomes import (
    PlaceOutcome,
    name_outcome,
    sum_outcomes,
)
from ryelatch_core.admission._priorities import (
    Priority,
    get_priority,
    rank_priorities,
)
from ryelatch_core.admission._queue import AdmissionQueue
from ryelatch_core.admission._ranking import rank_controllers
from ryelatch_core.admission._reservation import (
    Granted,
    Queued,
    Refused,
    ReservationRequest,
)
from ryelatch_core.admission._retry_delays import RetryScheduler
from ryelatch_core.admission._window import LATE_FRACTION, ConcurrencyWindows

__all__ = [
    'LATE_FRACTION',
    'AccountTracker',
    'AdmissionController',
    'AdmissionQueue',
    'ConcurrencyWindows',
    'EventSeconds',
    'Granted',
    'PlaceOutcome',
    'Priority',
    'Queued',
    'Refused',
    'ReplicaCapacity',
    'ReservationLedger',
    'ReservationRequest',
    'RetryScheduler',
    'get_priority',
    'measure_capacities',
    'name_outcome',
    'rank_controllers',
    'rank_priorities',
    'sum_outcomes',
]
