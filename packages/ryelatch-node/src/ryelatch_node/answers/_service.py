"""The service ``answers``: chooses chains and retries failed attempts."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus

from ryelatch_core.events import Timeline, catalogue
from ryelatch_core.kernel import App, Service, cancel_task
from ryelatch_core.outcomes import Failure, Outcome
from ryelatch_core.pipeline import (
    Candidate,
    Chain,
    LatencyTracker,
    check_chain,
    choose_chain,
    estimate_cost,
    find_typical_latency,
    make_candidate,
)
from ryelatch_core.retries import RetryBudget
from ryelatch_core.settings import Model, Startup
from ryelatch_node.answers._answer import Answer, StageFailure
from ryelatch_node.upstreams import (
    EngineLink,
    LinkChanged,
    RosterChanged,
    Upstreams,
)

MAX_CHAIN_WAIT_SECONDS = 8.0
MAX_ATTEMPTS = 16
RETRY_AFTER_SECONDS = 2
_MAX_JITTER_SECONDS = 3
_CROSS_ZONE_SECONDS = 0.0005
_SLOW_CHECK_SECONDS = 0.5


@dataclass(frozen=True)
class GenerationJob:
    """A validated request for an answer of a model.

    :param request: ID of the request, unique over all nodes.
    :param name: name of the model.
    :param prompt: tokens of the prompt.
    :param max_tokens: largest number of tokens to generate.
    :param deadline: seconds allowed for the complete answer.
    """

    request: str
    name: str
    model: Model
    prompt: tuple[int, ...]
    max_tokens: int
    priority: int
    deadline: float


class Answers:
    """All answers in progress on this node."""

    def __init__(self, app: App, upstreams: Upstreams, zone: str) -> None:
        self._app = app
        self._upstreams = upstreams
        self._zone = zone
        self._timeline = app.find('timeline', Timeline)
        self._jobs: dict[str, GenerationJob] = {}
        self._answers: dict[str, Answer] = {}
        self._budget = RetryBudget()
        self._tasks: set[asyncio.Task[None]] = set()
        self._engines_changed = asyncio.Event()
        self._latency_task: asyncio.Task[None] | None = None
        app.hub.connect(LinkChanged, lambda _: self._notify_engines_changed())
        app.hub.connect(RosterChanged, lambda _: self._notify_engines_changed())

    @property
    def running(self) -> int:
        """Number of answers in progress."""
        return len(self._jobs)

    async def start(self) -> None:
        """Start checking for engines that have become slow."""
        self._latency_task = asyncio.create_task(self._watch_latency())

    async def stop(self) -> None:
        """Stop checking for slow engines."""
        await cancel_task(self._latency_task)

    def open(self, job: GenerationJob) -> Answer:
        """Start an answer; the caller must close it after reading."""
        answer = Answer(
            job.request,
            job.prompt,
            job.max_tokens,
            job.priority,
            self._retry_attempt,
        )
        self._jobs[job.request] = job
        self._answers[job.request] = answer
        self._budget.earn()
        self._spawn_attempt(answer, frozenset())
        return answer

    def close(self, answer: Answer) -> None:
        """Remove an answer; if it isn't complete, cancel its steps."""
        self._jobs.pop(answer.stream, None)
        self._answers.pop(answer.stream, None)
        if not answer.finished:
            answer.fail(self._make_failure(answer, 'caller-gone'))

    def _make_failure(self, answer: Answer, code: str) -> Failure:
        """Make the error for a client whose answer can't be completed.

        The outcome is ``not-run`` only if no step was sent to an engine;
        otherwise an engine may have run a part of the request. The retry delay
        contains jitter, because many answers can fail at the same time, and
        their clients would otherwise retry at the same time.

        :param code: code of the error that the client receives.
        """
        jitter = _MAX_JITTER_SECONDS * self._app.random_source.random()
        return Failure(
            HTTPStatus.SERVICE_UNAVAILABLE,
            code,
            'The model can not answer now; ask again later.',
            Outcome.UNKNOWN if answer.sent else Outcome.NOT_RUN,
            RETRY_AFTER_SECONDS + jitter,
            'server_error',
        )

    def _retry_attempt(self, answer: Answer, failed: StageFailure) -> None:
        self._timeline.record(
            catalogue.CHAIN_LOST,
            request=answer.stream,
            attempt=answer.attempt,
            upstream=failed.engine,
            reason=failed.reason,
            tokens=len(answer.tokens),
        )
        if failed.reason == 'receipt':
            self._timeline.record(
                catalogue.RECEIPT_REFUSED,
                request=answer.stream,
                upstream=failed.engine,
            )
        if answer.attempt >= MAX_ATTEMPTS:
            answer.fail(self._make_failure(answer, 'too-many-attempts'))
            return
        self._spawn_attempt(answer, frozenset((failed.engine,)))

    def _spawn_attempt(self, answer: Answer, avoided: frozenset[str]) -> None:
        task = asyncio.create_task(self._run_attempt(answer, avoided))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_attempt(
        self, answer: Answer, avoided: frozenset[str]
    ) -> None:
        job = self._jobs.get(answer.stream)
        if job is None or answer.finished:
            return
        chain = await self._wait_for_chain(job, avoided)
        if answer.finished or answer.stream not in self._jobs:
            return
        if chain is None:
            answer.fail(self._make_failure(answer, 'no-chain'))
            return
        self._timeline.record(
            catalogue.CHAIN_CHOSEN,
            request=answer.stream,
            attempt=answer.attempt + 1,
            chain=','.join(stage.name for stage in chain),
            tokens=len(answer.tokens),
        )
        answer.start_attempt(chain, self._upstreams.links)

    async def _wait_for_chain(
        self,
        job: GenerationJob,
        avoided: frozenset[str],
    ) -> Chain | None:
        """Choose a chain, or wait until the available engines form one.

        :param avoided: names of engines to use only if there is no chain
            without them.
        :returns: ``None`` if no chain is available in time.
        """
        loop = asyncio.get_running_loop()
        chain_deadline = loop.time() + min(MAX_CHAIN_WAIT_SECONDS, job.deadline)
        while True:
            self._engines_changed.clear()
            chain = self._choose_chain(job, avoided)
            if chain is None and avoided:
                # The engine that failed may be the only one with its layers,
                # for example after an immediate restart.
                chain = self._choose_chain(job, frozenset())
            if chain is not None:
                return chain
            time_left = chain_deadline - loop.time()
            if time_left <= 0:
                return None
            try:
                await asyncio.wait_for(self._engines_changed.wait(), time_left)
            except TimeoutError:
                return None

    def _choose_chain(
        self,
        job: GenerationJob,
        avoided: frozenset[str],
    ) -> Chain | None:
        links = self._upstreams.list_engines(job.name)
        now = asyncio.get_running_loop().time()
        typical = _compute_typical_latencies(links, now)
        candidates = [
            self._make_candidate(link, typical[_layer_range(link)], now)
            for link in links
            if link.vm.name not in avoided
        ]
        model = job.model
        chosen = choose_chain(candidates, model.layers, model.version, {})
        checked = chosen.and_then(
            lambda chain: check_chain(chain, model.layers, model.version)
        )
        return chosen.unwrap() if checked.is_ok() else None

    def _make_candidate(
        self, link: EngineLink, typical: float, now: float
    ) -> Candidate:
        """Make a candidate of an engine, with the cost of a step on it.

        Activations pass through this node. So the cost depends on the
        distance of an engine to this node, not to the previous engine.
        """
        hello = link.hello
        if hello is None:
            raise ValueError(f'{link.vm.name} is not connected')
        cost = estimate_cost(
            link.latency_tracker,
            typical,
            link.streams,
            link.waiting,
            hello.rate,
            now,
        )
        zone_cost = 0 if link.vm.zone == self._zone else _CROSS_ZONE_SECONDS
        return make_candidate(hello, link.vm.zone, cost + zone_cost)

    async def _watch_latency(self) -> None:
        """Move answers off engines that have become slow.

        A slow engine, or a network path that loses packets, causes no error;
        its streams only take longer than others. Each move costs a prefill
        on other engines, so the retry budget limits the moves.
        """
        while True:
            await asyncio.sleep(_SLOW_CHECK_SECONDS)
            now = asyncio.get_running_loop().time()
            links = [
                link for link in self._upstreams.links.values() if link.usable
            ]
            typical = _compute_typical_latencies(links, now)
            for link in links:
                if link.latency_tracker.is_slow(
                    typical[_layer_range(link)], now
                ):
                    self._move_off(link)

    def _move_off(self, link: EngineLink) -> None:
        name = link.vm.name
        affected = [
            running
            for running in self._answers.values()
            if running.runs_on(name)
        ]
        for answer in affected:
            job = self._jobs[answer.stream]
            alternative = self._choose_chain(job, frozenset((name,)))
            if alternative is None or not self._budget.spend():
                return
            self._timeline.record(
                catalogue.CHAIN_MOVED,
                request=answer.stream,
                upstream=name,
                latency=round(link.latency_tracker.latency, 4),
            )
            answer.move_off(name)

    def _notify_engines_changed(self) -> None:
        self._engines_changed.set()


def _layer_range(link: EngineLink) -> tuple[int, int]:
    return (link.hello.first, link.hello.last) if link.hello else (0, 0)


def _compute_typical_latencies(
    links: list[EngineLink],
    now: float,
) -> dict[tuple[int, int], float]:
    """Compute the typical step latency for each range of layers."""
    by_range: dict[tuple[int, int], list[LatencyTracker]] = {}
    for link in links:
        by_range.setdefault(_layer_range(link), []).append(link.latency_tracker)
    return {
        layers: find_typical_latency(trackers, now)
        for layers, trackers in by_range.items()
    }


def setup(app: App) -> None:
    """Add the service ``answers``."""
    upstreams = app.find('upstreams', Upstreams)
    zone = app.find('startup', Startup).zone
    answers = Answers(app, upstreams, zone)
    app.add(
        Service(
            'answers',
            answers,
            ('upstreams',),
            start=answers.start,
            stop=answers.stop,
        )
    )
