"""Enforces the rate limits and backoffs that replicas report."""

from ryelatch_node.throttle._lines import PermitLines
from ryelatch_node.throttle._service import Throttle, setup

__all__ = ['PermitLines', 'Throttle', 'setup']
