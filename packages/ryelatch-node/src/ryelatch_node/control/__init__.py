"""Duties that one node holds at a time: repair of the engines' layers."""

from ryelatch_node.control._lease_manager import Held, LeaseManager
from ryelatch_node.control._service import Repair, setup

__all__ = ['Held', 'LeaseManager', 'Repair', 'setup']
