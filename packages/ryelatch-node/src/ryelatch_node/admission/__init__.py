"""Who may start when: queues of client accounts at this node."""

from ryelatch_node.admission._service import Admission, AdmissionSlot, setup

__all__ = ['Admission', 'AdmissionSlot', 'setup']
