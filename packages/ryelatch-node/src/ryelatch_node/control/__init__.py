"""Tasks that one node performs at a time under a lease: repair of layers."""

from ryelatch_node.control._lease_manager import HeldLease, LeaseManager
from ryelatch_node.control._service import Repair, setup

__all__ = ['HeldLease', 'LeaseManager', 'Repair', 'setup']
