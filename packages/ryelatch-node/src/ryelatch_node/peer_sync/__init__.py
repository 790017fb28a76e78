"""What the store says, by way of peers."""

from ryelatch_node.peer_sync._frames import Change, PermitRequest, PermitReply
from ryelatch_node.peer_sync._connection import REQUEST_ERRORS, PeerConnection, connect_to_peer
from ryelatch_node.peer_sync._watch_cache import PeerCutOff, StoreUpdate, StoreHealth
from ryelatch_node.peer_sync._service import PeerSync, setup

__all__ = [
    'REQUEST_ERRORS',
    'PeerCutOff',
    'Change',
    'StoreUpdate',
    'PeerConnection',
    'PeerSync',
    'PermitRequest',
    'PermitReply',
    'StoreHealth',
    'connect_to_peer',
    'setup',
]
