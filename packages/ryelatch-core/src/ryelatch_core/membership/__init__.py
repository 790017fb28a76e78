"""Members of the fleet: upstreams, peers, leases, watchers, departures."""

from ryelatch_core.membership._departure import (
    CONNECT_TIMEOUT_SECONDS,
    NEVER,
    STORE_OVERDUE_SECONDS,
    DepartureBounds,
    compute_departure_bounds,
)
from ryelatch_core.membership._lease import (
    COMMAND_TIMEOUT_SECONDS,
    TTL_SECONDS,
    Lease,
    may_send_command,
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
    NODES_PER_WATCHER,
    NodeEntry,
    choose_watchers,
    shares_watches,
    watches_for_others,
)

__all__ = [
    'COMMAND_TIMEOUT_SECONDS',
    'CONNECT_TIMEOUT_SECONDS',
    'NEVER',
    'NODES_PER_WATCHER',
    'STORE_OVERDUE_SECONDS',
    'TTL_SECONDS',
    'DepartureBounds',
    'Lease',
    'Member',
    'NodeEntry',
    'Roster',
    'RosterChange',
    'Vm',
    'choose_peers',
    'choose_watchers',
    'compute_departure_bounds',
    'may_send_command',
    'release_lease',
    'shares_watches',
    'should_watch',
    'take_lease',
    'watches_for_others',
]
