"""Shares the store's changes among nodes, so that few of them watch it."""

from ryelatch_node.peer_sync._backoffs import PeerBackoffs
from ryelatch_node.peer_sync._connection import (
    REQUEST_ERRORS,
    PeerConnection,
    connect_to_peer,
)
from ryelatch_node.peer_sync._frames import (
    Change,
    Duration,
    IncarnationName,
    PermitReply,
    PermitRequest,
    SeenVersionReply,
    SeenVersionRequest,
    SessionRequest,
    encode,
    read_body,
)
from ryelatch_node.peer_sync._link_frames import (
    ForwardAlive,
    ForwardPiece,
    ForwardRefused,
    ForwardReply,
    ForwardRequest,
    ForwardStart,
    ReachReply,
    ReachRequest,
)
from ryelatch_node.peer_sync._seen_version_client import (
    NO_SEEN_VERSION,
    SeenVersion,
    combine_replies,
)
from ryelatch_node.peer_sync._service import PeerSync, setup
from ryelatch_node.peer_sync._watch_cache import (
    PeerPartitioned,
    StoreHealth,
    StoreUpdate,
)

__all__ = [
    'NO_SEEN_VERSION',
    'REQUEST_ERRORS',
    'Change',
    'Duration',
    'ForwardAlive',
    'ForwardPiece',
    'ForwardRefused',
    'ForwardReply',
    'ForwardRequest',
    'ForwardStart',
    'IncarnationName',
    'PeerBackoffs',
    'PeerConnection',
    'PeerPartitioned',
    'PeerSync',
    'PermitReply',
    'PermitRequest',
    'ReachReply',
    'ReachRequest',
    'SeenVersion',
    'SeenVersionReply',
    'SeenVersionRequest',
    'SessionRequest',
    'StoreHealth',
    'StoreUpdate',
    'combine_replies',
    'connect_to_peer',
    'encode',
    'read_body',
    'setup',
]
