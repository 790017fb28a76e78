"""Enforces the rate limits and backoffs that replicas report."""

from ryelatch_node.throttle._permit_client import PermitClient
from ryelatch_node.throttle._service import Throttle, setup

__all__ = ['PermitClient', 'Throttle', 'setup']
