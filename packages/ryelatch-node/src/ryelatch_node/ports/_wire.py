"""The terms of requests and answers, whatever headers carry them."""

from collections.abc import Callable
from dataclasses import dataclass

from ryelatch_core.fleet import Stage

Headers = list[tuple[bytes, bytes]]
"""Raw headers, with names in lower case."""


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a client says of its request.

    :param identity: of this attempt of the client.
    :param deadline: seconds that the client waits, if it says so.
    :param key: of its account; empty if it gave none.
    :param prompt: tokens of the prompt.
    :param answer: most tokens of the answer.
    :param hint: the client's guess of the tokens of the answer.
    :param last_event: number of the last event that it has of a stream.
    """

    identity: str
    deadline: float | None
    key: str
    prompt: int = 0
    answer: int = 0
    hint: int | None = None
    last_event: int | None = None


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What a node adds for the upstream.

    :param replica: entry of the replica that is meant.
    :param deadline: seconds left.
    :param account: name of the client account; empty for anonymous routes.
    :param path: the stages, for engines.
    :param last_event: number of the last event delivered.
    """

    replica: str
    deadline: float
    account: str
    path: tuple[Stage, ...] = ()
    last_event: int | None = None


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """What an upstream says of its answer.

    :param identity: of the request that it answers; empty if not said.
    :param signed: whether a replica vouches for it.
    :param not_run: whether the request is certain not to have run.
    :param fault: address of the replica that caused a refusal.
    :param encoded: whether the body isn't as the replica wrote it.
    :param entry: the registry's name of the replica that answers, if said.
    :param limit: requests a second that the replica takes from all nodes
        together; nothing if it names no limit, not a number if it can't be
        read.
    :param rest: seconds for which a replica that turned the request away
        wants nothing from this node; nothing or not a number as for a limit.
    :param leaving: whether the replica says that it will stop.
    """

    identity: str
    signed: bool
    not_run: bool
    fault: str
    encoded: bool
    entry: str = ''
    limit: float | None = None
    backoff: float | None = None
    leaving: bool = False


@dataclass(frozen=True)
class HeaderCodec:
    """Functions between headers and terms."""

    read_request: Callable[[Headers], RequestMetadata]
    write_request: Callable[[Headers, Dispatch], list[tuple[str, str]]]
    read_answer: Callable[[int, Headers], AnswerMetadata]
