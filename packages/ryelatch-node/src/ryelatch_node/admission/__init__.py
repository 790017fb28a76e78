"""Admission control: fair queuing of requests by client account."""

from ryelatch_node.admission._service import Admission, AdmissionSlot, setup

__all__ = ['Admission', 'AdmissionSlot', 'setup']
