"""Entry point of the program ``ryelatch``."""

import asyncio
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from ryelatch_cli._context import Context
from ryelatch_cli._costs import Costs
from ryelatch_cli._explain import Explain
from ryelatch_cli._fleet import (
    Drain,
    HashKey,
    Status,
    TimelineCommand,
    UpstreamsCommand,
)
from ryelatch_cli._output import CommandError, ExitCode, Output
from ryelatch_cli._settings import SettingsCommand

_DESCRIPTION = """
Examples:

    ryelatch settings check examples/saigon.yaml

    ryelatch settings apply examples/saigon.yaml -m 'first settings'

    ryelatch timeline --request node-a-1f-3

    ryelatch explain 9c41d07be2a35f68 node-a.log node-b.log

    ryelatch costs node-a.log node-b.log

Exit codes: 0 done; 1 refused, and nothing changed; 2 wrong usage; 3 the
platform does not answer; 4 accepted, and not in force on all nodes yet.
"""


@cappa.command(
    name='ryelatch',
    help='Operate the ryelatch router.',
    description=_DESCRIPTION,
)
@dataclass(frozen=True)
class Main:
    """Arguments of ``ryelatch``."""

    command: cappa.Subcommands[
        SettingsCommand
        | Status
        | UpstreamsCommand
        | TimelineCommand
        | Drain
        | Explain
        | Costs
        | HashKey
    ]
    platform_url: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('RYELATCH_PLATFORM_URL', default=''),
            help='object API of the platform',
        ),
    ] = ''
    platform_token: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('RYELATCH_PLATFORM_TOKEN', default=''),
            help='token for the platform',
        ),
    ] = ''
    nodes: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('RYELATCH_NODES', default=''),
            help='base URLs of the nodes, with commas between',
        ),
    ] = ''
    operator_key: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('RYELATCH_OPERATOR_KEY', default=''),
            help='key of the operator',
        ),
    ] = ''
    output: Annotated[
        Output, cappa.Arg(long=True, help='how results are printed')
    ] = Output.TABLE


def run() -> None:
    """Parse the arguments, run the command and exit the process if it fails.

    An interrupt from the keyboard exits with the code of a refusal, although
    the command may have sent a change before the interrupt.
    """
    arguments = cappa.parse(Main)
    context = Context(
        arguments.platform_url,
        arguments.platform_token,
        [url for url in arguments.nodes.split(',') if url],
        arguments.operator_key,
        arguments.output,
    )
    try:
        asyncio.run(arguments.command.run(context))
    except CommandError as error:
        sys.stderr.write(f'ryelatch: {error}\n')
        sys.exit(error.code)
    except KeyboardInterrupt:
        sys.exit(ExitCode.REFUSED)
