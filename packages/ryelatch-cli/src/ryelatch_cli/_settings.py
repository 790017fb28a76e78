"""The commands below ``ryelatch settings``."""

import difflib
import getpass
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal, TypeVar

import cappa

from ryelatch_cli import _acceptance as acceptance
from ryelatch_cli._context import Context, use_store
from ryelatch_cli._nodes import wait_in_force
from ryelatch_cli._output import (
    CommandError,
    ExitCode,
    print_rows,
    print_text,
)
from ryelatch_core.settings import (
    Conflict,
    Index,
    Settings,
    Startup,
    build_schema,
    check_text,
    explain_policy,
    find_base_revision,
    render_text,
)
from ryelatch_node.store import Store

_File = Annotated[Path, cappa.Arg(help='YAML file with the settings tree')]
_Root = TypeVar('_Root')
_HISTORY_COUNT = 20
_IN_FORCE_SECONDS = 9.0


@cappa.command(help='Find every mistake in a file, without any call.')
@dataclass(frozen=True)
class Check:
    """The command ``ryelatch settings check``."""

    file: _File
    startup: Annotated[
        bool,
        cappa.Arg(long=True, help='the file is the start-up file of a node'),
    ] = False

    async def run(self, context: Context) -> None:
        """Check the file.

        :raises CommandError: with every mistake in it.
        """
        read_file(self.file, Startup if self.startup else Settings)
        print_text(f'{self.file}: no mistakes')


@cappa.command(help='Show what applying a file would change.')
@dataclass(frozen=True)
class Diff:
    """The command ``ryelatch settings diff``."""

    file: _File

    async def run(self, context: Context) -> None:
        """Compare the file with the newest revision."""
        edited = read_file(self.file, Settings)
        async with use_store(context) as store:
            newest, theirs = await read_newest(store)
        lines = difflib.unified_diff(
            render_text(theirs, newest.revision).splitlines()[1:],
            render_text(edited, newest.revision).splitlines()[1:],
            f'revision {newest.revision}',
            str(self.file),
            lineterm='',
        )
        print_text('\n'.join(lines) or 'no difference')


@cappa.command(
    help='Have a file accepted as the next revision, then wait until all '
    'nodes named have it in force. A file printed by `show` names the '
    'revision it came from: if others changed the same parts since, it is '
    'refused and nothing changes.'
)
@dataclass(frozen=True)
class Apply:
    """The command ``ryelatch settings apply``."""

    file: _File
    message: Annotated[
        str, cappa.Arg(short='-m', long=True, help='why, for the history')
    ] = ''
    base: Annotated[
        int | None, cappa.Arg(long=True, help='the revision that was edited')
    ] = None
    wait: Annotated[
        float, cappa.Arg(long=True, help='seconds to wait for the nodes')
    ] = _IN_FORCE_SECONDS

    async def run(self, context: Context) -> None:
        """Have the file accepted, and wait until it is in force.

        :raises CommandError: if it is not accepted, or not in force on all
            nodes in time.
        """
        settings = read_file(self.file, Settings)
        base = self.base
        if base is None:
            base = find_base_revision(self.file.read_text())
        edit = acceptance.Edit(settings, base, getpass.getuser(), self.message)
        async with use_store(context) as store:
            accepted = await acceptance.accept(store, edit)
        if accepted.is_err():
            raise explain_refusal(accepted.unwrap_err())
        revision = accepted.unwrap().revision
        await self._report(context, revision)

    async def _report(self, context: Context, revision: int) -> None:
        found = await wait_in_force(
            context.nodes, context.operator_key, revision, self.wait
        )
        rows = [
            {
                'node': url,
                'revision': node_revision,
                'in_force': node_revision >= revision,
            }
            for url, node_revision in found.items()
        ]
        print_text(f'accepted as revision {revision}')
        print_rows(rows, context.output)
        if not all(row['in_force'] for row in rows):
            raise CommandError(
                f'revision {revision} is accepted, and not in force on all '
                'nodes yet',
                ExitCode.NOT_EVERYWHERE,
            )


@cappa.command(help='Print the newest revision, ready to be edited.')
@dataclass(frozen=True)
class Show:
    """The command ``ryelatch settings show``."""

    revision: Annotated[
        int | None, cappa.Arg(long=True, help='an older revision')
    ] = None

    async def run(self, context: Context) -> None:
        """Print the settings as YAML."""
        async with use_store(context) as store:
            newest, settings = await read_newest(store, self.revision)
        print_text(render_text(settings, newest.revision).rstrip())


