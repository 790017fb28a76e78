"""Clients that don't behave: a crowd of them, each of the same ``--kind``.

They connect again when they are disconnected, until they are stopped.
"""

import argparse
import asyncio
import contextlib
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

_KEY = 'ward-1-key'
_RETRY_SECONDS = 0.02
_PIPELINED = 400
_NAMES = 3000
_LONG = 15_000
_HEAD_BYTES = 16_000
_BODY_BYTES = 4_194_304
_MISSING_BYTES = 10_000
_READ_BYTES = 65_536
_LINE_END = '\r\n'
_HEAD_END = b'\r\n\r\n'

Address = tuple[str, int]
"""Host and port."""

_Make = Callable[[str], bytes]
"""Makes bytes from a text that no other request has."""


@dataclass(frozen=True)
class Behaviour:
    """What one client of a crowd does with each of its connections.

    :param first: makes what it sends first.
    :param again: makes what it sends after that, again and again; ``None`` if
        it sends nothing more.
    :param pause: seconds before each time.
    :param awaits: whether it waits for an answer before each time instead.
    :param reads: whether it reads what it gets.
    """

    first: _Make
    again: _Make | None = None
    pause: float = 0
    awaits: bool = False
    reads: bool = True


def make_head(
    tag: str,
    *lines: str,
    path: str = '/ping/x',
    identity: str = '',
    method: str = 'POST',
) -> bytes:
    """Make the head of a request, without its last line."""
    head = (
        f'{method} {path} HTTP/1.1',
        'Host: city.example',
        f'X-Ryelatch-Request-Id: {identity or tag}',
        'X-Ryelatch-Deadline-Ms: 20000',
        f'Api-Key: {_KEY}',
        *lines,
        '',
    )
    return _LINE_END.join(head).encode()


def make_request(tag: str, *lines: str, **options: str) -> bytes:
    """Make a whole request without a body."""
    head = make_head(tag, *lines, 'Content-Length: 0', **options)
    return head + _LINE_END.encode()


def make_names(count: int = _NAMES) -> list[str]:
    """Make short header lines, no two of them alike."""
    return [f'{number:x}:' for number in range(count)]


def make_body_request(tag: str, body: bytes, missing: int = 0) -> bytes:
    """Make a request with a body.

    :param missing: bytes of the body that are left out at its end.
    """
    head = make_head(tag, f'Content-Length: {len(body)}')
    return head + _LINE_END.encode() + body[: len(body) - missing]


def _make_chunked(tag: str) -> bytes:
    head = make_head(tag, 'Transfer-Encoding: chunked')
    return head + _LINE_END.encode()


def _pipeline(path: str) -> _Make:
    def make(tag: str) -> bytes:
        return b''.join(
            make_request(f'{tag}-{number}', path=path)
            for number in range(_PIPELINED)
        )

    return make


def _repeat(piece: bytes) -> _Make:
    return lambda _: piece


_FILLER = b'x' * _BODY_BYTES

KINDS = {
    'nothing': Behaviour(_repeat(b'')),
    'empty lines': Behaviour(_repeat(b''), _repeat(b'\r\n' * 4000)),
    'empty line after an answer': Behaviour(make_request, _repeat(b'\r\n'), 1),
    'request line without end': Behaviour(
        _repeat(b'POST /ping/'), _repeat(b'x' * 4000)
    ),
    'unfinished head': Behaviour(make_head),
    'unfinished long head': Behaviour(
        lambda tag: make_head(tag, *make_names())
    ),
    'slow head': Behaviour(make_head, _repeat(b'a'), 0.5),
    'endless head': Behaviour(
        make_head, lambda tag: f'{tag}-a: a\r\n'.encode() * 4000
    ),
    'odd lines': Behaviour(lambda tag: make_request(tag, *['a:'] * _LONG)),
    'many names': Behaviour(
        lambda tag: make_request(tag, *make_names(), path='/wait/x'),
        lambda tag: make_request(tag, *make_names(), path='/wait/x'),
        awaits=True,
    ),
    'pipelined': Behaviour(_pipeline('/ping/x'), _pipeline('/ping/x')),
    'pipelined, waiting': Behaviour(_pipeline('/wait/x'), _pipeline('/wait/x')),
    'long bodies': Behaviour(
        lambda tag: make_body_request(tag, _FILLER),
        lambda tag: make_body_request(tag, _FILLER),
        awaits=True,
    ),
    'unfinished bodies': Behaviour(
        lambda tag: make_body_request(tag, _FILLER, _MISSING_BYTES)
    ),
    'slow bodies': Behaviour(
        lambda tag: make_body_request(tag, _FILLER, _BODY_BYTES - 10),
        _repeat(b'x'),
        0.5,
    ),
    'slow body of a refused request': Behaviour(
        lambda tag: (
            make_head(tag, 'Content-Length: 4000000', path='/unknown/')
            + b'\r\n'
        ),
        _repeat(b'x'),
        0.5,
    ),
    'chunks of a byte': Behaviour(_make_chunked, _repeat(b'1\r\nx\r\n' * 4000)),
    'chunk extension': Behaviour(
        lambda tag: b''.join((_make_chunked(tag), b'1;')), _repeat(b'x' * 4000)
    ),
    'trailers': Behaviour(
        lambda tag: b''.join((_make_chunked(tag), b'0\r\n')),
        _repeat(b'a: a\r\n' * 4000),
    ),
    'unread answers': Behaviour(
        lambda tag: make_request(tag, path='/long/x'), reads=False
    ),
    'unread short answers': Behaviour(
        make_request, _pipeline('/ping/x'), reads=False
    ),
    'paths': Behaviour(
        lambda tag: make_request(tag, path=f'/ping/{tag:x<{_LONG}}'),
        lambda tag: make_request(tag, path=f'/ping/{tag:x<{_LONG}}'),
        awaits=True,
    ),
    'identities': Behaviour(
        lambda tag: make_request(tag, identity=f'{tag:x<{_LONG}}'),
        lambda tag: make_request(tag, identity=f'{tag:x<{_LONG}}'),
        awaits=True,
    ),
    'upgrades': Behaviour(
        lambda tag: make_request(tag, 'Connection: upgrade', 'Upgrade: x'),
        _repeat(b'x'),
        0.5,
    ),
}


