"""The bodies that callers of a model send."""

from http import HTTPStatus
from typing import Any

import msgspec

from ryelatch_core.settings import AccountEntry, Settings
from ryelatch_node.answers import GenerationJob
from ryelatch_node.front._errors import refuse

_BAD = HTTPStatus.BAD_REQUEST


class Part(msgspec.Struct):
    """A piece of a message; only text can be answered."""

    type: str
    text: str = ''


class Message(msgspec.Struct):
    """One turn of a chat."""

    role: str
    content: str | list[Part] | None = None


class StreamOptions(msgspec.Struct):
    """What a streamed answer should also hold."""

    include_usage: bool = False


class Prompt(msgspec.Struct):
    """A request of either form; fields not named here are let be."""

    model: str
    messages: list[Message] | None = None
    prompt: str | list[str] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    choices: int | None = msgspec.field(default=None, name='n')

    @property
    def wants_usage(self) -> bool:
        """Whether the stream should end with the count of tokens."""
        return self.stream_options is not None and (
            self.stream_options.include_usage
        )


def parse_prompt(body: bytes, *, chat: bool) -> Prompt:
    """Read a request's body.

    :raises CallerError: if it is malformed or of the wrong types.
    """
    try:
        prompt = msgspec.json.decode(body, type=Prompt)
    except msgspec.ValidationError as error:
        raise refuse(_BAD, 'invalid_type', str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise refuse(_BAD, 'invalid_json', str(error)) from error
    missing = prompt.messages if chat else prompt.prompt
    if not missing:
        name = 'messages' if chat else 'prompt'
        raise refuse(_BAD, 'missing_field', f'{name!r} is required.')
    if prompt.choices not in {None, 1}:
        raise refuse(_BAD, 'unsupported_value', "'n' must be 1.")
    return prompt


def render_text(prompt: Prompt, *, chat: bool) -> str:
    """Give the text that the model continues."""
    if chat:
        turns = [
            f'{message.role}: {_join(message.content)}\n'
            for message in prompt.messages or ()
        ]
        return f'{"".join(turns)}assistant: '
    return _join(prompt.prompt)


def make_order(
    settings: Settings,
    account: AccountEntry,
    request: str,
    prompt: Prompt,
    tokens: tuple[int, ...],
) -> GenerationJob:
    """Check a request against the model and the client account's policy.

    :raises CallerError: if the model is unknown or the prompt too long.
    """
    policy = account.policy
    model = settings.models.get(prompt.model)
    if model is None or (
        policy.models is not None and prompt.model not in policy.models
    ):
        message = f'The model {prompt.model!r} does not exist.'
        raise refuse(HTTPStatus.NOT_FOUND, 'model_not_found', message)
    wanted = prompt.max_completion_tokens or prompt.max_tokens
    if wanted is not None and wanted < 1:
        raise refuse(_BAD, 'invalid_value', "'max_tokens' must be positive.")
    room = model.context - len(tokens)
    if room < 1:
        raise refuse(
            _BAD,
            'context_length_exceeded',
            f'The prompt has {len(tokens)} tokens; this model takes '
            f'{model.context} with the answer.',
        )
    limit = min(wanted or policy.max_tokens, policy.max_tokens, room)
    return GenerationJob(
        request,
        prompt.model,
        model,
        tokens,
        limit,
        policy.priority,
        policy.deadline,
    )


def _join(content: Any) -> str:
    if content is None:
        return ''
    if isinstance(content, str):
        return content
    return ''.join(
        part if isinstance(part, str) else part.text for part in content
    )
