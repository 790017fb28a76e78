"""HTTP server of a node, and the setup of its services."""

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
from ryelatch_core.kernel import App, Service, cancel_task
from ryelatch_core.outcomes import REQUEST_HEADER, Failure, Outcome
from ryelatch_core.settings import Startup
from ryelatch_node.answers import Answers
from ryelatch_node.config import SettingsHolder
from ryelatch_node.front import _admin as admin
from ryelatch_node.front import _connections as connections
from ryelatch_node.front._errors import CallerError, respond_failure
from ryelatch_node.front._meter import Meter
from ryelatch_node.front._model import list_models, serve_model
from ryelatch_node.front._non_model import serve_non_model
from ryelatch_node.front._reply import CHAT, TEXT
from ryelatch_node.non_model import Forwarder
from ryelatch_node.upstreams import Upstreams

_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
_POLL_SECONDS = 0.02


class HttpServer:
    """Serves HTTP requests, and drains them before the node stops."""

    def __init__(self, app: App, startup: Startup) -> None:
        self.ready = False
        self.draining = False
        self.open_requests = 0
        self.port = 0
        self._app = app
        self._startup = startup
        self._request_numbers = itertools.count(1)
        self._instance = uuid.uuid4().hex[:6]
        self._server: uvicorn.Server | None = None
        self._task: asyncio.Task[None] | None = None
        self._checking: asyncio.Task[None] | None = None
        self._resources = connections.make_resources(app)

    async def start(self) -> None:
        """Listen, and report to the load balancer that this node is ready."""
        tls = self._startup.tls
        config = uvicorn.Config(
            self._track_requests(self._build_application()),
            host=self._startup.listen.host,
            port=self._startup.listen.port,
            log_config=None,
            access_log=False,
            lifespan='off',
            http=connections.make_factory(self._resources),  # type: ignore[arg-type]
            ws='none',
            server_header=False,
            timeout_keep_alive=connections.IDLE_SECONDS,
            backlog=connections.BACKLOG,
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
        self._checking = asyncio.create_task(
            connections.check_connections(self._resources)
        )
        self.ready = True

    async def drain(self) -> None:
        """Wait until clients have moved away and no request is in progress.

        The load balancer opens new connections until it has seen that the
        node isn't ready, and clients reuse open connections until a response
        announces that theirs closes. Refusing either would reset connections
        of clients. So requests are still answered, with
        ``Connection: close``, until the drain notice has passed and no
        request is open.
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
        await cancel_task(self._checking)

    def _build_application(self) -> Starlette:
        app = self._app
        routes = [
            Route('/healthz', self._respond_health),
            Route('/readyz', self._respond_ready),
            Route('/metrics', self._respond_metrics),
            Route('/v1/models', list_models(app)),
            Route(
                '/v1/chat/completions', serve_model(app, CHAT), methods=['POST']
            ),
            Route('/v1/completions', serve_model(app, TEXT), methods=['POST']),
            Route('/admin/status', admin.show_status(app)),
            Route('/admin/timeline', admin.show_timeline(app)),
            Route('/admin/drain', admin.drain_node(app), methods=['POST']),
            Route('/{path:path}', serve_non_model(app), methods=list(_METHODS)),
        ]
        return Starlette(
            routes=routes,
            exception_handlers={
                CallerError: self._respond_caller_error,
                Exception: self._respond_internal_error,
            },
        )

    def _track_requests(self, inner: ASGIApp) -> ASGIApp:
        """Wrap an application: count requests and assign their ids.

        While the node drains, each response also closes its connection.
        """

        async def outer(scope: Scope, receive: Receive, send: Send) -> None:
            if scope['type'] != 'http':
                return
            self.open_requests += 1
            number = next(self._request_numbers)
            scope.setdefault('state', {})['request'] = (
                f'{self._startup.name}-{self._instance}-{number}'
            )
            try:
                await inner(scope, receive, self._close_when_draining(send))
            finally:
                self.open_requests -= 1

        return outer

    def _close_when_draining(
        self, send: Send
    ) -> Callable[[Message], Awaitable[None]]:
        async def send_closing(message: Message) -> None:
            if self.draining and message['type'] == 'http.response.start':
                message['headers'] = [
                    *message.get('headers', ()),
                    (b'connection', b'close'),
                ]
            await send(message)

        return send_closing

    async def _respond_caller_error(
        self, request: Request, error: Exception
    ) -> Response:
        if not isinstance(error, CallerError):
            raise error
        return respond_failure(
            error.failure, {REQUEST_HEADER: request.state.request}
        )

    async def _respond_internal_error(
        self, request: Request, error: Exception
    ) -> Response:
        """Answer a request after an unexpected exception in the router."""
        failure = Failure(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            'internal_error',
            'The router failed.',
            Outcome.UNKNOWN,
            kind='server_error',
        )
        return respond_failure(failure, {REQUEST_HEADER: request.state.request})

    async def _respond_health(self, request: Request) -> Response:
        return PlainTextResponse('ok\n')

    async def _respond_ready(self, request: Request) -> Response:
        revision = self._app.find('settings', SettingsHolder).revision
        if self.draining:
            return PlainTextResponse('draining\n', _UNAVAILABLE)
        if not self.ready or not revision:
            return PlainTextResponse('no settings yet\n', _UNAVAILABLE)
        return PlainTextResponse(f'ready, settings revision {revision}\n')

    async def _respond_metrics(self, request: Request) -> Response:
        exposed = self._app.find('meter', Meter).expose()
        return PlainTextResponse(exposed)


def setup(app: App) -> None:
    """Add the services ``meter``, ``forwarder`` and ``front``."""
    startup = app.find('startup', Startup)
    answers = app.find('answers', Answers)
    holder = app.find('settings', SettingsHolder)
    upstreams = app.find('upstreams', Upstreams)
    http_server = HttpServer(app, startup)
    gauges: dict[str, Callable[[], float]] = {
        'answers_running': lambda: answers.running,
        'requests_open': lambda: http_server.open_requests,
        'settings_revision': lambda: holder.revision,
        'engines_connected': lambda: sum(
            link.usable for link in upstreams.links.values()
        ),
    }
    timeline = app.find('timeline', Timeline)
    meter = Meter(timeline, gauges)
    forwarder = Forwarder(timeline)
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
            http_server,
            ('answers', 'admission', 'claims', 'forwarder', 'meter'),
            start=http_server.start,
            stop=http_server.stop,
        )
    )
