"""Who is there, who leaves, who speaks to whom."""

from ryelatch_core.membership._peers import choose_peers, should_watch
from ryelatch_core.membership._roster import (
    Member,
    Roster,
    RosterChange,
    Vm,
)

__all__ = [
    'Member',
    'Roster',
    'RosterChange',
    'Vm',
    'choose_peers',
    'should_watch',
]
