"""Answers as a service: chains for attempts, and attempts after losses."""

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
from ryelatch_node.answers._answer import Answer, Loss
from ryelatch_node.upstreams import (
    EngineLink,
    LinkChanged,
    RosterChanged,
    Upstreams,
)

PATIENCE_SECONDS = 8.0
MAX_ATTEMPTS = 16
RETRY_AFTER_SECONDS = 2
_JITTER_SECONDS = 3
_HOP_SECONDS = 0.0005
_PACE_SECONDS = 0.5


@dataclass(frozen=True)
class GenerationJob:
    """What a caller asked for, checked and admitted.

    :param deadline: seconds for the whole answer.
    """

    request: str
    name: str
    model: Model
    prompt: tuple[int, ...]
    max_tokens: int
    priority: int
    deadline: float


class Answers:
    """All answers in progress at this node."""

    def __init__(self, app: App, upstreams: Upstreams, zone: str) -> None:
        self._app = app
        self._upstreams = upstreams
        self._zone = zone
        self._timeline = app.find('timeline', Timeline)
        self._orders: dict[str, GenerationJob] = {}
        self._answers: dict[str, Answer] = {}
        self._budget = RetryBudget()
        self._tasks: set[asyncio.Task[None]] = set()
        self._moved = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        app.hub.connect(LinkChanged, lambda _: self._note_move())
        app.hub.connect(RosterChanged, lambda _: self._note_move())

    @property
    def running(self) -> int:
        """How many answers are in progress."""
        return len(self._orders)

    async def start(self) -> None:
        """Start looking for engines that have become slow."""
        self._task = asyncio.create_task(self._watch_pace())

    async def stop(self) -> None:
        """Stop looking."""
        await cancel_task(self._task)

    def open(self, order: GenerationJob) -> Answer:
        """Start an answer; read it, then close it."""
        answer = Answer(
            order.request,
            order.prompt,
            order.max_tokens,
            order.priority,
            self._recover,
        )
        self._orders[order.request] = order
        self._answers[order.request] = answer
        self._budget.earn()
        self._spawn(answer, frozenset())
        return answer

    def close(self, answer: Answer) -> None:
        """End an answer, whole or not, and its work upstream."""
        self._orders.pop(answer.stream, None)
        self._answers.pop(answer.stream, None)
        if not answer.finished:
            answer.give_up(self._fail(answer, 'caller-gone'))

    def _fail(self, answer: Answer, code: str) -> Failure:
        """Tell a caller that the answer will not be whole.

        Without a step sent, no engine ran anything, for certain. Callers cut
        off together would come back together; the jitter spreads them.
        """
        spread = _JITTER_SECONDS * self._app.random_source.random()
        return Failure(
            HTTPStatus.SERVICE_UNAVAILABLE,
            code,
            'The model can not answer now; ask again later.',
            Outcome.UNKNOWN if answer.sent else Outcome.NOT_RUN,
            RETRY_AFTER_SECONDS + spread,
            'server_error',
        )

    def _recover(self, answer: Answer, loss: Loss) -> None:
        self._timeline.record(
            catalogue.CHAIN_LOST,
            request=answer.stream,
            attempt=answer.attempt,
            upstream=loss.engine,
            reason=loss.reason,
            tokens=len(answer.tokens),
        )
        if loss.reason == 'receipt':
            self._timeline.record(
                catalogue.RECEIPT_REFUSED,
                request=answer.stream,
                upstream=loss.engine,
            )
        if answer.attempt >= MAX_ATTEMPTS:
            answer.give_up(self._fail(answer, 'too-many-attempts'))
            return
        self._spawn(answer, frozenset((loss.engine,)))

    def _spawn(self, answer: Answer, avoided: frozenset[str]) -> None:
        task = asyncio.create_task(self._begin(answer, avoided))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _begin(self, answer: Answer, avoided: frozenset[str]) -> None:
        order = self._orders.get(answer.stream)
        if order is None or answer.finished:
            return
        chain = await self._wait_chain(order, avoided)
        if answer.finished or answer.stream not in self._orders:
            return
        if chain is None:
            answer.give_up(self._fail(answer, 'no-chain'))
            return
        self._timeline.record(
            catalogue.CHAIN_CHOSEN,
            request=answer.stream,
            attempt=answer.attempt + 1,
            chain=','.join(stage.name for stage in chain),
            tokens=len(answer.tokens),
        )
        answer.begin(chain, self._upstreams.links)

    async def _wait_chain(
        self,
        order: GenerationJob,
        avoided: frozenset[str],
    ) -> Chain | None:
        """Find a chain, or wait a while for an engine to take the place."""
        loop = asyncio.get_running_loop()
        patience = loop.time() + min(PATIENCE_SECONDS, order.deadline)
        while True:
            self._moved.clear()
            chain = self._find_chain(order, avoided)
            if chain is None and avoided:
                # The lost engine may be the only one left for its layers,
                # such as one that restarted at once.
                chain = self._find_chain(order, frozenset())
            if chain is not None:
                return chain
            left = patience - loop.time()
            if left <= 0:
                return None
            try:
                await asyncio.wait_for(self._moved.wait(), left)
            except TimeoutError:
                return None

    def _find_chain(
        self,
        order: GenerationJob,
        avoided: frozenset[str],
    ) -> Chain | None:
        links = self._upstreams.list_engines(order.name)
        now = asyncio.get_running_loop().time()
        usual = _find_usual(links, now)
        offers = [
            self._offer(link, usual[_range_of(link)], now)
            for link in links
            if link.vm.name not in avoided
        ]
        model = order.model
        chosen = choose_chain(offers, model.layers, model.version, {})
        checked = chosen.and_then(
            lambda chain: check_chain(chain, model.layers, model.version)
        )
        return chosen.unwrap() if checked.is_ok() else None

    def _offer(self, link: EngineLink, usual: float, now: float) -> Candidate:
        """Say what a step would cost on an engine.

        Activations pass through this node, so what counts is how far each
        engine is from it, not from the engine before.
        """
        hello = link.hello
        if hello is None:
            raise ValueError(f'{link.vm.name} is not connected')
        cost = estimate_cost(
            link.pace, usual, link.streams, link.waiting, hello.rate, now
        )
        far = 0 if link.vm.zone == self._zone else _HOP_SECONDS
        return make_candidate(hello, link.vm.zone, cost + far)

    async def _watch_pace(self) -> None:
        """Move answers off engines that have become slow, a few at a time.

        A slow engine, or a link that loses packets, fails nothing; it shows
        as some streams that crawl while others run. Each move costs a
        prefill elsewhere, so moves come out of the budget of retries.
        """
        while True:
            await asyncio.sleep(_PACE_SECONDS)
            now = asyncio.get_running_loop().time()
            links = [
                link for link in self._upstreams.links.values() if link.usable
            ]
            usual = _find_usual(links, now)
            for link in links:
                if link.pace.is_slow(usual[_range_of(link)], now):
                    self._move_off(link)

    def _move_off(self, link: EngineLink) -> None:
        name = link.vm.name
        users = [one for one in self._answers.values() if one.uses(name)]
        for answer in users:
            order = self._orders[answer.stream]
            spare = self._find_chain(order, frozenset((name,)))
            if spare is None or not self._budget.spend():
                return
            self._timeline.record(
                catalogue.CHAIN_MOVED,
                request=answer.stream,
                upstream=name,
                latency=round(link.pace.latency, 4),
            )
            answer.leave(name)

    def _note_move(self) -> None:
        self._moved.set()


def _range_of(link: EngineLink) -> tuple[int, int]:
    return (link.hello.first, link.hello.last) if link.hello else (0, 0)


def _find_usual(
    links: list[EngineLink],
    now: float,
) -> dict[tuple[int, int], float]:
    """Find the usual latency for each range of layers."""
    by_range: dict[tuple[int, int], list[LatencyTracker]] = {}
    for link in links:
        by_range.setdefault(_range_of(link), []).append(link.pace)
    return {
        layers: find_typical_latency(paces, now)
        for layers, paces in by_range.items()
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
