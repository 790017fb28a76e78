"""Reserves places at replicas, for the requests of all nodes together."""

from ryelatch_node.reservations._client import ReservationClient
from ryelatch_node.reservations._controllers import ZoneControllers, ZoneKey
from ryelatch_node.reservations._frames import (
    BusyReply,
    GrantReply,
    RefusalReply,
)
from ryelatch_node.reservations._load import FleetLoad
from ryelatch_node.reservations._service import Reservations, setup

__all__ = [
    'BusyReply',
    'FleetLoad',
    'GrantReply',
    'RefusalReply',
    'ReservationClient',
    'Reservations',
    'ZoneControllers',
    'ZoneKey',
    'setup',
]
