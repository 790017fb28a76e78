"""One answer in progress: attempts, positions, tokens."""

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
CHUNK = 256


class Finish(enum.StrEnum):
    """Why an answer ended, in the words of the callers' interface."""

    STOP = 'stop'
    LENGTH = 'length'


class AnswerError(Exception):
    """The answer can't be completed.

    :param failure: what the caller is told.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


@dataclass(frozen=True)
class Loss:
    """A stage of an attempt that was lost.

    :param engine: its name.
    """

    engine: str
    reason: str


class Answer:
    """Drives the steps of one request; a state machine without waiting.

    Each position goes through the stages in order. A receipt of the last
    stage is a token for the caller, and the input of the next position.

    :param stream: name of the stream, unique over all nodes.
    :param on_lost: called once when the attempt can't go on.
    """

    def __init__(
        self,
        stream: str,
        prompt: tuple[int, ...],
        max_tokens: int,
        priority: int,
        on_lost: Callable[['Answer', Loss], None],
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
        self._on_lost = on_lost
        self._links: tuple[EngineLink, ...] = ()
        self._chain: Chain = ()
        self._chunks: list[tuple[int, int]] = []
        self._history: tuple[int, ...] = ()
        self._open_steps: dict[StepKey, int] = {}
        self._delivered = 0
        self._news = asyncio.Event()

    @property
    def work(self) -> int:
        """Positions run for the caller so far."""
        return len(self.prompt) + len(self.tokens) if self.sent else 0

    @property
    def finished(self) -> bool:
        """Whether nothing more will be produced."""
        return self.finish is not None or self.failure is not None

    def begin(self, chain: Chain, links: Mapping[str, EngineLink]) -> None:
        """Start an attempt: run all that is known so far on a new chain.

        Each attempt builds the KV cache of every layer anew under its own
        number. So an entry of the cache that a token came from was made once,
        whatever earlier attempts left in the engines.
        """
        self.attempt += 1
        self.sent = True
        self._chain = chain
        self._links = tuple(links[stage.name] for stage in chain)
        for link in self._links:
            link.streams += 1
        self._open_steps = {}
        self._history = (*self.prompt, *self.tokens)
        self._chunks = split_prompt(len(self._history), CHUNK)
        self._send_chunk()

    async def read(self) -> list[int]:
        """Wait for the next tokens; none at the end.

        :raises AnswerError: if the answer can't be completed.
        """
        while self._delivered == len(self.tokens) and not self.finished:
            self._news.clear()
            await self._news.wait()
        fresh = self.tokens[self._delivered :]
        self._delivered = len(self.tokens)
        if not fresh and self.failure is not None:
            raise AnswerError(self.failure)
        return fresh

    def give_up(self, failure: Failure) -> None:
        """End without a whole answer."""
        self.failure = failure
        self.cancel()
        self._news.set()

    def cancel(self) -> None:
        """Stop all work upstream for this stream."""
        for stage, link in enumerate(self._links):
            keys = [key for key, at in self._open_steps.items() if at == stage]
            link.cancel(self.stream, self.attempt, keys)
            link.streams -= 1
        self._open_steps = {}
        self._links = ()

    def uses(self, engine: str) -> bool:
        """Tell whether the attempt in progress runs on an engine."""
        return any(link.vm.name == engine for link in self._links)

    def leave(self, engine: str) -> None:
        """Give up the attempt, as one of its engines is no good."""
        self.cancel()
        self._on_lost(self, Loss(engine, 'slow'))

    def take_receipt(self, stage: int, step: Step, receipt: Receipt) -> None:
        """Go on from what a stage ran."""
        if not self._close_step(step):
            return
        if not matches_step(step, receipt):
            self._lose(stage, 'receipt')
            return
        if stage + 1 < len(self._links):
            self._forward(stage + 1, step, receipt)
        elif step.sample:
            self._deliver(receipt.tokens)
        if stage == 0 and self._chunks:
            self._send_chunk()

    def fail_stage(self, stage: int, step: Step, reason: str) -> None:
        """Give up the attempt, as a stage of it is lost."""
        if self._close_step(step):
            self._lose(stage, reason)

    def _close_step(self, step: Step) -> bool:
        """Tell whether a step belongs to the attempt in progress.

        A stage that was frozen can answer a step of an attempt that was
        given up; its token would be a second one for the same position.
        """
        if step.attempt != self.attempt or self.finished:
            return False
        return self._open_steps.pop(step.key, None) is not None

    def _lose(self, stage: int, reason: str) -> None:
        name = self._chain[stage].name
        self.cancel()
        self._on_lost(self, Loss(name, reason))

    def _send_chunk(self) -> None:
        start, end = self._chunks.pop(0)
        self._send(start, self._history[start:end], sample=not self._chunks)

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
        following = Step(
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
        self._open_steps[following.key] = index
        self._links[index].send(following, self, index)

    def _deliver(self, tokens: tuple[int, ...]) -> None:
        token = tokens[0] if tokens else END_TOKEN
        if token == END_TOKEN:
            self._end(Finish.STOP)
            return
        self.tokens.append(token)
        if len(self.tokens) >= self._max_tokens:
            self._end(Finish.LENGTH)
            return
        self._news.set()
        self._send(
            len(self.prompt) + len(self.tokens) - 1, (token,), sample=True
        )

    def _end(self, finish: Finish) -> None:
        self.finish = finish
        self.cancel()
        self._news.set()
