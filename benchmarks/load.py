"""A client that times streamed completions.

It counts tokens without decoding events, so that it takes little processor time
and does not limit the throughput that is measured.
"""

import asyncio
import json
import time
from dataclasses import dataclass, field

import aiohttp


@dataclass
class Timing:
    """The times of one streamed answer.

    :param started: monotonic seconds at which the request was sent.
    :param arrivals: monotonic seconds at which chunks with tokens arrived.
    :param done: whether the final ``[DONE]`` event was received.
    """

    started: float
    status: int = 0
    arrivals: list[float] = field(default_factory=list)
    tokens: int = 0
    done: bool = False

    @property
    def first(self) -> float:
        """Seconds to the first token; 0 if there was none."""
        return self.arrivals[0] - self.started if self.arrivals else 0

    @property
    def gaps(self) -> list[float]:
        """Seconds between successive arrivals."""
        pairs = zip(self.arrivals, self.arrivals[1:], strict=False)
        return [after - before for before, after in pairs]


async def stream(
    http: aiohttp.ClientSession,
    url: str,
    key: str,
    prompt: str,
    tokens: int,
) -> Timing:
    """Request one completion, and time its answer."""
    body = {
        'model': 'textile-care',
        'prompt': prompt,
        'max_tokens': tokens,
        'stream': True,
    }
    timing = Timing(time.monotonic())
    async with http.post(
        f'{url}/v1/completions',
        data=json.dumps(body),
        headers={
            'Authorization': f'Bearer {key}',
            'Content-Type': 'application/json',
        },
    ) as response:
        timing.status = response.status
        async for chunk in response.content.iter_any():
            count = chunk.count(b'"text":"') - chunk.count(b'"text":""')
            if count > 0 and response.status == 200:
                timing.arrivals.append(time.monotonic())
                timing.tokens += count
            timing.done = timing.done or b'[DONE]' in chunk
    return timing


async def stream_many(
    http: aiohttp.ClientSession,
    url: str,
    streams: int,
    tokens: int,
    key: str = 'schools-key',
) -> list[Timing]:
    """Request several completions at the same time."""
    return await asyncio.gather(
        *(
            stream(http, url, key, f'{index:04} linen', tokens)
            for index in range(streams)
        )
    )
