"""Places that a node asks for or holds."""

from collections.abc import Container, Iterable
from dataclasses import dataclass

from ryelatch_core.admission import ReservationRequest
from ryelatch_node.reservations._channel import Channel
from ryelatch_node.reservations._controllers import ZoneKey
from ryelatch_node.reservations._frames import Restore, make_terms


@dataclass(eq=False)
class HeldPlace:
    """A place that this node asks for or holds.

    :param number: of the request at this node.
    :param path: names of the replicas; empty until it was sent on a path.
    :param channel: the way to the controller that knows of it, if any.
    """

    number: int
    key: ZoneKey
    request: ReservationRequest
    path: tuple[str, ...] = ()
    channel: Channel | None = None

    def restore(self, channel: Channel, now: float) -> None:
        """Report a request in progress over a channel.

        :param now: monotonic seconds.
        """
        self.channel = channel
        terms = make_terms(self.request, now)
        channel.send(Restore(self.number, terms, self.path))


def holds_places(held: Iterable[HeldPlace], key: ZoneKey) -> bool:
    """Whether any place is one of a zone."""
    return any(place.key == key for place in held)


def awaits_reply(
    channel: Channel, held: Iterable[HeldPlace], pending: Container[int]
) -> bool:
    """Whether requests wait for a reply over a channel.

    :param pending: numbers of the requests that wait for any reply.
    """
    return any(
        place.channel is channel and place.number in pending for place in held
    )
