"""State of one answer in progress: attempts, positions, tokens."""

import asyncio
import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ryelatch_core.outcomes import Failure
from ryelatch_core.pipeline import (
    Chain,
    Receipt,
    Step,
    StepKey,
    matches_step,
    split_prompt,
)
from ryelatch_node.upstreams import EngineLink

END_TOKEN = 0
PREFILL_CHUNK_TOKENS = 256


class Finish(enum.StrEnum):
    """Why an answer was complete, as the clients' API names it."""

    STOP = 'stop'
    LENGTH = 'length'


class AnswerError(Exception):
    """The answer can't be completed.

    :param failure: the error that the client receives.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


@dataclass(frozen=True)
class StageFailure:
    """The failure of a stage, which ends an attempt.

    :param engine: name of the engine that ran the stage.
    """

    engine: str
    reason: str


class Answer:
    """Sends the steps of one request to the engines of its chain.

    This is a state machine driven by receipts; only :meth:`read` waits. Each
    position passes the stages in order. The receipt of the last stage holds
    a token for the client, which is also the input of the next position.

    :param stream: name of the stream, unique over all nodes.
    :param on_attempt_failed: called once for each attempt that fails.
    """

    def __init__(
        self,
        stream: str,
        prompt: tuple[int, ...],
        max_tokens: int,
        priority: int,
        on_attempt_failed: Callable[['Answer', StageFailure], None],
    ) -> None:
        self.stream = stream
        self.prompt = prompt
        self.tokens: list[int] = []
        self.attempt = 0
        self.sent = False
        self.finish: Finish | None = None
        self.failure: Failure | None = None
        self._max_tokens = max_tokens
        self._priority = priority
        self._on_attempt_failed = on_attempt_failed
        self._links: tuple[EngineLink, ...] = ()
        self._chain: Chain = ()
        self._chunks: list[tuple[int, int]] = []
        self._known_tokens: tuple[int, ...] = ()
        self._open_steps: dict[StepKey, int] = {}
        self._returned_count = 0
        self._progress = asyncio.Event()

    @property
    def positions_run(self) -> int:
        """Number of positions that were run for the client so far."""
        return len(self.prompt) + len(self.tokens) if self.sent else 0

    @property
    def finished(self) -> bool:
        """Whether the answer is complete or has failed."""
        return self.finish is not None or self.failure is not None

    def start_attempt(
        self, chain: Chain, links: Mapping[str, EngineLink]
    ) -> None:
        """Start an attempt: prefill all known tokens on a new chain.

        Each attempt builds the KV cache of every layer anew under its own
        attempt number. So each cache entry that a token depends on was
        written exactly once, whatever earlier attempts left in the engines.
        """
        self.attempt += 1
        self.sent = True
        self._chain = chain
        self._links = tuple(links[stage.name] for stage in chain)
        for link in self._links:
            link.streams += 1
        self._open_steps = {}
        self._known_tokens = (*self.prompt, *self.tokens)
        self._chunks = split_prompt(
            len(self._known_tokens), PREFILL_CHUNK_TOKENS
        )
        self._send_chunk()

    async def read(self) -> list[int]:
        """Wait for the next tokens.

        :returns: the tokens since the last call; empty if the answer is
            complete.
        :raises AnswerError: if the answer can't be completed.
        """
        while self._returned_count == len(self.tokens) and not self.finished:
            self._progress.clear()
            await self._progress.wait()
        new_tokens = self.tokens[self._returned_count :]
        self._returned_count = len(self.tokens)
        if not new_tokens and self.failure is not None:
            raise AnswerError(self.failure)
        return new_tokens

    def fail(self, failure: Failure) -> None:
        """Stop with an incomplete answer.

        :param failure: the error that the client receives.
        """
        self.failure = failure
        self.cancel()
        self._progress.set()

    def cancel(self) -> None:
        """Cancel the current attempt on all engines of its chain."""
        for stage, link in enumerate(self._links):
            keys = [
                key for key, index in self._open_steps.items() if index == stage
            ]
            link.cancel(self.stream, self.attempt, keys)
            link.streams -= 1
        self._open_steps = {}
        self._links = ()

    def runs_on(self, engine: str) -> bool:
        """Return whether the current attempt runs on an engine."""
        return any(link.vm.name == engine for link in self._links)

    def move_off(self, engine: str) -> None:
        """Fail the current attempt, as one of its engines is slow."""
        self.cancel()
        self._on_attempt_failed(self, StageFailure(engine, 'slow'))

    def handle_receipt(self, stage: int, step: Step, receipt: Receipt) -> None:
        """Continue with the result of a step that a stage ran."""
        if not self._finish_step(step):
            return
        is_last = stage + 1 == len(self._links)
        lacks_token = is_last and step.sample and not receipt.tokens
        if lacks_token or not matches_step(step, receipt):
            self._fail_attempt(stage, 'receipt')
            return
        if not is_last:
            self._forward(stage + 1, step, receipt)
        elif step.sample:
            self._add_token(receipt.tokens[0])
        if stage == 0 and self._chunks:
            self._send_chunk()

    def handle_failure(self, stage: int, step: Step, reason: str) -> None:
        """Fail the attempt, as a stage gave no result for a step."""
        if self._finish_step(step):
            self._fail_attempt(stage, reason)

    def _finish_step(self, step: Step) -> bool:
        """Remove a step that an engine has responded to.

        An engine that was paused can respond to a step of an earlier
        attempt; its token would be a second one for the same position.

        :returns: whether the step is an open one of the current attempt, so
            that the response must be handled.
        """
        if step.attempt != self.attempt or self.finished:
            return False
        return self._open_steps.pop(step.key, None) is not None

    def _fail_attempt(self, stage: int, reason: str) -> None:
        name = self._chain[stage].name
        self.cancel()
        self._on_attempt_failed(self, StageFailure(name, reason))

    def _send_chunk(self) -> None:
        start, end = self._chunks.pop(0)
        self._send(
            start, self._known_tokens[start:end], sample=not self._chunks
        )

    def _send(
        self,
        position: int,
        tokens: tuple[int, ...],
        sample: bool,
    ) -> None:
        stage = self._chain[0]
        step = Step(
            self.stream,
            self.attempt,
            position,
            len(tokens),
            stage.first,
            stage.last,
            stage.version,
            self._priority,
            sample,
            tokens,
        )
        self._open_steps[step.key] = 0
        self._links[0].send(step, self, 0)

    def _forward(self, index: int, step: Step, receipt: Receipt) -> None:
        stage = self._chain[index]
        next_step = Step(
            step.stream,
            step.attempt,
            step.position,
            step.count,
            stage.first,
            stage.last,
            stage.version,
            step.priority,
            step.sample,
            (),
            receipt.payload,
            receipt.handle,
        )
        self._open_steps[next_step.key] = index
        self._links[index].send(next_step, self, index)

    def _add_token(self, token: int) -> None:
        if token == END_TOKEN:
            self._complete(Finish.STOP)
            return
        self.tokens.append(token)
        if len(self.tokens) >= self._max_tokens:
            self._complete(Finish.LENGTH)
            return
        self._progress.set()
        self._send(
            len(self.prompt) + len(self.tokens) - 1, (token,), sample=True
        )

    def _complete(self, finish: Finish) -> None:
        self.finish = finish
        self.cancel()
        self._progress.set()
