"""Commands that call the nodes: status, upstreams, timeline, drain."""

import itertools
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import msgspec

from ryelatch_cli._context import Context
from ryelatch_cli._nodes import call_nodes
from ryelatch_cli._output import CommandError, ExitCode, print_rows
from ryelatch_core.events import Event, merge_events
from ryelatch_core.settings import hash_key

_MILLISECONDS_PER_SECOND = 1000


@cappa.command(help='Show each node, its revision and what it does.')
@dataclass(frozen=True)
class Status:
    """The command ``ryelatch status``."""

    async def run(self, context: Context) -> None:
        """Print one row per node."""
        answers = await call_all_nodes(context, 'status')
        rows = [
            {
                'node': answer['node'],
                'zone': answer['zone'],
                'state': 'draining' if answer['draining'] else 'ready',
                'revision': answer['revision'],
                'confirmed': answer['confirmed'],
                'answers': answer['answers'],
                'peers': len(answer['peers']),
                'url': url,
            }
            for url, answer in answers.items()
        ]
        print_rows(rows, context.output)


@cappa.command(
    name='upstreams', help='Show the upstreams as each node sees them.'
)
@dataclass(frozen=True)
class UpstreamsCommand:
    """The command ``ryelatch upstreams``."""

    async def run(self, context: Context) -> None:
        """Print one row per node and upstream."""
        answers = await call_all_nodes(context, 'status')
        rows = [
            {
                'node': answer['node'],
                'upstream': upstream['name'],
                'role': upstream['role'],
                'zone': upstream['zone'],
                'layers': upstream.get('layers', ''),
                'connected': upstream['connected'],
                'leaving': upstream['leaving'],
            }
            for answer in answers.values()
            for upstream in answer['upstreams']
        ]
        print_rows(rows, context.output)


@cappa.command(
    name='timeline',
    help='Merge the events of all nodes into one line of time, such as: '
    'ryelatch timeline --request node-a-1f-3',
)
@dataclass(frozen=True)
class TimelineCommand:
    """The command ``ryelatch timeline``."""

    request: Annotated[
        str, cappa.Arg(long=True, help='only events of this request')
    ] = ''
    account: Annotated[
        str, cappa.Arg(long=True, help='only events of this client account')
    ] = ''
    upstream: Annotated[
        str, cappa.Arg(long=True, help='only events of this upstream')
    ] = ''

    async def run(self, context: Context) -> None:
        """Print the events of all nodes in order of time."""
        filters = {
            name: text
            for name, text in (
                ('request', self.request),
                ('account', self.account),
                ('upstream', self.upstream),
            )
            if text
        }
        query = '&'.join(f'{name}={text}' for name, text in filters.items())
        answers = await call_all_nodes(context, f'timeline?{query}')
        events = merge_events(
            msgspec.convert(answer, list[Event]) for answer in answers.values()
        )
        start = events[0].stamp.wall if events else 0
        print_rows(
            [_render_event(event, start) for event in events], context.output
        )


@cappa.command(help='Begin the planned stop of one node.')
@dataclass(frozen=True)
class Drain:
    """The command ``ryelatch drain``."""

    url: Annotated[str, cappa.Arg(help='base URL of the node')]

    async def run(self, context: Context) -> None:
        """Request that the node drains.

        :raises CommandError: if it does not answer or refuses.
        """
        answers = await call_nodes(
            [self.url], context.operator_key, 'drain', 'POST'
        )
        rows = [
            {'node': url, 'answer': answer} for url, answer in answers.items()
        ]
        print_rows(rows, context.output)
        if not isinstance(answers[self.url], dict):
            raise CommandError(
                'the node did not accept the drain', ExitCode.REFUSED
            )


@cappa.command(help='Print the hash of a key, as settings hold it.')
@dataclass(frozen=True)
class HashKey:
    """The command ``ryelatch hash-key``."""

    key: Annotated[str, cappa.Arg(help='the key that the client will send')]

    async def run(self, context: Context) -> None:
        """Print the hash."""
        print_rows([{'hash': hash_key(self.key)}], context.output)


async def call_all_nodes(context: Context, path: str) -> dict[str, Any]:
    """Call an admin endpoint of all nodes, and leave out those that fail.

    :returns: the JSON of each node that answers, by its base URL.
    :raises CommandError: if no node answers.
    """
    if not context.nodes:
        raise CommandError(
            'no nodes: give --nodes or RYELATCH_NODES', ExitCode.USAGE
        )
    answers = await call_nodes(context.nodes, context.operator_key, path)
    successful = {
        url: answer
        for url, answer in answers.items()
        if not isinstance(answer, str)
    }
    if not successful:
        errors = '\n'.join(itertools.starmap('{}: {}'.format, answers.items()))
        raise CommandError(f'no node answers:\n{errors}', ExitCode.REFUSED)
    return successful


def _render_event(event: Event, start: int) -> dict[str, str]:
    detail = ' '.join(f'{name}={text}' for name, text in event.detail.items())
    seconds = (event.stamp.wall - start) / _MILLISECONDS_PER_SECOND
    return {
        'seconds': f'{seconds:9.3f}',
        'process': event.process,
        'event': f'RL{event.number} {event.name}',
        'detail': detail,
    }
