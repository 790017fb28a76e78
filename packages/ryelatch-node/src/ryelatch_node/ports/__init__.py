"""What a relaying node asks of the platform that it runs on."""

from ryelatch_node.ports._leases import LeaseRecord, LeaseStore
from ryelatch_node.ports._commands import (
    LoadedLayers,
    MoveResult,
    CommandResult,
    ReplicaCommands,
    Reachability,
    Report,
)
from ryelatch_node.ports._quarantine import QuarantineStore, StoreWriteResult
from ryelatch_node.ports._startup import (
    Address,
    NodeCountChanged,
    RelayStartup,
    SettingsChanged,
    apply_reloadable,
)
from ryelatch_node.ports._wire import (
    AnswerMetadata,
    Dispatch,
    Headers,
    RequestMetadata,
    HeaderCodec,
)

__all__ = [
    'Address',
    'AnswerMetadata',
    'Dispatch',
    'Headers',
    'LoadedLayers',
    'LeaseRecord',
    'LeaseStore',
    'MoveResult',
    'NodeCountChanged',
    'CommandResult',
    'ReplicaCommands',
    'QuarantineStore',
    'Reachability',
    'RelayStartup',
    'Report',
    'RequestMetadata',
    'SettingsChanged',
    'StoreWriteResult',
    'HeaderCodec',
    'apply_reloadable',
]
