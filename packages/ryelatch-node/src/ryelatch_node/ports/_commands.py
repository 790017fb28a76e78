"""Interface for commands to replicas, and for their reports."""

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ryelatch_core.fleet import LayerRange, Replica, Stage


class CommandResult(enum.Enum):
    """Result of a command to a replica."""

    BEGUN = 'begun'
    HELD = 'held'
    """The replica is already in the requested state."""

    CONFLICT = 'conflict'
    """The replica is in another state than expected."""

    FENCED = 'fenced'
    """Another node has sent commands with a higher fencing number."""

    MISSING = 'missing'
    """The address belongs to another replica, or the request is finished."""

    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    """The replica may still execute the command, even seconds later."""


@dataclass(frozen=True, slots=True)
class LoadedLayers:
    """Layers that an engine has loaded, by its own report.

    :param layers: nothing if it has none.
    :param started_at: start of its current incarnation in milliseconds; 0 if
        not reported.
    """

    layers: LayerRange | None
    started_at: int = 0


@dataclass(frozen=True, slots=True)
class Report:
    """State that an engine reports; some hundred milliseconds old.

    :param sequence: number of commands that it has begun since its start.
    :param busy: whether it is executing a command.
    :param used: fraction of its request memory in use.
    :param stalled: addresses of replicas that its requests wait for, by the
        identity of the request.
    :param loaded: nothing if it doesn't report its layers.
    :param step_factor: step-time factor, relative to the normal duration of
        passes on its kind of accelerator.
    """

    sequence: int
    busy: bool
    used: float
    stalled: dict[str, str]
    loaded: LoadedLayers | None = None
    step_factor: float = 1


@dataclass(frozen=True, slots=True)
class MoveResult:
    """Result of a command to move a request to another path.

    :param fault: address of the replica that caused a refusal, if it is
        named.
    """

    result: CommandResult
    fault: str = ''


class Reachability(enum.Enum):
    """Whether something listens at a replica's address."""

    LISTENS = 'listens'
    REFUSED = 'refused'
    """Connections are refused, so the replica's process has crashed."""

    UNKNOWN = 'unknown'
    """There was no response; the network path may be broken."""


class Presence(enum.Enum):
    """Whether an incarnation of a replica still runs, as it says itself."""

    RUNNING = 'running'
    ANSWERS = 'answers'
    """An incarnation answers under its entry, and doesn't tell which one."""

    RESTARTED = 'restarted'
    """Another incarnation than the listed one answers under its entry."""

    GONE = 'gone'
    """Connections are refused, or another replica answers."""

    UNKNOWN = 'unknown'
    """There was no answer in time."""


@dataclass(frozen=True)
class ReplicaCommands:
    """Calls to replicas."""

    place: Callable[[Replica, LayerRange, int, int], Awaitable[CommandResult]]
    """Load layers: replica, layers, fencing number, expected sequence."""

    move: Callable[[Replica, str, tuple[Stage, ...]], Awaitable[MoveResult]]
    """Move a request: first replica, identity of the request, new path."""

    read_report: Callable[[Replica], Awaitable[Report | None]]

    reach: Callable[[Replica], Awaitable[Reachability]]
    """Open a connection and close it without sending a request."""

    hold_connection: Callable[
        [Replica, Callable[[], Awaitable[None]]], Awaitable[bool]
    ]
    """Open a connection, and tell whether it is open after a function returns.

    A firewall or a lost route may reset connections that were established.
    """

    confirm: Callable[[Replica, str], Awaitable[Presence]]
    """Ask a replica whether it still runs: replica, path of health checks."""
