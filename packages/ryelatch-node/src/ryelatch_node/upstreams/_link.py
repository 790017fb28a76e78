"""One connection to one engine, replaced when it fails."""

import asyncio
import contextlib
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import aiohttp

from ryelatch_core.kernel import cancel_task
from ryelatch_core.membership import Vm
from ryelatch_core.pipeline import (
    MAX_FRAME_BYTES,
    Cancel,
    Frame,
    FrameError,
    Hello,
    LatencyTracker,
    Ping,
    Pong,
    Receipt,
    Refusal,
    Step,
    StepKey,
    decode_frames,
    encode_frames,
)

PING_SECONDS = 0.2
SILENT_SECONDS = 0.8
CONNECT_SECONDS = 0.4
STEP_SECONDS = 2.0
_SERVED = 'served'
_OWED = 4096
_IDLE_TURNS = 10
_BACKOFF_SECONDS = (0.05, 0.1, 0.2, 0.5, 1.0)


class Sink(Protocol):
    """Who waits for the answer to a step."""

    def take_receipt(self, stage: int, step: Step, receipt: Receipt) -> None:
        """Take what the engine ran."""

    def fail_stage(self, stage: int, step: Step, reason: str) -> None:
        """Take note that the step will not be answered."""


def _ignore_change(link: 'EngineLink', reason: str) -> None:
    """Take no note of a link that was closed on purpose."""


@dataclass
class _Pending:
    """A step without an answer yet."""

    step: Step
    sink: Sink
    stage: int
    sent: float
    resent: bool = False


