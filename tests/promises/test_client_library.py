"""The client library that callers use already accepts the interface."""

import openai
import pytest

from fleet.fleet import make_shape, run_fleet
from standins.model import complete, complete_chat

_MODEL = 'textile-care'


async def test_widely_used_client_library() -> None:
    """A client account moves to ryelatch by changing the base URL only."""
    async with run_fleet(make_shape(nodes=1)) as fleet:
        client = openai.AsyncOpenAI(
            base_url=f'{fleet.nodes[0].url}/v1',
            api_key='ward-1-key',
            max_retries=0,
        )
        models = await client.models.list()
        assert [model.id for model in models.data] == [_MODEL]
        messages = [{'role': 'user', 'content': 'silk'}]
        whole = await client.chat.completions.create(
            model=_MODEL, messages=messages, max_tokens=20
        )
        right = complete_chat('silk', 12, 20)
        assert whole.choices[0].message.content == right
        assert whole.usage.completion_tokens == 20
        stream = await client.chat.completions.create(
            model=_MODEL,
            messages=messages,
            max_tokens=20,
            stream=True,
            stream_options={'include_usage': True},
        )
        chunks = [chunk async for chunk in stream]
        text = ''.join(
            choice.delta.content or ''
            for chunk in chunks
            for choice in chunk.choices
        )
        assert text == right
        assert (
            chunks[-1].usage.total_tokens == len('user: silk\nassistant: ') + 20
        )
        plain = await client.completions.create(
            model=_MODEL, prompt='silk', max_tokens=8
        )
        assert plain.choices[0].text == complete(b'silk', 12, 8)
        with pytest.raises(openai.NotFoundError, match='does not exist'):
            await client.chat.completions.create(
                model='other', messages=messages
            )
        with pytest.raises(openai.BadRequestError, match='tokens') as raised:
            await client.completions.create(model=_MODEL, prompt='x' * 9000)
        assert raised.value.code == 'context_length_exceeded'
        wrong = client.with_options(api_key='nobody')
        with pytest.raises(openai.AuthenticationError):
            await wrong.models.list()
        await client.close()
