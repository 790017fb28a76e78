"""Members of the fleet: upstreams, peers, leases, watchers, departures."""

from ryelatch_core.membership._departure import (
    ANSWER_SECONDS,
    NEVER,
    SEND_SECONDS,
    DepartureTerms,
    reckon_terms,
)
from ryelatch_core.membership._lease import (
    ORDER_SECONDS,
    TTL_SECONDS,
    Lease,
    may_order,
    release_lease,
    take_lease,
)
from ryelatch_core.membership._peers import choose_peers, should_watch
from ryelatch_core.membership._roster import (
    Member,
    Roster,
    RosterChange,
    Vm,
)
from ryelatch_core.membership._watchers import (
    NodeEntry,
    choose_watchers,
    shares_watches,
    watches_for_others,
)

__all__ = [
    'ANSWER_SECONDS',
    'NEVER',
    'ORDER_SECONDS',
    'SEND_SECONDS',
    'TTL_SECONDS',
    'DepartureTerms',
    'Lease',
    'Member',
    'NodeEntry',
    'Roster',
    'RosterChange',
    'Vm',
    'choose_peers',
    'choose_watchers',
    'may_order',
    'reckon_terms',
    'release_lease',
    'shares_watches',
    'should_watch',
    'take_lease',
    'watches_for_others',
]
