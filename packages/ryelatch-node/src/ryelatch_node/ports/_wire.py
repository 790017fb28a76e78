"""Metadata of requests and answers, independent of header names."""

from collections.abc import Callable
from dataclasses import dataclass

from ryelatch_core.fleet import Stage

Headers = list[tuple[bytes, bytes]]
"""Raw headers, with names in lower case."""


MAX_PARTS = 32
"""Shared parts of a prompt that are considered, from its start."""


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata that a client sends with its request.

    :param identity: identity of this attempt of the client.
    :param deadline: seconds that the client waits, if given.
    :param key: key of its client account; empty if not given.
    :param prompt: number of tokens of the prompt.
    :param answer: maximum number of tokens of the answer.
    :param hint: the client's estimate of the tokens of the answer.
    :param last_event: number of the last event of the stream that the client
        has received.
    :param parts: hashes of the parts of its prompt that other requests may
        share, in order.
    """

    identity: str
    deadline: float | None
    key: str
    prompt: int = 0
    answer: int = 0
    hint: int | None = None
    last_event: int | None = None
    parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Metadata that a node adds to a request for the upstream.

    :param replica: registry entry of the replica that shall answer.
    :param deadline: remaining seconds.
    :param account: name of the client account; empty for anonymous routes.
    :param path: stages of the path; empty for non-model services.
    :param last_event: number of the last event delivered to the client.
    :param priority: rank in the upstream's queue, 0 first; ``None`` if the
        requests of the service aren't ranked.
    """

    replica: str
    deadline: float
    account: str
    path: tuple[Stage, ...] = ()
    last_event: int | None = None
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """Metadata that an upstream sends with its answer.

    :param identity: identity of the request; empty if not given.
    :param signed: whether the answer has the signature of a replica.
    :param not_run: whether the request is certain not to have run.
    :param fault: address of the replica that caused a refusal.
    :param encoded: whether the body has a content encoding, so that it isn't
        as the replica wrote it.
    :param entry: registry entry of the replica that answers, if given.
    :param limit: rate limit of the replica for all nodes together, in
        requests per second; nothing if not given, NaN if unreadable.
    :param backoff: seconds for which a replica that refused the request
        accepts none from this node; nothing or NaN as for ``limit``.
    :param leaving: whether the replica reports that it will stop.
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
    """Functions that convert between headers and metadata."""

    read_request: Callable[[Headers], RequestMetadata]
    write_request: Callable[[Headers, Dispatch], list[tuple[str, str]]]
    read_answer: Callable[[int, Headers], AnswerMetadata]
