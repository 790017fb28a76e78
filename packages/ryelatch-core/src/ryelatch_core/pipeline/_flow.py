"""Upper bound on the throughput of a placement, as a maximum flow."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

Pair = tuple[str, str]


@dataclass(frozen=True)
class Machine:
    """An engine as the placement planner sees it.

    :param speed: layers times positions per second.
    :param capacity: number of layers that fit into its memory.
    """

    name: str
    zone: str
    speed: float
    capacity: int


@dataclass(frozen=True)
class Assignment:
    """A machine and the range of layers assigned to it.

    :param first: first layer of the range.
    :param last: layer after the last one of the range.
    """

    machine: Machine
    first: int
    last: int

    @property
    def rate(self) -> float:
        """Positions per second through all its layers."""
        return self.machine.speed / (self.last - self.first)


Placement = tuple[Assignment, ...]


def bound_throughput(
    placement: Iterable[Assignment],
    layers: int,
    links: Mapping[Pair, float],
) -> float:
    """Compute the positions per second that no routing can exceed.

    A boundary is the number of the layer that follows it. Each engine is an
    edge from the boundary before its range to the one after it, with the
    engine's rate as capacity; engines of one range and zone share an edge. At
    each boundary between layers where a range begins, each ordered pair of
    zones has an edge with the capacity of their link. So the graph grows with
    engines, boundaries and zones, not with pairs of engines.

    The bound assumes that each engine always runs its whole range, that
    positions can be split among engines in any proportion and may enter and
    leave in any zone, and that a link has its full capacity at each boundary.

    :param placement: engines with their ranges of layers, where ``last`` is
        exclusive; empty ranges are ignored.
    :param layers: number of layers of the model.
    :param links: positions per second from one zone to another; pairs not
        listed, and the links within a zone, are unlimited.
    :returns: 0 if no range begins with the first layer, or if no sequence of
        ranges covers all layers.
    """
    import networkx as nx  # imported late: only a planner needs it

    assignments = [
        assignment
        for assignment in placement
        if assignment.first < assignment.last
    ]
    graph = nx.DiGraph()
    for assignment in assignments:
        _add_capacity(
            graph,
            ('into', assignment.first, assignment.machine.zone),
            ('from', assignment.last, assignment.machine.zone),
            assignment.rate,
        )
    zones = {assignment.machine.zone for assignment in assignments}
    boundaries = {assignment.first for assignment in assignments} | {layers}
    for boundary in boundaries - {0, layers}:
        for pair in _list_pairs(zones):
            arrival = ('from', boundary, pair[0])
            graph.add_edge(
                arrival,
                ('into', boundary, pair[1]),
                **_link_attributes(pair, links),
            )
    for zone in zones:
        graph.add_edge('source', ('into', 0, zone))
        graph.add_edge(('from', layers, zone), 'sink')
    if not any(assignment.first == 0 for assignment in assignments):
        return 0
    return float(nx.maximum_flow_value(graph, 'source', 'sink'))


def _add_capacity(graph: Any, start: object, end: object, rate: float) -> None:
    """Add a rate to an edge, which engines of one range and zone share."""
    existing = graph.get_edge_data(start, end, {'capacity': 0})
    graph.add_edge(start, end, capacity=existing['capacity'] + rate)


def _list_pairs(zones: set[str]) -> list[Pair]:
    return [(start, end) for start in zones for end in zones]


def _link_attributes(
    pair: Pair, links: Mapping[Pair, float]
) -> dict[str, float]:
    """Return the edge attributes of a link.

    An edge without the attribute ``capacity`` is unlimited.
    """
    if pair[0] == pair[1] or pair not in links:
        return {}
    return {'capacity': links[pair]}
