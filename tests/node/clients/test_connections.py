"""Which connections are closed when there is no room for others."""

from dataclasses import dataclass, field

from ryelatch_node.clients import (
    ConnectionTable,
    compute_backlog,
    compute_max_descriptors,
)
from ryelatch_node.clients._connections import STUCK_SECONDS


@dataclass(eq=False)
class _Connection:
    """A connection that records when it is closed."""

    taken: int = 0
    evicted: bool = False
    checks: list[float] = field(default_factory=list)

    def evict(self) -> None:
        """Close it."""
        self.evicted = True

    def check(self, now: float) -> None:
        """Look at it."""
        self.checks.append(now)


@dataclass(eq=False)
class _Clock:
    now: float = 100.0

    def read(self) -> float:
        """Read the time."""
        return self.now


def _fill(
    count: int, max_descriptors: int
) -> tuple[ConnectionTable, list[_Connection], _Clock]:
    clock = _Clock()
    table = ConnectionTable(max_descriptors, clock.read)
    connections = [_Connection() for _ in range(count)]
    for connection in connections:
        table.add(connection)
    return table, connections, clock


def test_longest_without_a_request_makes_room() -> None:
    """Connections that send nothing keep all others out."""
    table, connections, _ = _fill(3, 3)
    table.record_serving(connections[0], serving=True)
    table.record_serving(connections[0], serving=False)
    assert table.make_room()
    assert [each.evicted for each in connections] == [False, True, False]
    assert len(table) == 2


def test_served_connection_is_never_closed() -> None:
    """A caller whose request runs is disconnected for a newcomer."""
    table, connections, _ = _fill(3, 3)
    for connection in connections:
        table.record_serving(connection, serving=True)
    assert not table.make_room()
    assert not any(each.evicted for each in connections)


def test_requests_need_descriptors_too() -> None:
    """Clients leave no descriptor for the connections to upstreams."""
    table, connections, _ = _fill(4, 6)
    assert table.make_room()
    table.requests = 2
    assert table.make_room()
    assert connections[0].evicted


def test_memory_is_freed_where_it_is_taken() -> None:
    """Idle connections are closed for memory that they don't take."""
    table, connections, _ = _fill(3, 10)
    connections[1].taken = 100
    assert table.free_memory(None)
    assert [each.evicted for each in connections] == [False, True, False]
    assert not table.free_memory(None)


def test_request_does_not_end_itself_for_memory() -> None:
    """A request without room is cut off in place of being refused."""
    table, connections, _ = _fill(2, 10)
    for connection in connections:
        connection.taken = 100
    assert not table.free_memory(connections[0])
    assert not connections[0].evicted
    assert table.free_memory(connections[1])
    assert connections[0].evicted


def test_client_that_reads_nothing_makes_room() -> None:
    """Answers that nobody reads keep the memory of a node."""
    table, connections, clock = _fill(2, 2)
    for connection in connections:
        table.record_serving(connection, serving=True)
        table.record_reading(connection, unread=True)
    table.record_reading(connections[0], unread=False)
    assert not table.make_room()
    clock.now += STUCK_SECONDS
    assert table.make_room()
    assert [each.evicted for each in connections] == [False, True]


def test_closed_connection_is_forgotten() -> None:
    """A table keeps what is closed."""
    table, connections, clock = _fill(1, 2)
    table.discard(connections[0])
    table.record_serving(connections[0], serving=False)
    table.record_reading(connections[0], unread=True)
    clock.now += STUCK_SECONDS
    assert not table.free_memory(None)
    assert len(table) == 0


def test_all_connections_are_looked_at() -> None:
    """A connection that has lost its timer stays open."""
    table, connections, clock = _fill(3, 10)
    table.record_serving(connections[0], serving=True)
    table.check()
    assert all(each.checks == [clock.now] for each in connections)


def test_descriptors_are_shared() -> None:
    """Clients, upstreams and what waits need more than there are."""
    for files in (100, 300, 1000):
        most = compute_max_descriptors(files)
        assert 0 < most + compute_backlog(most) < files