class EngineLink:
    """Sends steps to an engine and hands answers to who waits for them.

    :param vm: where the engine is.
    :param on_change: called when it connects, changes or is lost.
    :param on_stray: called with each frame that nobody waits for.
    """

    def __init__(
        self,
        vm: Vm,
        on_change: Callable[['EngineLink', str], None],
        on_stray: Callable[['EngineLink', StepKey], None],
    ) -> None:
        self.vm = vm
        self.hello: Hello | None = None
        self.waiting = 0.0
        self.in_flight = 0
        self.streams = 0
        self.pace = LatencyTracker()
        self._on_change = on_change
        self._on_stray = on_stray
        self._pending: dict[StepKey, _Pending] = {}
        self._outbox: list[Frame] = []
        self._owed: deque[Cancel] = deque(maxlen=_OWED)
        self._filled = asyncio.Event()
        self._asked: float | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def usable(self) -> bool:
        """Whether new work may go to the engine."""
        return self.hello is not None and not self.hello.leaving

    def start(self, session: aiohttp.ClientSession) -> None:
        """Connect, and stay connected until closed."""
        self._task = asyncio.create_task(self._run(session))

    async def close(self) -> None:
        """Give up the connection and all steps in flight."""
        await cancel_task(self._task)
        self._on_change = _ignore_change
        self._lose('closed')

    def send(self, step: Step, sink: Sink, stage: int) -> None:
        """Send a step; its answer goes to the sink."""
        now = self._now()
        self._pending[step.key] = _Pending(step, sink, stage, now)
        self.in_flight += step.count
        self._put(step)

    def cancel(self, stream: str, attempt: int, keys: list[StepKey]) -> None:
        """Forget steps of an attempt here and at the engine."""
        for key in keys:
            self._settle(key)
        if self.hello is None:
            # A frozen engine wakes with the caches of streams that have
            # moved on; it is told when it is connected again.
            self._owed.append(Cancel(stream, attempt))
        else:
            self._put(Cancel(stream, attempt))

    def _put(self, frame: Frame) -> None:
        self._outbox.append(frame)
        self._filled.set()

    def _settle(self, key: StepKey) -> _Pending | None:
        pending = self._pending.pop(key, None)
        if pending is not None:
            self.in_flight -= pending.step.count
        return pending

    async def _run(self, session: aiohttp.ClientSession) -> None:
        failures = 0
        while True:
            connected = self._now()
            reason = await self._connect_once(session)
            lasted = self._now() - connected
            if reason == _SERVED and lasted > SILENT_SECONDS:
                # The engine may live on behind a connection that broke or
                # went silent. It keeps the results of steps by their key, so
                # the same steps are sent again on a new connection before
                # any answer has to be moved to another engine.
                failures = 0
                continue
            self._lose('closed' if reason == _SERVED else reason)
            backoff = min(failures, len(_BACKOFF_SECONDS) - 1)
            await asyncio.sleep(_BACKOFF_SECONDS[backoff])
            failures += 1

    async def _connect_once(self, session: aiohttp.ClientSession) -> str:
        """Serve one connection; tell that, or why there was none."""
        url = f'http://{self.vm.address}/v1/steps'
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                socket = await session.ws_connect(
                    url, max_msg_size=MAX_FRAME_BYTES, autoping=True
                )
        except TimeoutError:
            return 'silent'
        except (aiohttp.ClientError, OSError):
            return 'refused'
        try:
            return await self._serve(socket)
        finally:
            # A close handshake with a silent end would wait in vain.
            with contextlib.suppress(TimeoutError, aiohttp.ClientError):
                async with asyncio.timeout(PING_SECONDS):
                    await socket.close()

    async def _serve(self, socket: aiohttp.ClientWebSocketResponse) -> str:
        first = await self._receive(socket, CONNECT_SECONDS)
        if not first or not isinstance(first[0], Hello):
            return 'silent'
        self._greet(first[0])
        self._outbox = [
            *(pending.step for pending in self._pending.values()),
            *(frame for frame in self._outbox if isinstance(frame, Cancel)),
            *self._owed,
        ]
        self._owed.clear()
        self._filled.set()
        self._asked = None
        tasks = [
            asyncio.create_task(work)
            for work in (
                self._read(socket),
                self._write(socket),
                self._ping(),
            )
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        return _SERVED

    async def _read(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        while frames := await self._receive(socket, None):
            self._asked = None
            for frame in frames:
                self._take(frame)

    async def _receive(
        self,
        socket: aiohttp.ClientWebSocketResponse,
        patience: float | None,
    ) -> list[Frame]:
        """Read a batch; nothing if the connection is lost."""
        try:
            message = await socket.receive(patience)
        except TimeoutError:
            return []
        if message.type is not aiohttp.WSMsgType.BINARY:
            return []
        try:
            return decode_frames(message.data)
        except FrameError:
            return []

    async def _write(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        while True:
            await self._filled.wait()
            self._filled.clear()
            frames = self._outbox
            self._outbox = []
            try:
                await socket.send_bytes(encode_frames(frames))
            except (aiohttp.ClientError, ConnectionError):
                return

    async def _ping(self) -> None:
        """Ask for a sign of life, often while steps are in flight.

        :returns: when the connection has gone silent.
        """
        for turn in itertools.count():
            if self._pending or turn % _IDLE_TURNS == 0:
                self._put(Ping(turn))
                self._asked = self._asked or self._now()
            await asyncio.sleep(PING_SECONDS)
            if self._asked and self._now() - self._asked > SILENT_SECONDS:
                return
            self._check_progress()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _check_progress(self) -> None:
        """Ask again for steps without an answer, then give them up.

        An engine can answer pings and still lose the answer to a step; it
        shows as one stream that stands still among others that move.
        """
        now = self._now()
        late = [
            (key, pending)
            for key, pending in self._pending.items()
            if now - pending.sent > STEP_SECONDS
        ]
        for key, pending in late:
            if pending.resent:
                self._settle(key)
                pending.sink.fail_stage(pending.stage, pending.step, 'late')
            else:
                pending.resent = True
                pending.sent = now
                self._put(pending.step)

    def _greet(self, hello: Hello) -> None:
        known = self.hello
        if known is not None and known.instance != hello.instance:
            self._lose('restarted')
        self.hello = hello
        self._on_change(self, 'hello')

    def _take(self, frame: Frame) -> None:
        match frame:
            case Receipt():
                pending = self._settle(frame.key)
                if pending is None:
                    self._on_stray(self, frame.key)
                else:
                    self._observe(pending)
                    pending.sink.take_receipt(
                        pending.stage, pending.step, frame
                    )
            case Refusal():
                pending = self._settle(frame.key)
                if pending is not None:
                    pending.sink.fail_stage(
                        pending.stage, pending.step, frame.reason
                    )
            case Pong():
                self.waiting = frame.waiting
            case Hello():
                self._greet(frame)

    def _observe(self, pending: _Pending) -> None:
        """Take the time of a single position; chunks take longer."""
        if pending.step.count == 1:
            now = self._now()
            self.pace.observe(now - pending.sent, now)

    def _lose(self, reason: str) -> None:
        was_up = self.hello is not None
        self.hello = None
        self._outbox = []
        lost = list(self._pending.values())
        self._pending.clear()
        self.in_flight = 0
        if was_up:
            self._on_change(self, reason)
        for pending in lost:
            pending.sink.fail_stage(pending.stage, pending.step, reason)
