"""Waits for the replies of controllers."""

import asyncio
from dataclasses import dataclass

from ryelatch_node.reservations._frames import AnyReply

REPLY_SECONDS = 0.15
"""Longest wait for a connection, a reply, or beyond the time for a place.

Within a region a reply takes a millisecond. Without one, the request is served
as if there were no controllers.
"""

_READING_STEPS = 2
"""Steps of the loop in which data that has arrived is read and handled."""


@dataclass(eq=False)
class PendingReply:
    """A question that waits for its reply.

    :param reply: ``None`` if the controller was lost.
    :param until: end of the wait if no reply comes, in seconds of the loop.
    :param expires: when a place is of no use any more, in monotonic seconds.
    """

    reply: 'asyncio.Future[AnyReply | None]'
    until: float
    expires: float

    def extend(self, now: float) -> None:
        """Wait as long as a place is of use, as the request is in a queue.

        :param now: monotonic seconds.
        """
        left = max(0, self.expires - now)
        self.until = asyncio.get_running_loop().time() + left + REPLY_SECONDS

    async def wait(self) -> None:
        """Wait until a reply has come, or its time is over.

        A reply that came while this process had no processor time is read
        first, as the controller isn't to blame for that.
        """
        loop = asyncio.get_running_loop()
        while not self.reply.done():
            left = max(0, self.until - loop.time())
            await asyncio.wait({self.reply}, timeout=left)
            if self.reply.done():
                return
            for _ in range(_READING_STEPS):
                await asyncio.sleep(0)
            if loop.time() >= self.until:
                return


def make_pending_reply(expires: float) -> PendingReply:
    """Begin to wait for a reply.

    :param expires: when a place is of no use any more, in monotonic seconds.
    """
    loop = asyncio.get_running_loop()
    return PendingReply(
        loop.create_future(), loop.time() + REPLY_SECONDS, expires
    )
