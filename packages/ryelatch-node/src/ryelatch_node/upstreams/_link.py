"""The connection to an engine, opened again whenever it fails."""

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

PING_INTERVAL_SECONDS = 0.2
PING_TIMEOUT_SECONDS = 0.8
CONNECT_TIMEOUT_SECONDS = 0.4
STEP_TIMEOUT_SECONDS = 2.0
_SERVED = 'served'
_MAX_DEFERRED_CANCELS = 4096
_IDLE_PING_TURNS = 10
_BACKOFF_SECONDS = (0.05, 0.1, 0.2, 0.5, 1.0)


class StepHandler(Protocol):
    """Receives the result of a step."""

    def handle_receipt(self, stage: int, step: Step, receipt: Receipt) -> None:
        """Handle the receipt for a step that the engine ran."""

    def handle_failure(self, stage: int, step: Step, reason: str) -> None:
        """Handle a step for which no receipt will come."""


def _ignore_change(link: 'EngineLink', reason: str) -> None:
    """Ignore changes of a link that this node closed."""


@dataclass
class _PendingStep:
    """A step that has no receipt yet.

    :param sent: monotonic seconds when it was last sent.
    """

    step: Step
    handler: StepHandler
    stage: int
    sent: float
    resent: bool = False


class EngineLink:
    """Sends steps to an engine and passes receipts to their handlers.

    :param vm: the VM of the engine.
    :param on_change: called with a reason when the engine connects, changes
        or is lost.
    :param on_unmatched: called with the key of each receipt for which there
        is no pending step.
    """

    def __init__(
        self,
        vm: Vm,
        on_change: Callable[['EngineLink', str], None],
        on_unmatched: Callable[['EngineLink', StepKey], None],
    ) -> None:
        self.vm = vm
        self.hello: Hello | None = None
        self.waiting = 0.0
        self.in_flight = 0
        self.streams = 0
        self.latency_tracker = LatencyTracker()
        self._on_change = on_change
        self._on_unmatched = on_unmatched
        self._pending: dict[StepKey, _PendingStep] = {}
        self._outbox: list[Frame] = []
        self._deferred_cancels: deque[Cancel] = deque(
            maxlen=_MAX_DEFERRED_CANCELS
        )
        self._filled = asyncio.Event()
        self._pinged_at: float | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def usable(self) -> bool:
        """Whether the engine may get new work."""
        return self.hello is not None and not self.hello.leaving

    def start(self, session: aiohttp.ClientSession) -> None:
        """Connect, and connect again after each loss until closed."""
        self._task = asyncio.create_task(self._run(session))

    async def close(self) -> None:
        """Close the connection and fail all pending steps."""
        await cancel_task(self._task)
        self._on_change = _ignore_change
        self._mark_lost('closed')

    def send(self, step: Step, handler: StepHandler, stage: int) -> None:
        """Send a step; the handler receives its result."""
        now = self._now()
        self._pending[step.key] = _PendingStep(step, handler, stage, now)
        self.in_flight += step.count
        self._enqueue(step)

    def cancel(self, stream: str, attempt: int, keys: list[StepKey]) -> None:
        """Cancel an attempt here and on the engine."""
        for key in keys:
            self._remove_pending(key)
        if self.hello is None:
            # An engine that was paused still holds the caches of streams
            # that run elsewhere now. It gets the cancellation when it is
            # connected again.
            self._deferred_cancels.append(Cancel(stream, attempt))
        else:
            self._enqueue(Cancel(stream, attempt))

    def _enqueue(self, frame: Frame) -> None:
        self._outbox.append(frame)
        self._filled.set()

    def _remove_pending(self, key: StepKey) -> _PendingStep | None:
        pending = self._pending.pop(key, None)
        if pending is not None:
            self.in_flight -= pending.step.count
        return pending

    async def _run(self, session: aiohttp.ClientSession) -> None:
        failures = 0
        while True:
            connected = self._now()
            reason = await self._connect_once(session)
            duration = self._now() - connected
            if reason == _SERVED and duration > PING_TIMEOUT_SECONDS:
                # The engine may still run although the connection broke or
                # became unresponsive. It keeps the results of steps by their
                # key. So the same steps are sent again on a new connection
                # before any answer is moved to another engine.
                failures = 0
                continue
            self._mark_lost('closed' if reason == _SERVED else reason)
            backoff = min(failures, len(_BACKOFF_SECONDS) - 1)
            await asyncio.sleep(_BACKOFF_SECONDS[backoff])
            failures += 1

    async def _connect_once(self, session: aiohttp.ClientSession) -> str:
        """Open one connection and serve it until it ends.

        :returns: ``served``, or the reason why there was no connection.
        """
        url = f'http://{self.vm.address}/v1/steps'
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
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
            # An unresponsive engine would never complete the close handshake.
            with contextlib.suppress(TimeoutError, aiohttp.ClientError):
                async with asyncio.timeout(PING_INTERVAL_SECONDS):
                    await socket.close()

    async def _serve(self, socket: aiohttp.ClientWebSocketResponse) -> str:
        first = await self._receive(socket, CONNECT_TIMEOUT_SECONDS)
        if not first or not isinstance(first[0], Hello):
            return 'silent'
        self._apply_hello(first[0])
        self._outbox = [
            *(pending.step for pending in self._pending.values()),
            *(frame for frame in self._outbox if isinstance(frame, Cancel)),
            *self._deferred_cancels,
        ]
        self._deferred_cancels.clear()
        self._filled.set()
        self._pinged_at = None
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
            self._pinged_at = None
            for frame in frames:
                self._handle_frame(frame)

    async def _receive(
        self,
        socket: aiohttp.ClientWebSocketResponse,
        timeout: float | None,
    ) -> list[Frame]:
        """Read a batch of frames; empty if the connection is lost."""
        try:
            message = await socket.receive(timeout)
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
        """Send pings, more often while steps are pending.

        Returns when the engine has not responded for too long.
        """
        for turn in itertools.count():
            if self._pending or turn % _IDLE_PING_TURNS == 0:
                self._enqueue(Ping(turn))
                self._pinged_at = self._pinged_at or self._now()
            await asyncio.sleep(PING_INTERVAL_SECONDS)
            if (
                self._pinged_at
                and self._now() - self._pinged_at > PING_TIMEOUT_SECONDS
            ):
                return
            self._check_late_steps()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _check_late_steps(self) -> None:
        """Send overdue steps once more, and fail those that stay overdue.

        An engine can answer pings and still lose the receipt of a step: one
        stream then makes no progress while others do.
        """
        now = self._now()
        late = [
            (key, pending)
            for key, pending in self._pending.items()
            if now - pending.sent > STEP_TIMEOUT_SECONDS
        ]
        for key, pending in late:
            if pending.resent:
                self._remove_pending(key)
                pending.handler.handle_failure(
                    pending.stage, pending.step, 'late'
                )
            else:
                pending.resent = True
                pending.sent = now
                self._enqueue(pending.step)

    def _apply_hello(self, hello: Hello) -> None:
        known = self.hello
        if known is not None and known.instance != hello.instance:
            self._mark_lost('restarted')
        self.hello = hello
        self._on_change(self, 'hello')

    def _handle_frame(self, frame: Frame) -> None:
        match frame:
            case Receipt():
                pending = self._remove_pending(frame.key)
                if pending is None:
                    self._on_unmatched(self, frame.key)
                else:
                    self._record_latency(pending)
                    pending.handler.handle_receipt(
                        pending.stage, pending.step, frame
                    )
            case Refusal():
                pending = self._remove_pending(frame.key)
                if pending is not None:
                    pending.handler.handle_failure(
                        pending.stage, pending.step, frame.reason
                    )
            case Pong():
                self.waiting = frame.waiting
            case Hello():
                self._apply_hello(frame)

    def _record_latency(self, pending: _PendingStep) -> None:
        """Record the latency of a single position; chunks take longer."""
        if pending.step.count == 1:
            now = self._now()
            self.latency_tracker.observe(now - pending.sent, now)

    def _mark_lost(self, reason: str) -> None:
        was_up = self.hello is not None
        self.hello = None
        self._outbox = []
        unfinished = list(self._pending.values())
        self._pending.clear()
        self.in_flight = 0
        if was_up:
            self._on_change(self, reason)
        for pending in unfinished:
            pending.handler.handle_failure(pending.stage, pending.step, reason)
