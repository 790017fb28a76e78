"""Answers of a model, in the formats that clients' libraries parse."""

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

_TEXT_PLACEHOLDER = 'MARK'


@dataclass(frozen=True)
class Shape:
    """Names that the answers of an endpoint use.

    :param completion_object: value of ``object`` in a complete answer.
    :param chunk_object: value of ``object`` in an event of a stream.
    :param id_prefix: start of the id of an answer.
    """

    completion_object: str
    chunk_object: str
    id_prefix: str


CHAT = Shape('chat.completion', 'chat.completion.chunk', 'chatcmpl-')
TEXT = Shape('text_completion', 'text_completion', 'cmpl-')


def decode_tokens(tokens: list[int]) -> str:
    """Decode tokens into text; each token is one byte."""
    return bytes(tokens).decode('latin-1')


def encode_text(text: str) -> tuple[int, ...]:
    """Encode text as tokens, one per byte."""
    return tuple(text.encode())


def build_reply(
    shape: Shape,
    answer: Answer,
    model: str,
) -> dict[str, Any]:
    """Build the body of an answer that isn't streamed."""
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
        'id': f'{shape.id_prefix}{answer.stream}',
        'object': shape.completion_object,
        'created': int(time.time()),
        'model': model,
        'choices': [choice],
        'usage': count_usage(answer),
    }


def count_usage(answer: Answer) -> dict[str, int]:
    """Count the tokens of a prompt and its answer, for ``usage``."""
    return {
        'prompt_tokens': len(answer.prompt),
        'completion_tokens': len(answer.tokens),
        'total_tokens': len(answer.prompt) + len(answer.tokens),
    }


class ChunkWriter:
    """Encodes the server-sent events of one answer.

    The events of all tokens differ only in their text. The rest is encoded
    once per answer, because encoding takes most of the time that a node
    spends on a token.
    """

    def __init__(self, shape: Shape, answer: Answer, model: str) -> None:
        self._shape = shape
        self._answer = answer
        self._base = {
            'id': f'{shape.id_prefix}{answer.stream}',
            'object': shape.chunk_object,
            'created': int(time.time()),
            'model': model,
        }
        template = self._encode_event(
            [self._build_choice(_TEXT_PLACEHOLDER, None)]
        )
        before_text, _, after_text = template.partition(
            f'"{_TEXT_PLACEHOLDER}"'.encode()
        )
        self._before_text = before_text
        self._after_text = after_text

    def write_start(self) -> bytes:
        """Encode the event before the first token, if there is one."""
        if self._shape is not CHAT:
            return b''
        first = self._build_choice('', None)
        first['delta'] = {'role': 'assistant', 'content': ''}
        return self._encode_event([first])

    def write_tokens(self, tokens: list[int]) -> bytes:
        """Encode one event per token."""
        return b''.join(
            b'%b%b%b'
            % (
                self._before_text,
                msgspec.json.encode(decode_tokens([token])),
                self._after_text,
            )
            for token in tokens
        )

    def write_end(self, *, usage: bool) -> bytes:
        """Encode the events after the last token.

        :param usage: whether they include the token counts.
        """
        last = self._build_choice('', self._answer.finish)
        if self._shape is CHAT:
            last['delta'] = {}
        ending = self._encode_event([last])
        if usage:
            usage_chunk = self._base | {
                'choices': [],
                'usage': count_usage(self._answer),
            }
            ending += b'data: %b\n\n' % msgspec.json.encode(usage_chunk)
        return b'%bdata: [DONE]\n\n' % ending

    def write_failure(self, error: AnswerError) -> bytes:
        """Encode the error event that ends an incomplete answer."""
        return b'data: %b\n\n' % encode_failure(error.failure)

    def _build_choice(self, text: str, finish: str | None) -> dict[str, Any]:
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

    def _encode_event(self, choices: list[dict[str, Any]]) -> bytes:
        body = self._base | {'choices': choices}
        return b'data: %b\n\n' % msgspec.json.encode(body)


class EventStream(Response):
    """A streamed response that reports a disconnect of its client.

    The outcome isn't known when the headers are sent; the last event,
    ``[DONE]`` or an error, reports it.

    :param chunks: parts of the body; the first is available at once.
    :param on_disconnect: called if the client disconnects before the end.
    """

    def __init__(
        self,
        chunks: AsyncGenerator[bytes, None],
        headers: dict[str, str],
        on_disconnect: Callable[[], None],
    ) -> None:
        super().__init__(
            headers=headers,
            media_type='text/event-stream',
        )
        del self.headers['content-length']
        self._chunks = chunks
        self._on_disconnect = on_disconnect

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Send the headers, then each chunk as it becomes available."""
        watcher = asyncio.create_task(self._watch_for_disconnect(receive))
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
        # Closing the generator releases the request's place in the queue of
        # its account. After an error, garbage collection would do that late
        # or never.
        async with contextlib.aclosing(self._chunks) as chunks:
            async for chunk in chunks:
                await send(
                    {
                        'type': 'http.response.body',
                        'body': chunk,
                        'more_body': True,
                    }
                )

    async def _watch_for_disconnect(self, receive: Receive) -> None:
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                self._on_disconnect()
                return
