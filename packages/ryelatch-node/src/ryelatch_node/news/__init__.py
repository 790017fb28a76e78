"""What the store says, by way of peers."""

from ryelatch_node.news._frames import Change, PermitRequest, PermitReply
from ryelatch_node.news._line import REQUEST_ERRORS, PeerConnection, connect_to_peer
from ryelatch_node.news._memory import PeerCutOff, StoreUpdate, StoreHealth
from ryelatch_node.news._service import PeerSync, setup

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
