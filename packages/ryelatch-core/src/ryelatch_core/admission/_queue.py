"""Orders the requests that wait for a place.

More urgent requests go first, then those of the client accounts that have
least in progress, then those whose clients were refused before and have no
further try. Serving the account with least first shares the places equally
among the accounts that want more, and an account alone may use all of them.

A client that was refused before also goes before newer ones of accounts that
have somewhat less in progress, but not before those of much smaller accounts:
most of the clients that come back in a surge are those of the account that
caused it.

The least urgent are not starved: one in ``FLOOR_INTERVAL`` places goes to the
request that has waited longest, whatever its priority.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from ryelatch_core.admission._reservation import ReservationRequest

FLOOR_INTERVAL = 8
"""Places of which one goes to the request that has waited longest."""

RETRIED_FRACTION = 0.5
"""Fraction of its account's tokens that counts for a client refused before."""


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a place.

    :param since: when it began to wait, in monotonic seconds.
    """

    request: ReservationRequest
    since: float


@dataclass(eq=False)
class AdmissionQueue:
    """Requests that wait for a place, in the order in which they get one."""

    _waiting: dict[str, WaitingRequest] = field(default_factory=dict)
    _overtaken: int = 0

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self._waiting)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate over the waiting requests in the order of their arrival."""
        return iter(self._waiting.values())

    def __contains__(self, identity: str) -> bool:
        """Return whether a request waits."""
        return identity in self._waiting

    def add(self, request: ReservationRequest, now: float) -> None:
        """Add a request; one that waits already keeps its turn."""
        waiting = self._waiting.get(request.identity)
        since = now if waiting is None else waiting.since
        self._waiting[request.identity] = WaitingRequest(request, since)

    def remove(self, identity: str) -> WaitingRequest | None:
        """Remove a request; ``None`` if it doesn't wait."""
        return self._waiting.pop(identity, None)

    def choose_first(
        self, account_tokens: Mapping[str, float]
    ) -> ReservationRequest:
        """Return the waiting request that goes first.

        :param account_tokens: tokens in progress by client account.
        """
        if self._is_floor_due():
            return next(iter(self._waiting.values())).request
        order = _build_order(account_tokens)
        return min(self._waiting.values(), key=order).request

    def sort(self, account_tokens: Mapping[str, float]) -> list[WaitingRequest]:
        """List the waiting requests, the one that goes first at the front.

        :param account_tokens: tokens in progress by client account.
        """
        order = _build_order(account_tokens)
        ordered = sorted(self._waiting.values(), key=order)
        if ordered and self._is_floor_due():
            longest = next(iter(self._waiting.values()))
            ordered.remove(longest)
            ordered.insert(0, longest)
        return ordered

    def find_position(
        self, identity: str, account_tokens: Mapping[str, float]
    ) -> int:
        """Return the position of a waiting request, from 1; last among equals.

        :param account_tokens: tokens in progress by client account.
        """
        order = _build_order(account_tokens)
        own = order(self._waiting[identity])
        return sum(order(waiting) <= own for waiting in self._waiting.values())

    def blocks(
        self,
        request: ReservationRequest,
        account_tokens: Mapping[str, float],
    ) -> bool:
        """Return whether a waiting request goes before one that doesn't wait.

        :param account_tokens: tokens in progress by client account.
        """
        if self._waiting and self._is_floor_due():
            return True
        rank = _rank(request, account_tokens)
        return any(
            _rank(waiting.request, account_tokens) <= rank
            for waiting in self._waiting.values()
        )

    def record_grant(self, request: ReservationRequest) -> None:
        """Record that a request got a place.

        It counts as overtaking if a less urgent one waits.
        """
        overtakes = any(
            waiting.request.priority > request.priority
            for waiting in self._waiting.values()
        )
        self._overtaken = self._overtaken + 1 if overtakes else 0

    def _is_floor_due(self) -> bool:
        return self._overtaken >= FLOOR_INTERVAL - 1


def _rank(
    request: ReservationRequest, account_tokens: Mapping[str, float]
) -> tuple[int, float, bool]:
    used = account_tokens.get(request.account, 0)
    if request.retried:
        return (request.priority, used * RETRIED_FRACTION, False)
    return (request.priority, used, True)


def _build_order(
    account_tokens: Mapping[str, float],
) -> Callable[[WaitingRequest], tuple[tuple[int, float, bool], float]]:
    """Build the key by which waiting requests are sorted."""
    return lambda waiting: (
        _rank(waiting.request, account_tokens),
        waiting.since,
    )
