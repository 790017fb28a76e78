"""The HTTP server of a node, as a service."""

import asyncio
import itertools
import uuid
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from ryelatch_core.events import Timeline, catalogue
from ryelatch_core.kernel import App, Service
from ryelatch_core.outcomes import REQUEST_HEADER, Failure, Outcome
from ryelatch_core.settings import Startup
from ryelatch_node.answers import Answers
from ryelatch_node.config import SettingsHolder
from ryelatch_node.front import _admin as admin
from ryelatch_node.front._errors import CallerError, respond_failure
from ryelatch_node.front._meter import Meter
from ryelatch_node.front._model import list_models, serve_model
from ryelatch_node.front._non_model import serve_plain
from ryelatch_node.front._reply import CHAT, TEXT
from ryelatch_node.non_model import Forwarder
from ryelatch_node.upstreams import Upstreams

_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE
_KEEP_ALIVE_SECONDS = 30
_BACKLOG = 4096
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
_POLL_SECONDS = 0.02


class Front:
    """Serves callers until told to stop, and then what is in progress."""

    def __init__(self, app: App, startup: Startup) -> None:
        self.ready = False
        self.draining = False
        self.open_requests = 0
        self.port = 0
        self._app = app
        self._startup = startup
        self._numbers = itertools.count(1)
        self._instance = uuid.uuid4().hex[:6]
        self._server: uvicorn.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and tell the balancer that this node is ready."""
        tls = self._startup.tls
        config = uvicorn.Config(
            self._wrap(self._build()),
            host=self._startup.listen.host,
            port=self._startup.listen.port,
            log_config=None,
            access_log=False,
            lifespan='off',
            http='httptools',
            ws='none',
            server_header=False,
            timeout_keep_alive=_KEEP_ALIVE_SECONDS,
            backlog=_BACKLOG,
            ssl_certfile=tls.certificate if tls else None,
            ssl_keyfile=tls.key if tls else None,
        )
        config.load()
        self._server = uvicorn.Server(config)
        self._server.lifespan = config.lifespan_class(config)
        await self._server.startup()
        listening = self._server.servers[0].sockets[0]
        self.port = listening.getsockname()[1]
        self._task = asyncio.create_task(self._server.main_loop())
        self.ready = True

    async def drain(self) -> None:
        """Refuse nothing, but ask callers to go elsewhere, then wait.

        The balancer sends new connections until it has seen that the node is
        not ready; and callers of kept connections send new requests on them
        until an answer says that the connection closes. Cutting either shows
        as a reset connection at the caller. So everything that still comes
        is answered, with ``Connection: close``, until the notice has passed
        and nothing is in progress.
        """
        self.draining = True
        self._app.find('timeline', Timeline).record(catalogue.NODE_DRAINING)
        await asyncio.sleep(self._startup.drain_notice)
        while self.open_requests:
            await asyncio.sleep(_POLL_SECONDS)

    async def stop(self) -> None:
        """Close the listening port and idle connections."""
        self.ready = False
        if self._server is not None and self._task is not None:
            self._server.should_exit = True
            await self._task
            await self._server.shutdown()

    def _build(self) -> Starlette:
        app = self._app
        routes = [
            Route('/healthz', self._tell_health),
            Route('/readyz', self._tell_ready),
            Route('/metrics', self._tell_metrics),
            Route('/v1/models', list_models(app)),
            Route(
                '/v1/chat/completions', serve_model(app, CHAT), methods=['POST']
            ),
            Route('/v1/completions', serve_model(app, TEXT), methods=['POST']),
            Route('/admin/status', admin.show_status(app)),
            Route('/admin/timeline', admin.show_timeline(app)),
            Route('/admin/drain', admin.drain_node(app), methods=['POST']),
            Route('/{path:path}', serve_plain(app), methods=list(_METHODS)),
        ]
        return Starlette(
            routes=routes,
            exception_handlers={
                CallerError: self._explain,
                Exception: self._apologise,
            },
        )

    def _wrap(self, inner: ASGIApp) -> ASGIApp:
        """Count requests, number them, and close connections in a drain."""

        async def outer(scope: Scope, receive: Receive, send: Send) -> None:
            if scope['type'] != 'http':
                return
            self.open_requests += 1
            number = next(self._numbers)
            scope.setdefault('state', {})['request'] = (
                f'{self._startup.name}-{self._instance}-{number}'
            )
            try:
                await inner(scope, receive, self._mark_closing(send))
            finally:
                self.open_requests -= 1

        return outer

    def _mark_closing(self, send: Send) -> Callable[[Message], Awaitable[None]]:
        async def marked(message: Message) -> None:
            if self.draining and message['type'] == 'http.response.start':
                message['headers'] = [
                    *message.get('headers', ()),
                    (b'connection', b'close'),
                ]
            await send(message)

        return marked

    async def _explain(self, request: Request, error: Exception) -> Response:
        if not isinstance(error, CallerError):
            raise error
        return respond_failure(
            error.failure, {REQUEST_HEADER: request.state.request}
        )

    async def _apologise(self, request: Request, error: Exception) -> Response:
        """Answer where this program itself failed."""
        failure = Failure(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            'internal_error',
            'The router failed.',
            Outcome.UNKNOWN,
            kind='server_error',
        )
        return respond_failure(failure, {REQUEST_HEADER: request.state.request})

    async def _tell_health(self, request: Request) -> Response:
        return PlainTextResponse('ok\n')

    async def _tell_ready(self, request: Request) -> Response:
        revision = self._app.find('settings', SettingsHolder).revision
        if self.draining:
            return PlainTextResponse('draining\n', _UNAVAILABLE)
        if not self.ready or not revision:
            return PlainTextResponse('no settings yet\n', _UNAVAILABLE)
        return PlainTextResponse(f'ready, settings revision {revision}\n')

    async def _tell_metrics(self, request: Request) -> Response:
        exposed = self._app.find('meter', Meter).expose()
        return PlainTextResponse(exposed)


def setup(app: App) -> None:
    """Add the services ``meter`` and ``front``."""
    startup = app.find('startup', Startup)
    answers = app.find('answers', Answers)
    holder = app.find('settings', SettingsHolder)
    upstreams = app.find('upstreams', Upstreams)
    front = Front(app, startup)
    gauges: dict[str, Callable[[], float]] = {
        'answers_running': lambda: answers.running,
        'requests_open': lambda: front.open_requests,
        'settings_revision': lambda: holder.revision,
        'engines_connected': lambda: sum(
            link.usable for link in upstreams.links.values()
        ),
    }
    meter = Meter(app.find('timeline', Timeline), gauges)
    forwarder = Forwarder()
    app.add(Service('meter', meter, ('timeline',)))
    app.add(
        Service(
            'forwarder',
            forwarder,
            start=forwarder.start,
            stop=forwarder.stop,
        )
    )
    app.add(
        Service(
            'front',
            front,
            ('answers', 'admission', 'claims', 'forwarder', 'meter'),
            start=front.start,
            stop=front.stop,
        )
    )
