"""Who may start when: queues of client accounts at this node."""

from ryelatch_node.admission._service import Admission, Pass, setup

__all__ = ['Admission', 'Pass', 'setup']
