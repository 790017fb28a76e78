"""Streams of completions, timed, cheap enough not to be the limit."""

import asyncio
import json
import time
from dataclasses import dataclass, field

import aiohttp


@dataclass
class Timing:
    """When the pieces of one answer came, in monotonic seconds."""

    started: float
    status: int = 0
    arrivals: list[float] = field(default_factory=list)
    tokens: int = 0
    done: bool = False

    @property
    def first(self) -> float:
        """Seconds to the first token."""
        return self.arrivals[0] - self.started if self.arrivals else 0

    @property
    def gaps(self) -> list[float]:
        """Seconds between arrivals."""
        pairs = zip(self.arrivals, self.arrivals[1:], strict=False)
        return [after - before for before, after in pairs]


async def stream(
    http: aiohttp.ClientSession,
    url: str,
    key: str,
    prompt: str,
    tokens: int,
) -> Timing:
    """Ask for one completion and time it."""
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
    """Ask for many completions at once."""
    return await asyncio.gather(
        *(
            stream(http, url, key, f'{index:04} linen', tokens)
            for index in range(streams)
        )
    )
