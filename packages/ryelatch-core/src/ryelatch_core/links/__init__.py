"""Decides from failed connections whether a node's own links are lost."""

from ryelatch_core.links._contacts import Contacts
from ryelatch_core.links._groups import LinkGroup, group_replicas
from ryelatch_core.links._helper_choice import Helper, choose_helper
from ryelatch_core.links._lost import (
    MAX_PROBE_SECONDS,
    LostGroup,
    LostLinks,
)
from ryelatch_core.links._probes import ProbeResult, choose_probes
from ryelatch_core.links._witnesses import choose_witnesses

__all__ = [
    'MAX_PROBE_SECONDS',
    'Contacts',
    'Helper',
    'LinkGroup',
    'LostGroup',
    'LostLinks',
    'ProbeResult',
    'choose_helper',
    'choose_probes',
    'choose_witnesses',
    'group_replicas',
]
