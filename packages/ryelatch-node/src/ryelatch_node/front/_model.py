"""Requests to a model, from the body to the last token."""

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

_PROMPT_COST = 0.1
_DISCONNECT = 'http.disconnect'
_GONE = Failure(
    # Nobody reads it.
    HTTPStatus.REQUEST_TIMEOUT,
    'caller_gone',
    'The caller closed its connection.',
)

Endpoint = Callable[[Request], Coroutine[Any, Any, Response]]


@dataclass(frozen=True)
class _Running:
    """An admitted request and what has to be given back at its end."""

    order: GenerationJob
    answer: Answer
    granted: AdmissionSlot
    started: float


def estimate_work(prompt: int, generated: int) -> float:
    """Estimate what a request costs, in generated tokens.

    Engines run the positions of a prompt in batches, which costs about a
    tenth of a position generated.
    """
    return prompt * _PROMPT_COST + generated


def serve_model(app: App, shape: replies.Shape) -> Endpoint:
    """Make the endpoint of one of the two interfaces."""

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
        admitted = await _unless_gone(
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
        running = _Running(order, answer, admitted.unwrap(), started)
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


async def _unless_gone(request: Request, work: Coroutine[Any, Any, Any]) -> Any:
    """Wait for a result, or end the wait when the caller has gone."""
    task = asyncio.ensure_future(work)
    gone = asyncio.ensure_future(_wait_gone(request))
    try:
        await asyncio.wait({task, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise CallerError(_GONE)
        return task.result()
    finally:
        for waiting in (task, gone):
            waiting.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await waiting


async def _wait_gone(request: Request) -> None:
    message = await request.receive()
    while message['type'] != _DISCONNECT:
        message = await request.receive()


async def _collect(
    app: App,
    shape: replies.Shape,
    running: _Running,
    request: Request,
) -> Response:
    """Answer in one piece."""
    outcome = Outcome.UNKNOWN
    try:
        await _unless_gone(request, _read_all(running))
        outcome = Outcome.COMPLETE
    except AnswerError as error:
        outcome = error.failure.outcome
        raise CallerError(error.failure) from error
    finally:
        _end(app, running, outcome)
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


async def _read_all(running: _Running) -> None:
    async with _bound(running.order.deadline):
        fresh = await running.answer.read()
        while fresh:
            fresh = await running.answer.read()


@contextlib.asynccontextmanager
async def _bound(seconds: float) -> AsyncIterator[None]:
    """Turn a passed deadline into the answer that the caller gets."""
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
    running: _Running,
    *,
    usage: bool,
) -> Response:
    """Answer token by token.

    The response starts with the first tokens, so that what fails before has
    its own status.
    """
    try:
        async with _bound(running.order.deadline):
            first = await running.answer.read()
    except asyncio.CancelledError:
        _end(app, running, Outcome.UNKNOWN)
        raise
    except AnswerError as error:
        _end(app, running, error.failure.outcome)
        raise CallerError(error.failure) from error
    elapsed = app.clock.monotonic() - running.started
    app.find('meter', Meter).note_first(elapsed)
    writer = replies.ChunkWriter(shape, running.answer, running.order.name)
    return replies.EventStream(
        _generate(app, running, writer, first, usage=usage),
        {REQUEST_HEADER: running.order.request, 'cache-control': 'no-cache'},
        lambda: _drop(app, running),
    )


async def _generate(
    app: App,
    running: _Running,
    writer: replies.ChunkWriter,
    fresh: list[int],
    *,
    usage: bool,
) -> AsyncGenerator[bytes, None]:
    """Write the events of an answer whose first tokens are there."""
    outcome = Outcome.UNKNOWN
    lead = writer.write_start()
    try:
        async with _bound(running.order.deadline):
            while fresh:
                yield lead + writer.write_tokens(fresh)
                lead = b''
                fresh = await running.answer.read()
        yield lead + writer.write_end(usage=usage)
        outcome = Outcome.COMPLETE
    except AnswerError as error:
        outcome = error.failure.outcome
        yield writer.write_failure(error)
    finally:
        _end(app, running, outcome)


def _drop(app: App, running: _Running) -> None:
    """End the work of a caller that is gone."""
    if not running.answer.finished:
        app.find('timeline', Timeline).record(
            catalogue.CALLER_GONE, request=running.order.request
        )
        app.find('answers', Answers).close(running.answer)


def _end(app: App, running: _Running, outcome: Outcome) -> None:
    """Give back what the request held and record its one outcome."""
    app.find('answers', Answers).close(running.answer)
    answer = running.answer
    work = estimate_work(len(answer.prompt), len(answer.tokens))
    app.find('admission', Admission).release(
        running.granted, work if answer.sent else 0
    )
    elapsed = app.clock.monotonic() - running.started
    app.find('meter', Meter).note_end(elapsed, len(answer.tokens), outcome)
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
