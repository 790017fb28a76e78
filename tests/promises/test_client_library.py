"""A widely used client library works with the interface."""

import openai
import pytest

from fleet.fleet import make_shape, run_fleet
from standins.model import complete, complete_chat

_MODEL = 'textile-care'


async def test_widely_used_client_library() -> None:
    """A client account migrates to ryelatch by changing only the base URL."""
    async with run_fleet(make_shape(nodes=1)) as fleet:
        client = openai.AsyncOpenAI(
            base_url=f'{fleet.nodes[0].url}/v1',
            api_key='ward-1-key',
            max_retries=0,
        )
        models = await client.models.list()
        assert [model.id for model in models.data] == [_MODEL]
        messages = [{'role': 'user', 'content': 'silk'}]
        completion = await client.chat.completions.create(
            model=_MODEL, messages=messages, max_tokens=20
        )
        expected = complete_chat('silk', 12, 20)
        assert completion.choices[0].message.content == expected
        assert completion.usage.completion_tokens == 20
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
        assert text == expected
        assert (
            chunks[-1].usage.total_tokens == len('user: silk\nassistant: ') + 20
        )
        text_completion = await client.completions.create(
            model=_MODEL, prompt='silk', max_tokens=8
        )
        assert text_completion.choices[0].text == complete(b'silk', 12, 8)
        with pytest.raises(openai.NotFoundError, match='does not exist'):
            await client.chat.completions.create(
                model='other', messages=messages
            )
        with pytest.raises(openai.BadRequestError, match='tokens') as raised:
            await client.completions.create(model=_MODEL, prompt='x' * 9000)
        assert raised.value.code == 'context_length_exceeded'
        unauthorized = client.with_options(api_key='nobody')
        with pytest.raises(openai.AuthenticationError):
            await unauthorized.models.list()
        await client.close()
