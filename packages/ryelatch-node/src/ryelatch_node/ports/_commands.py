"""Orders to engines, and their reports."""

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ryelatch_core.fleet import LayerRange, Replica, Stage


class CommandResult(enum.Enum):
    """What became of an order."""

    BEGUN = 'begun'
    HELD = 'held'
    """The state that was ordered is there already."""

    CONFLICT = 'conflict'
    """The replica is in another state than expected."""

    FENCED = 'fenced'
    """Another node has given orders under a higher fencing number."""

    MISSING = 'missing'
    """The address belongs to another replica, or the request has ended."""

    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    """It may be carried out, now or seconds later."""


@dataclass(frozen=True, slots=True)
class LoadedLayers:
    """What an engine says that it holds.

    :param started_at: when this life of it began, in milliseconds; 0 if not said.
    """

    layers: LayerRange | None
    started_at: int = 0


@dataclass(frozen=True, slots=True)
class Report:
    """An engine's state, as of some hundred milliseconds ago.

    :param sequence: orders that it has begun since its start.
    :param busy: whether it carries one out.
    :param used: share of its request memory that is taken.
    :param stalled: addresses of replicas that its requests wait for, by the
        identity of the request.
    :param loaded: nothing if it does not say what it holds.
    :param step_factor: factor by which its passes take longer than those of its
        kind of accelerator.
    """

    sequence: int
    busy: bool
    used: float
    stalled: dict[str, str]
    loaded: LoadedLayers | None = None
    step_factor: float = 1


@dataclass(frozen=True, slots=True)
class MoveResult:
    """What became of an order to move a request.

    :param fault: address of the replica that a refusal names, if any.
    """

    result: CommandResult
    fault: str = ''


class Reachability(enum.Enum):
    """Whether something listens at a replica's address."""

    LISTENS = 'listens'
    REFUSED = 'refused'
    """Nothing does: the process that did has ended."""

    UNKNOWN = 'unknown'
    """No word came; the way there may be cut."""


@dataclass(frozen=True)
class ReplicaCommands:
    """Calls to engines."""

    place: Callable[[Replica, LayerRange, int, int], Awaitable[CommandResult]]
    """Replica, layers, fencing number, expected sequence."""

    move: Callable[[Replica, str, tuple[Stage, ...]], Awaitable[MoveResult]]
    """First replica, identity of the request, its new path."""

    read_report: Callable[[Replica], Awaitable[Report | None]]

    reach: Callable[[Replica], Awaitable[Reachability]]
    """Opens a connection and closes it; nothing is asked."""
