"""Refuses requests that appear to crash replicas."""

from ryelatch_node.quarantine._service import Quarantine, setup

__all__ = ['Quarantine', 'setup']
