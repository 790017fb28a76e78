"""Parsing and checks of the bodies of requests to models."""

from http import HTTPStatus
from typing import Any

import msgspec

from ryelatch_core.settings import AccountEntry, Settings
from ryelatch_node.answers import GenerationJob
from ryelatch_node.front._errors import refuse

_BAD_REQUEST = HTTPStatus.BAD_REQUEST


class Part(msgspec.Struct):
    """A content part of a message; only its text is used."""

    type: str
    text: str = ''


class Message(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str | list[Part] | None = None


class StreamOptions(msgspec.Struct):
    """Options of a streamed answer."""

    include_usage: bool = False


class Prompt(msgspec.Struct):
    """Body of a chat or text completion request; other fields are ignored."""

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
        """Whether the stream should end with the token counts."""
        return self.stream_options is not None and (
            self.stream_options.include_usage
        )


def parse_prompt(body: bytes, *, chat: bool) -> Prompt:
    """Parse the body of a request.

    :param chat: whether it is a chat completion.
    :raises CallerError: if it is not JSON, a type is wrong, a required field
        is missing, or more than one choice is requested.
    """
    try:
        prompt = msgspec.json.decode(body, type=Prompt)
    except msgspec.ValidationError as error:
        raise refuse(_BAD_REQUEST, 'invalid_type', str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise refuse(_BAD_REQUEST, 'invalid_json', str(error)) from error
    required = prompt.messages if chat else prompt.prompt
    if not required:
        name = 'messages' if chat else 'prompt'
        raise refuse(_BAD_REQUEST, 'missing_field', f'{name!r} is required.')
    if prompt.choices not in {None, 1}:
        raise refuse(_BAD_REQUEST, 'unsupported_value', "'n' must be 1.")
    return prompt


def render_text(prompt: Prompt, *, chat: bool) -> str:
    """Render the text that the model continues."""
    if chat:
        turns = [
            f'{message.role}: {_join_text(message.content)}\n'
            for message in prompt.messages or ()
        ]
        return f'{"".join(turns)}assistant: '
    return _join_text(prompt.prompt)


def make_order(
    settings: Settings,
    account: AccountEntry,
    request: str,
    prompt: Prompt,
    tokens: tuple[int, ...],
) -> GenerationJob:
    """Check a request against the model and the client account's policy.

    :param tokens: the prompt.
    :raises CallerError: if the account may not use the model or there is no
        such model, if ``max_tokens`` isn't positive, or if the prompt is too
        long.
    """
    policy = account.policy
    model = settings.models.get(prompt.model)
    if model is None or (
        policy.models is not None and prompt.model not in policy.models
    ):
        message = f'The model {prompt.model!r} does not exist.'
        raise refuse(HTTPStatus.NOT_FOUND, 'model_not_found', message)
    requested = prompt.max_completion_tokens or prompt.max_tokens
    if requested is not None and requested < 1:
        raise refuse(
            _BAD_REQUEST, 'invalid_value', "'max_tokens' must be positive."
        )
    remaining = model.context - len(tokens)
    if remaining < 1:
        raise refuse(
            _BAD_REQUEST,
            'context_length_exceeded',
            f'The prompt has {len(tokens)} tokens; this model takes '
            f'{model.context} with the answer.',
        )
    limit = min(requested or policy.max_tokens, policy.max_tokens, remaining)
    return GenerationJob(
        request,
        prompt.model,
        model,
        tokens,
        limit,
        policy.priority,
        policy.deadline,
    )


def _join_text(content: Any) -> str:
    if content is None:
        return ''
    if isinstance(content, str):
        return content
    return ''.join(
        part if isinstance(part, str) else part.text for part in content
    )
