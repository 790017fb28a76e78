"""Interfaces between a relaying node and the platform it runs on."""

from ryelatch_node.ports._commands import (
    CommandResult,
    LoadedLayers,
    MoveResult,
    Presence,
    Reachability,
    ReplicaCommands,
    Report,
)
from ryelatch_node.ports._leases import LeaseRecord, LeaseStore
from ryelatch_node.ports._quarantine import QuarantineStore, StoreWriteResult
from ryelatch_node.ports._startup import (
    DEFAULT_MAX_FILES,
    DEFAULT_MEMORY_BYTES,
    Address,
    NodeCountChanged,
    RelayStartup,
    SettingsChanged,
    apply_reloadable,
)
from ryelatch_node.ports._wire import (
    MAX_PARTS,
    AnswerMetadata,
    Dispatch,
    HeaderCodec,
    Headers,
    RequestMetadata,
)

__all__ = [
    'DEFAULT_MAX_FILES',
    'DEFAULT_MEMORY_BYTES',
    'MAX_PARTS',
    'Address',
    'AnswerMetadata',
    'CommandResult',
    'Dispatch',
    'HeaderCodec',
    'Headers',
    'LeaseRecord',
    'LeaseStore',
    'LoadedLayers',
    'MoveResult',
    'NodeCountChanged',
    'Presence',
    'QuarantineStore',
    'Reachability',
    'RelayStartup',
    'ReplicaCommands',
    'Report',
    'RequestMetadata',
    'SettingsChanged',
    'StoreWriteResult',
    'apply_reloadable',
]
