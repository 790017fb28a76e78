"""The throughput that engines and links allow, as a maximum flow."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

Pair = tuple[str, str]


@dataclass(frozen=True)
class Machine:
    """An engine as a planner sees it.

    :param speed: layers times positions a second.
    :param capacity: layers that fit into its memory.
    """

    name: str
    zone: str
    speed: float
    capacity: int


@dataclass(frozen=True)
class Assignment:
    """A machine with the layers that it holds or should hold."""

    machine: Machine
    first: int
    last: int

    @property
    def rate(self) -> float:
        """Positions a second for its range."""
        return self.machine.speed / (self.last - self.first)


Placement = tuple[Assignment, ...]


def bound_throughput(
    placement: Iterable[Assignment],
    layers: int,
    links: Mapping[Pair, float],
) -> float:
    """Compute the positions a second that no routing can exceed.

    Each engine is an edge from the boundary before its range to the one
    behind it, as wide as its rate. Between zones each boundary has an edge
    as wide as the link; so the graph grows with engines, boundaries and
    zones, not with pairs of engines.

    :param links: positions a second between two zones; a pair not named is
        not a limit.
    """
    import networkx as nx  # loaded late: only a planner needs its memory

    placed = [one for one in placement if one.first < one.last]
    graph = nx.DiGraph()
    for one in placed:
        _widen(
            graph,
            ('into', one.first, one.machine.zone),
            ('from', one.last, one.machine.zone),
            one.rate,
        )
    zones = {one.machine.zone for one in placed}
    boundaries = {one.first for one in placed} | {layers}
    for boundary in boundaries - {0, layers}:
        for pair in _list_pairs(zones):
            arrival = ('from', boundary, pair[0])
            graph.add_edge(
                arrival,
                ('into', boundary, pair[1]),
                **_limit(pair, links),
            )
    for zone in zones:
        graph.add_edge('source', ('into', 0, zone))
        graph.add_edge(('from', layers, zone), 'sink')
    if not any(one.first == 0 for one in placed):
        return 0
    return float(nx.maximum_flow_value(graph, 'source', 'sink'))


def _widen(graph: Any, start: object, end: object, rate: float) -> None:
    """Add a rate to an edge; engines of one range and zone share it."""
    known = graph.get_edge_data(start, end, {'capacity': 0})
    graph.add_edge(start, end, capacity=known['capacity'] + rate)


def _list_pairs(zones: set[str]) -> list[Pair]:
    return [(one, two) for one in zones for two in zones]


def _limit(pair: Pair, links: Mapping[Pair, float]) -> dict[str, float]:
    """Give the limit of a link; an edge without one is endlessly wide."""
    if pair[0] == pair[1] or pair not in links:
        return {}
    return {'capacity': links[pair]}
