"""A caller of a model that reads an event stream and times it."""

import asyncio
import json
import re
import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from fleet.processes import Process


@dataclass
class StreamedAnswer:
    """What a caller got.

    :param times: monotonic seconds of each piece of text.
    """

    status: int = 0
    text: str = ''
    done: bool = False
    finish: str = ''
    error: dict[str, Any] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    times: list[float] = field(default_factory=list)
    started: float = 0

    @property
    def longest_gap(self) -> float:
        """The longest wait between two pieces, in seconds."""
        pairs = zip(self.times, self.times[1:], strict=False)
        return max((after - before for before, after in pairs), default=0)


async def read_answer(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read one whole answer of raw HTTP, however it arrives in pieces.

    One ``read`` gives what has come so far: on a busy machine the head
    without its body.

    :returns: the head, and the body: by its length, or to the end of the
        connection where no length is given.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    length = re.search(rb'\r\ncontent-length: *(\d+)', head, re.IGNORECASE)
    if length is None:
        return head, await reader.read()
    return head, await reader.readexactly(int(length.group(1)))


async def ask(
    http: aiohttp.ClientSession,
    node: Process,
    key: str,
    content: str,
    limit: int,
    heard: StreamedAnswer | None = None,
    model: str = 'textile-care',
) -> StreamedAnswer:
    """Ask for a streamed chat answer.

    :param heard: filled while the answer comes.
    """
    heard = heard or StreamedAnswer()
    heard.started = time.monotonic()
    body = {
        'model': model,
        'stream': True,
        'max_tokens': limit,
        'messages': [{'role': 'user', 'content': content}],
    }
    async with http.post(
        f'{node.url}/v1/chat/completions',
        json=body,
        headers={'Authorization': f'Bearer {key}'},
    ) as response:
        heard.status = response.status
        heard.headers = {
            name.lower(): text for name, text in response.headers.items()
        }
        if response.content_type != 'text/event-stream':
            heard.error = (await response.json())['error']
            return heard
        async for line in response.content:
            _take_line(heard, line)
    return heard


def _take_line(heard: StreamedAnswer, line: bytes) -> None:
    if not line.startswith(b'data: '):
        return
    payload = line[len(b'data: ') :].strip()
    if payload == b'[DONE]':
        heard.done = True
        return
    event = json.loads(payload)
    if 'error' in event:
        heard.error = event['error']
        return
    for choice in event['choices']:
        heard.finish = choice['finish_reason'] or heard.finish
        _take_piece(heard, choice['delta'].get('content', ''))


def _take_piece(heard: StreamedAnswer, piece: str) -> None:
    if piece:
        heard.text += piece
        heard.times.append(time.monotonic())