@cappa.command(help='List revisions, the newest first.')
@dataclass(frozen=True)
class History:
    """The command ``ryelatch settings history``."""

    count: Annotated[int, cappa.Arg(long=True, help='how many')] = (
        _HISTORY_COUNT
    )

    async def run(self, context: Context) -> None:
        """Print one row per revision."""
        async with use_store(context) as store:
            newest, _ = await read_newest(store)
            found = await acceptance.list_history(store, newest, self.count)
        rows = [
            {
                'revision': index.revision,
                'time': round(index.time, 3),
                'author': index.author,
                'message': index.message,
                'mark': index.mark[:8],
            }
            for index in found
        ]
        print_rows(rows, context.output)


@cappa.command(
    help='Show where each value in force at a client account comes from, '
    'such as: ryelatch settings explain accounts/clinics/district-1'
)
@dataclass(frozen=True)
class Explain:
    """The command ``ryelatch settings explain``."""

    path: Annotated[str, cappa.Arg(help='path of the client account')]

    async def run(self, context: Context) -> None:
        """Print each field of the effective policy with its origin.

        :raises CommandError: if there is no such client account.
        """
        async with use_store(context) as store:
            _, settings = await read_newest(store)
        origins = explain_policy(settings, self.path)
        if origins is None:
            raise CommandError(
                f'there is no client account {self.path}', ExitCode.REFUSED
            )
        rows = [
            {
                'field': origin.field,
                'value': origin.setting,
                'from': origin.source,
            }
            for origin in origins
        ]
        print_rows(rows, context.output)


@cappa.command(help='Print the JSON Schema of a kind of file.')
@dataclass(frozen=True)
class Schema:
    """The command ``ryelatch settings schema``."""

    kind: Annotated[
        Literal['settings', 'startup'], cappa.Arg(help='which file')
    ] = 'settings'

    async def run(self, context: Context) -> None:
        """Print the schema."""
        root = Startup if self.kind == 'startup' else Settings
        print_text(json.dumps(build_schema(root), indent=2, sort_keys=True))


@cappa.command(name='settings', help='Check, change and explain settings.')
@dataclass(frozen=True)
class SettingsCommand:
    """The command ``ryelatch settings``."""

    command: cappa.Subcommands[
        Check | Diff | Apply | Show | History | Explain | Schema
    ]

    async def run(self, context: Context) -> None:
        """Run the chosen command."""
        await self.command.run(context)


def read_file(file: Path, kind: type[_Root]) -> _Root:
    """Read and check a file.

    :raises CommandError: with every mistake in it.
    """
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(str(error), ExitCode.USAGE) from error
    checked = check_text(text, str(file), kind)
    if checked.is_err():
        raise CommandError(str(checked.unwrap_err()), ExitCode.REFUSED)
    return checked.unwrap()


async def read_newest(
    store: Store,
    revision: int | None = None,
) -> tuple[Index, Settings]:
    """Read the newest revision, or an older one.

    :raises CommandError: if the store does not answer, or there is no such
        revision.
    """
    found = await acceptance.read_root(store)
    if found.is_err():
        raise explain_refusal(found.unwrap_err())
    index: Index | None = found.unwrap().index
    if index is not None and revision is not None:
        index = await acceptance.find_revision(store, index, revision)
    if index is None:
        raise CommandError(f'there is no revision {revision}', ExitCode.REFUSED)
    settings = await acceptance.read_settings(store, index)
    if settings is None:
        raise explain_refusal(acceptance.StoreUnavailable())
    return index, settings


def explain_refusal(refusal: acceptance.Refusal) -> CommandError:
    """Make the error that reports why an edit was refused, and what to do."""
    match refusal:
        case Conflict(parts, theirs):
            changed = '\n'.join(f'  {part}' for part in parts)
            return CommandError(
                f'not accepted: revision {theirs.revision} by '
                f'{theirs.author or "unknown"} changed the same parts:\n'
                f'{changed}\nYour file is as it was. See `ryelatch settings '
                'diff FILE`, edit it, and apply it with '
                f'--base {theirs.revision}.',
                ExitCode.REFUSED,
            )
        case acceptance.UnknownBase(revision):
            return CommandError(
                f'not accepted: there is no revision {revision} to start from',
                ExitCode.REFUSED,
            )
        case acceptance.StoreUnavailable(mark):
            text = 'the platform does not answer'
            if mark:
                text = (
                    f'{text}; whether the edit was accepted is not known. '
                    f'Look for mark {mark[:8]} in `ryelatch settings history` '
                    'when it answers again.'
                )
            return CommandError(text, ExitCode.STORE_UNAVAILABLE)
