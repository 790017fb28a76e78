"""Options common to all commands: platform, nodes and keys."""

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

from ryelatch_cli._output import CommandError, ExitCode, Output
from ryelatch_core.settings import Platform
from ryelatch_node.store import Store, open_store


@dataclass(frozen=True)
class Context:
    """Addresses and credentials that a command uses.

    :param nodes: base URLs of the nodes.
    :param output: format in which results are printed.
    """

    platform_url: str
    platform_token: str
    nodes: list[str]
    operator_key: str
    output: Output


@contextlib.asynccontextmanager
async def use_store(context: Context) -> AsyncIterator[Store]:
    """Open the platform's object store while a command runs.

    :raises CommandError: if no URL of the platform is given.
    """
    if not context.platform_url:
        raise CommandError(
            'no platform: give --platform-url or RYELATCH_PLATFORM_URL',
            ExitCode.USAGE,
        )
    store = open_store(Platform(context.platform_url, context.platform_token))
    try:
        yield store
    finally:
        await store.close()
