"""Helpers for tasks that run as long as their service."""

import asyncio
import contextlib


async def cancel_task(task: 'asyncio.Task[None] | None') -> None:
    """Cancel a task, if there is one, and wait until it has finished."""
    if task is not None:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
