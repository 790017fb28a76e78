"""Endpoints for requests to models."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Coroutine
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from ryelatch_core.events import Timeline, catalogue
from ryelatch_core.kernel import App
from ryelatch_core.outcomes import (
    OUTCOME_HEADER,
    REQUEST_HEADER,
    Failure,
    Outcome,
)
from ryelatch_node.admission import Admission, AdmissionSlot
from ryelatch_node.answers import Answer, AnswerError, Answers, GenerationJob
from ryelatch_node.config import SettingsHolder
from ryelatch_node.front import _body as bodies
from ryelatch_node.front import _prompt as prompts
from ryelatch_node.front import _reply as replies
from ryelatch_node.front._authentication import find_account
from ryelatch_node.front._errors import CallerError
from ryelatch_node.front._meter import Meter

_PROMPT_TOKEN_COST = 0.1
_DISCONNECT = 'http.disconnect'
_CLIENT_GONE = Failure(
    # Not delivered: the client has disconnected.
    HTTPStatus.REQUEST_TIMEOUT,
    'caller_gone',
    'The caller closed its connection.',
)

Endpoint = Callable[[Request], Coroutine[Any, Any, Response]]


@dataclass(frozen=True)
class _RunningRequest:
    """An admitted request, with what is released when it finishes.

    :param started: monotonic time before its admission, in seconds.
    """

    order: GenerationJob
    answer: Answer
    granted: AdmissionSlot
    started: float


def estimate_work(prompt: int, generated: int) -> float:
    """Estimate the cost of a request, in generated tokens.

    Engines process the tokens of a prompt in batches, so one of them costs
    about a tenth of a generated token.

    :param prompt: tokens of the prompt.
    :param generated: tokens of the answer.
    """
    return prompt * _PROMPT_TOKEN_COST + generated


def serve_model(app: App, shape: replies.Shape) -> Endpoint:
    """Make the endpoint for chat completions or for text completions."""

    async def complete(request: Request) -> Response:
        chat = shape is replies.CHAT
        account = find_account(app, request)
        prompt = prompts.parse_prompt(
            await bodies.read_body(request), chat=chat
        )
        order = prompts.make_order(
            app.find('settings', SettingsHolder).settings,
            account,
            request.state.request,
            prompt,
            replies.encode_text(prompts.render_text(prompt, chat=chat)),
        )
        started = app.clock.monotonic()
        work = estimate_work(len(order.prompt), order.max_tokens)
        admission = app.find('admission', Admission)
        admitted = await _await_unless_disconnected(
            request, admission.admit(order.name, account, work)
        )
        if admitted.is_err():
            _record_shed(app, order, admitted.unwrap_err())
            raise CallerError(admitted.unwrap_err())
        app.find('timeline', Timeline).record(
            catalogue.REQUEST_ADMITTED,
            request=order.request,
            account=account.path,
            model=order.name,
        )
        answer = app.find('answers', Answers).open(order)
        running = _RunningRequest(order, answer, admitted.unwrap(), started)
        if prompt.stream:
            return await _stream(app, shape, running, usage=prompt.wants_usage)
        return await _collect(app, shape, running, request)

    return complete


def list_models(app: App) -> Endpoint:
    """Make the endpoint that lists the models of a client account."""

    async def answer(request: Request) -> Response:
        account = find_account(app, request)
        settings = app.find('settings', SettingsHolder).settings
        allowed = account.policy.models
        names = [
            name for name in settings.models if not allowed or name in allowed
        ]
        entries = [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': 'ryelatch',
            }
            for name in names
        ]
        return JSONResponse({'object': 'list', 'data': entries})

    return answer


async def _await_unless_disconnected(
    request: Request, work: Coroutine[Any, Any, Any]
) -> Any:
    """Wait for a result, and cancel the work if the client disconnects.

    :raises CallerError: if the client has disconnected.
    """
    task = asyncio.ensure_future(work)
    disconnect = asyncio.ensure_future(_wait_for_disconnect(request))
    try:
        await asyncio.wait(
            {task, disconnect}, return_when=asyncio.FIRST_COMPLETED
        )
        if not task.done():
            raise CallerError(_CLIENT_GONE)
        return task.result()
    finally:
        for pending in (task, disconnect):
            pending.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await pending


async def _wait_for_disconnect(request: Request) -> None:
    message = await request.receive()
    while message['type'] != _DISCONNECT:
        message = await request.receive()


async def _collect(
    app: App,
    shape: replies.Shape,
    running: _RunningRequest,
    request: Request,
) -> Response:
    """Answer with the complete text in one response."""
    outcome = Outcome.UNKNOWN
    try:
        await _await_unless_disconnected(request, _read_all(running))
        outcome = Outcome.COMPLETE
    except AnswerError as error:
        outcome = error.failure.outcome
        raise CallerError(error.failure) from error
    finally:
        _finish(app, running, outcome)
    reply = replies.build_reply(shape, running.answer, running.order.name)
    headers = {
        OUTCOME_HEADER: outcome.value,
        REQUEST_HEADER: running.order.request,
    }
    return Response(
        msgspec.json.encode(reply),
        headers=headers,
        media_type='application/json',
    )


async def _read_all(running: _RunningRequest) -> None:
    async with _enforce_deadline(running.order.deadline):
        tokens = await running.answer.read()
        while tokens:
            tokens = await running.answer.read()


@contextlib.asynccontextmanager
async def _enforce_deadline(seconds: float) -> AsyncIterator[None]:
    """Raise the failure that the client receives if a deadline passes.

    :param seconds: until the deadline.
    :raises AnswerError: with 504 when it passes.
    """
    try:
        async with asyncio.timeout(seconds):
            yield
    except TimeoutError:
        raise AnswerError(
            Failure(
                HTTPStatus.GATEWAY_TIMEOUT,
                'deadline',
                'The answer took longer than the client account allows.',
                Outcome.UNKNOWN,
                1,
                'server_error',
            )
        ) from None


async def _stream(
    app: App,
    shape: replies.Shape,
    running: _RunningRequest,
    *,
    usage: bool,
) -> Response:
    """Answer with a stream of server-sent events.

    The response starts when the first tokens are available, so that an
    earlier failure has an HTTP status of its own.
    """
    try:
        async with _enforce_deadline(running.order.deadline):
            first_tokens = await running.answer.read()
    except asyncio.CancelledError:
        _finish(app, running, Outcome.UNKNOWN)
        raise
    except AnswerError as error:
        _finish(app, running, error.failure.outcome)
        raise CallerError(error.failure) from error
    elapsed = app.clock.monotonic() - running.started
    app.find('meter', Meter).record_first_token(elapsed)
    writer = replies.ChunkWriter(shape, running.answer, running.order.name)
    return replies.EventStream(
        _generate(app, running, writer, first_tokens, usage=usage),
        {REQUEST_HEADER: running.order.request, 'cache-control': 'no-cache'},
        lambda: _close_abandoned(app, running),
    )


async def _generate(
    app: App,
    running: _RunningRequest,
    writer: replies.ChunkWriter,
    tokens: list[int],
    *,
    usage: bool,
) -> AsyncGenerator[bytes, None]:
    """Yield the events of an answer.

    :param tokens: the first tokens, which have been read already.
    """
    outcome = Outcome.UNKNOWN
    opening = writer.write_start()
    try:
        async with _enforce_deadline(running.order.deadline):
            while tokens:
                yield opening + writer.write_tokens(tokens)
                opening = b''
                tokens = await running.answer.read()
        yield opening + writer.write_end(usage=usage)
        outcome = Outcome.COMPLETE
    except AnswerError as error:
        outcome = error.failure.outcome
        yield writer.write_failure(error)
    finally:
        _finish(app, running, outcome)


def _close_abandoned(app: App, running: _RunningRequest) -> None:
    """Stop generating for a client that has disconnected."""
    if not running.answer.finished:
        app.find('timeline', Timeline).record(
            catalogue.CALLER_GONE, request=running.order.request
        )
        app.find('answers', Answers).close(running.answer)


def _finish(app: App, running: _RunningRequest, outcome: Outcome) -> None:
    """Release what the request holds, and record its outcome."""
    app.find('answers', Answers).close(running.answer)
    answer = running.answer
    work = estimate_work(len(answer.prompt), len(answer.tokens))
    app.find('admission', Admission).release(
        running.granted, work if answer.sent else 0
    )
    elapsed = app.clock.monotonic() - running.started
    app.find('meter', Meter).record_completion(
        elapsed, len(answer.tokens), outcome
    )
    app.find('timeline', Timeline).record(
        catalogue.REQUEST_ENDED,
        request=running.order.request,
        outcome=outcome.value,
        tokens=len(answer.tokens),
        attempts=answer.attempt,
    )


def _record_shed(app: App, order: GenerationJob, failure: Failure) -> None:
    app.find('timeline', Timeline).record(
        catalogue.REQUEST_SHED, request=order.request, reason=failure.code
    )