async def _read_answer(reader: asyncio.StreamReader) -> None:
    """Read an answer with a length."""
    head = await reader.readuntil(_HEAD_END)
    _, _, rest = head.lower().partition(b'content-length:')
    length = rest.partition(b'\r\n')[0].strip()
    await reader.readexactly(int(length or b'0'))


async def _discard(reader: asyncio.StreamReader) -> None:
    while await reader.read(_READ_BYTES):
        """The answers of such clients tell nothing."""


async def _send(
    behaviour: Behaviour,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    tags: 'itertools.count[int]',
    name: str,
) -> None:
    writer.write(behaviour.first(f'{name}-{next(tags)}'))
    await writer.drain()
    while behaviour.again is not None:
        if behaviour.awaits:
            await _read_answer(reader)
        await asyncio.sleep(behaviour.pause)
        writer.write(behaviour.again(f'{name}-{next(tags)}'))
        await writer.drain()
    await asyncio.Event().wait()


async def _connect(behaviour: Behaviour, address: Address, name: str) -> None:
    """Use one connection until it ends."""
    reader, writer = await asyncio.open_connection(*address, limit=2**17)
    if not behaviour.reads:
        # Without a transport that reads, nothing empties the socket.
        writer.transport.pause_reading()  # type: ignore[attr-defined]
    tasks = [
        asyncio.create_task(
            _send(behaviour, reader, writer, itertools.count(), name)
        )
    ]
    if behaviour.reads and not behaviour.awaits:
        tasks.append(asyncio.create_task(_discard(reader)))
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        writer.transport.abort()


async def _run_client(
    behaviour: Behaviour, address: Address, name: str
) -> None:
    for number in itertools.count():
        with contextlib.suppress(OSError):
            await _connect(behaviour, address, f'{name}-{number}')
        await asyncio.sleep(_RETRY_SECONDS)


def choose_behaviours(kind: str, count: int, seed: int) -> list[Behaviour]:
    """Choose what each client does; ``mixed`` draws a kind for each."""
    if kind != 'mixed':
        return [KINDS[kind]] * count
    source = random.Random(seed)
    return [KINDS[source.choice(sorted(KINDS))] for _ in range(count)]


def use_key(behaviour: Behaviour, key: str) -> Behaviour:
    """Let requests carry another key."""

    def rewrite(make: _Make) -> _Make:
        return lambda tag: make(tag).replace(_KEY.encode(), key.encode())

    again = rewrite(behaviour.again) if behaviour.again else None
    return replace(behaviour, first=rewrite(behaviour.first), again=again)


async def _run(options: argparse.Namespace) -> None:
    behaviours = [
        use_key(behaviour, options.key)
        for behaviour in choose_behaviours(
            options.kind, options.clients, options.seed
        )
    ]
    address = options.host, options.port
    async with asyncio.TaskGroup() as group:
        for number, behaviour in enumerate(behaviours):
            group.create_task(_run_client(behaviour, address, f'c{number}'))
        print('READY', options.port, flush=True)


def main() -> None:
    """Run a crowd until it is stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--kind', choices=(*KINDS, 'mixed'))
    parser.add_argument('--clients', type=int)
    parser.add_argument('--host')
    parser.add_argument('--port', type=int)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--key', default=_KEY)
    asyncio.run(_run(parser.parse_args()))


if __name__ == '__main__':
    main()
