"""Waits that count only time in which this process runs."""

import asyncio
import math
from itertools import repeat

STEP_SECONDS = 0.005
"""Length of a step.

A pause of this process ends one step only. What arrived in it is read before
the next one ends.
"""


async def run_for(seconds: float) -> None:
    """Wait for some seconds, step by step."""
    for _ in repeat(None, math.ceil(seconds / STEP_SECONDS)):
        await asyncio.sleep(STEP_SECONDS)
