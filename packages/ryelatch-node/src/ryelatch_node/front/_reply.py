"""Answers of a model in the shapes that callers' libraries know."""

import asyncio
import contextlib
import time
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from ryelatch_node.answers import Answer, AnswerError
from ryelatch_node.front._errors import encode_failure

_MARK = 'MARK'


@dataclass(frozen=True)
class Shape:
    """How one of the two interfaces names its parts."""

    whole: str
    chunk: str
    prefix: str


CHAT = Shape('chat.completion', 'chat.completion.chunk', 'chatcmpl-')
TEXT = Shape('text_completion', 'text_completion', 'cmpl-')


def decode_tokens(tokens: list[int]) -> str:
    """Turn tokens into text; a token is a byte of it."""
    return bytes(tokens).decode('latin-1')


def encode_text(text: str) -> tuple[int, ...]:
    """Turn text into tokens, one a byte."""
    return tuple(text.encode())


def build_reply(
    shape: Shape,
    answer: Answer,
    model: str,
) -> dict[str, Any]:
    """Build the body of an answer that is not streamed."""
    text = decode_tokens(answer.tokens)
    choice: dict[str, Any] = {
        'index': 0,
        'finish_reason': answer.finish,
        'logprobs': None,
    }
    if shape is CHAT:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': f'{shape.prefix}{answer.stream}',
        'object': shape.whole,
        'created': int(time.time()),
        'model': model,
        'choices': [choice],
        'usage': count_usage(answer),
    }


def count_usage(answer: Answer) -> dict[str, int]:
    """Count tokens as callers are told."""
    return {
        'prompt_tokens': len(answer.prompt),
        'completion_tokens': len(answer.tokens),
        'total_tokens': len(answer.prompt) + len(answer.tokens),
    }


class ChunkWriter:
    """Writes server-sent events of one answer.

    All but the text of a token's event is the same for the whole answer and
    is encoded once, as encoding is most of the node's cost of a token.
    """

    def __init__(self, shape: Shape, answer: Answer, model: str) -> None:
        self._shape = shape
        self._answer = answer
        self._base = {
            'id': f'{shape.prefix}{answer.stream}',
            'object': shape.chunk,
            'created': int(time.time()),
            'model': model,
        }
        sample = self._encode([self._choose(_MARK, None)])
        head, _, tail = sample.partition(f'"{_MARK}"'.encode())
        self._head = head
        self._tail = tail

    def write_start(self) -> bytes:
        """Write the event before the first token."""
        if self._shape is not CHAT:
            return b''
        first = self._choose('', None)
        first['delta'] = {'role': 'assistant', 'content': ''}
        return self._encode([first])

    def write_tokens(self, tokens: list[int]) -> bytes:
        """Write an event for each token."""
        return b''.join(
            b'%b%b%b'
            % (
                self._head,
                msgspec.json.encode(decode_tokens([token])),
                self._tail,
            )
            for token in tokens
        )

    def write_end(self, *, usage: bool) -> bytes:
        """Write the events after the last token."""
        last = self._choose('', self._answer.finish)
        if self._shape is CHAT:
            last['delta'] = {}
        ending = self._encode([last])
        if usage:
            counted = self._base | {
                'choices': [],
                'usage': count_usage(self._answer),
            }
            ending += b'data: %b\n\n' % msgspec.json.encode(counted)
        return b'%bdata: [DONE]\n\n' % ending

    def write_failure(self, error: AnswerError) -> bytes:
        """Write the event that tells of an answer cut short."""
        return b'data: %b\n\n' % encode_failure(error.failure)

    def _choose(self, text: str, finish: str | None) -> dict[str, Any]:
        choice: dict[str, Any] = {
            'index': 0,
            'finish_reason': finish,
            'logprobs': None,
        }
        if self._shape is CHAT:
            choice['delta'] = {'content': text}
        else:
            choice['text'] = text
        return choice

    def _encode(self, choices: list[dict[str, Any]]) -> bytes:
        body = self._base | {'choices': choices}
        return b'data: %b\n\n' % msgspec.json.encode(body)


class EventStream(Response):
    """A streamed answer that ends its work when the caller goes away.

    Its outcome is not known when its headers are sent; ``[DONE]`` or an
    error event tells it at the end.

    :param chunks: pieces of the body; the first is ready already.
    :param on_gone: called when the caller is gone before the end.
    """

    def __init__(
        self,
        chunks: AsyncGenerator[bytes, None],
        headers: dict[str, str],
        on_gone: Callable[[], None],
    ) -> None:
        super().__init__(
            headers=headers,
            media_type='text/event-stream',
        )
        del self.headers['content-length']
        self._chunks = chunks
        self._on_gone = on_gone

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Send the answer piece by piece."""
        watcher = asyncio.create_task(self._watch(receive))
        try:
            await send(
                {
                    'type': 'http.response.start',
                    'status': self.status_code,
                    'headers': self.raw_headers,
                }
            )
            await self._send_chunks(send)
            await send({'type': 'http.response.body', 'body': b''})
        finally:
            watcher.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watcher

    async def _send_chunks(self, send: Send) -> None:
        # Left to the collector after an error, the chunks would give back
        # their place in the queue of the account some time or never.
        async with contextlib.aclosing(self._chunks) as chunks:
            async for chunk in chunks:
                await send(
                    {
                        'type': 'http.response.body',
                        'body': chunk,
                        'more_body': True,
                    }
                )

    async def _watch(self, receive: Receive) -> None:
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                self._on_gone()
                return
