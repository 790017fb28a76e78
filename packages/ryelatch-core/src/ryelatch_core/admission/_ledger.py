"""Records the places that requests of all nodes occupy at replicas."""

from collections import Counter
from dataclasses import dataclass, field, replace

from ryelatch_core.admission._reservation import ReservationRequest

UNPLACED_SECONDS = 0.3
"""Time for which a place is held until its node has chosen a path.

A node chooses within milliseconds; one that was lost meanwhile never does.
"""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room that a request occupies.

    :param path: names of the replicas of its path, in order; empty until the
        path is chosen.
    :param until: when it ends unless it is removed before, in monotonic
        seconds.
    :param begun: whether its first event has arrived.
    """

    request: ReservationRequest
    path: tuple[str, ...]
    until: float
    begun: bool = False


@dataclass(eq=False)
class ReservationLedger:
    """Reservations by request, and their sums.

    :param tokens: reserved tokens by name of the replica.
    :param requests: reservations by name of the replica.
    :param entries: reservations by name of the first replica of their path.
    :param pending: those of them without a first event.
    :param account_tokens: reserved tokens by client account.
    :param unplaced: number of reservations without a path, which may go to
        any replica.
    :param unplaced_tokens: their tokens.
    """

    tokens: Counter[str] = field(default_factory=Counter)
    requests: Counter[str] = field(default_factory=Counter)
    entries: Counter[str] = field(default_factory=Counter)
    pending: Counter[str] = field(default_factory=Counter)
    account_tokens: Counter[str] = field(default_factory=Counter)
    unplaced: int = 0
    unplaced_tokens: int = 0
    _reservations: dict[str, Reservation] = field(default_factory=dict)
    _lapsed: dict[str, ReservationRequest] = field(default_factory=dict)

    def __len__(self) -> int:
        """Count the reservations."""
        return len(self._reservations)

    def __contains__(self, identity: str) -> bool:
        """Return whether a request has a reservation."""
        return identity in self._reservations

    def is_unplaced(self, identity: str) -> bool:
        """Return whether a request has a reservation without a path."""
        reservation = self._reservations.get(identity)
        return reservation is not None and not reservation.path

    def add(
        self, request: ReservationRequest, path: tuple[str, ...], now: float
    ) -> None:
        """Reserve room for a request; replaces its reservation, if any.

        :param path: names of the replicas; empty if not chosen yet.
        """
        self.remove(request.identity)
        until = request.expires if path else now + UNPLACED_SECONDS
        self._reservations[request.identity] = Reservation(request, path, until)
        self._count(request, path, 1)
        if path:
            _add(self.pending, path[0], 1)

    def place(self, identity: str, path: tuple[str, ...], now: float) -> None:
        """Record the path of a request that has a reservation, or had one.

        A node that was slow has sent its request although the place lapsed.
        """
        reservation = self._reservations.get(identity)
        request = reservation.request if reservation else None
        request = request or self._lapsed.get(identity)
        if request is None:
            return
        self.add(request, path, now)
        if reservation and reservation.begun and reservation.path[0] == path[0]:
            self.begin(identity)

    def begin(self, identity: str) -> None:
        """Record that the first event of a request has arrived."""
        reservation = self._reservations.get(identity)
        if reservation and reservation.path and not reservation.begun:
            self._reservations[identity] = replace(reservation, begun=True)
            _add(self.pending, reservation.path[0], -1)

    def remove(self, identity: str) -> Reservation | None:
        """Remove a reservation.

        :returns: the reservation; ``None`` if there was none.
        """
        self._lapsed.pop(identity, None)
        reservation = self._reservations.pop(identity, None)
        if reservation is None:
            return None
        self._count(reservation.request, reservation.path, -1)
        if reservation.path and not reservation.begun:
            _add(self.pending, reservation.path[0], -1)
        return reservation

    def find(self, identity: str) -> Reservation | None:
        """Find the reservation of a request."""
        return self._reservations.get(identity)

    def read_unplaced(self, identity: str) -> int:
        """Return the tokens held for a request whose path isn't chosen yet."""
        reservation = self._reservations.get(identity)
        if reservation is None or reservation.path:
            return 0
        return reservation.request.tokens

    def expire(self, now: float) -> int:
        """Remove the reservations that have ended by themselves.

        :returns: their number.
        """
        expired = [
            reservation
            for reservation in self._reservations.values()
            if reservation.until <= now
        ]
        for reservation in expired:
            self.remove(reservation.request.identity)
        self._lapsed = {
            identity: request
            for identity, request in self._lapsed.items()
            if request.expires > now
        }
        self._lapsed.update(
            (reservation.request.identity, reservation.request)
            for reservation in expired
            if not reservation.path
        )
        return len(expired)

    def _count(
        self, request: ReservationRequest, path: tuple[str, ...], sign: int
    ) -> None:
        tokens = sign * request.tokens
        _add(self.account_tokens, request.account, tokens)
        if not path:
            self.unplaced += sign
            self.unplaced_tokens += tokens
            return
        _add(self.entries, path[0], sign)
        for name in path:
            _add(self.tokens, name, tokens)
            _add(self.requests, name, sign)


def _add(counter: Counter[str], key: str, number: int) -> None:
    """Add to a count, and drop the key if the count is zero."""
    counter[key] += number
    if not counter[key]:
        del counter[key]
