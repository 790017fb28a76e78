"""Admission control: fair queuing of requests by client account."""

from ryelatch_node.admission._service import Admission, Pass, setup

__all__ = ['Admission', 'Pass', 'setup']
