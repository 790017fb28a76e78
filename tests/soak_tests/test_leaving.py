"""Tests of the clients of a soak that leave early."""

import asyncio
import random
from typing import Any
from unittest.mock import Mock

from soak.leaving import Leavers

_LIMIT_SECONDS = 5
"""Time after which a stop that hangs is cancelled."""


def _make_send() -> Mock:
    """Make a request that takes its first cancellation for a timeout."""
    losing = set()

    async def send(*arguments: Any, **options: Any) -> None:
        task = asyncio.current_task()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if task in losing:
                raise
            losing.add(task)

    return Mock(side_effect=send)


async def test_leavers_end_if_cancellation_is_lost() -> None:
    """A client goes on without end, and the soak with it."""
    clients = Mock(send=_make_send())
    leavers = Leavers(Mock(nodes=['n']), clients, random.Random(1))
    leavers.start()
    await asyncio.sleep(0)
    async with asyncio.timeout(_LIMIT_SECONDS):
        await leavers.stop()
