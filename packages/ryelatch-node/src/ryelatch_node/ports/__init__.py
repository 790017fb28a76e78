"""Interfaces between a relaying node and the platform it runs on."""

from ryelatch_node.ports._leases import LeaseRecord, LeaseStore
from ryelatch_node.ports._orders import (
    Holding,
    MoveAnswer,
    OrderResult,
    Orders,
    Reach,
    Report,
)
from ryelatch_node.ports._quarantine import QuarantineStore, StepResult
from ryelatch_node.ports._startup import (
    Address,
    NodesCounted,
    RelayStartup,
    SettingsChanged,
    keep_fixed,
)
from ryelatch_node.ports._wire import (
    AnswerTerms,
    Dispatch,
    Headers,
    RequestTerms,
    Wire,
)

__all__ = [
    'Address',
    'AnswerTerms',
    'Dispatch',
    'Headers',
    'Holding',
    'LeaseRecord',
    'LeaseStore',
    'MoveAnswer',
    'NodesCounted',
    'OrderResult',
    'Orders',
    'QuarantineStore',
    'Reach',
    'RelayStartup',
    'Report',
    'RequestTerms',
    'SettingsChanged',
    'StepResult',
    'Wire',
    'keep_fixed',
]
