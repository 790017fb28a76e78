"""Keeps what is sent to a replica within what it says that it takes."""

from ryelatch_node.throttle._permit_client import PermitClient
from ryelatch_node.throttle._service import Throttle, setup

__all__ = ['PermitClient', 'Throttle', 'setup']
