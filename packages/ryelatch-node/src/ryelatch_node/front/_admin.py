"""Endpoints of a node for operators."""

import signal
from dataclasses import asdict
from http import HTTPStatus

from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from ryelatch_core.events import Timeline
from ryelatch_core.kernel import App
from ryelatch_core.settings import Startup
from ryelatch_node.answers import Answers
from ryelatch_node.config import SettingsHolder
from ryelatch_node.front._authentication import check_operator
from ryelatch_node.front._meter import Meter
from ryelatch_node.front._model import Endpoint
from ryelatch_node.peers import Peers
from ryelatch_node.upstreams import Upstreams


def show_status(app: App) -> Endpoint:
    """Make the endpoint that reports the state of this node."""

    async def answer(request: Request) -> Response:
        check_operator(app, request)
        startup = app.find('startup', Startup)
        holder = app.find('settings', SettingsHolder)
        peers = app.find('peers', Peers)
        return JSONResponse(
            {
                'node': startup.name,
                'zone': startup.zone,
                'draining': peers.draining,
                'peers': sorted(peers.peers),
                'peer_bytes': peers.bytes_sent,
                'revision': holder.revision,
                'confirmed': holder.confirmed,
                'answers': app.find('answers', Answers).running,
                'requests': app.find('meter', Meter).read('requests_open'),
                'upstreams': _list_upstreams(app.find('upstreams', Upstreams)),
            }
        )

    return answer


def show_timeline(app: App) -> Endpoint:
    """Make the endpoint that lists events.

    Each query parameter is a field and the value that an event must have
    there to be listed.
    """

    async def answer(request: Request) -> Response:
        check_operator(app, request)
        filters = dict(request.query_params)
        events = app.find('timeline', Timeline).list_events(**filters)
        return JSONResponse([asdict(event) for event in events])

    return answer


def drain_node(app: App) -> Endpoint:
    """Make the endpoint that begins a planned shutdown of this node."""

    async def answer(request: Request) -> Response:
        check_operator(app, request)
        signal.raise_signal(signal.SIGTERM)
        return JSONResponse({'draining': True}, HTTPStatus.ACCEPTED)

    return answer


def _list_upstreams(upstreams: Upstreams) -> list[dict[str, object]]:
    return [
        {
            'name': name,
            'role': member.vm.role,
            'zone': member.vm.zone,
            'address': member.vm.address,
            'leaving': member.leaving,
        }
        | _describe_link(upstreams, name)
        for name, member in upstreams.roster.members.items()
    ]


def _describe_link(upstreams: Upstreams, name: str) -> dict[str, object]:
    link = upstreams.links.get(name)
    if link is None or link.hello is None:
        return {'connected': False}
    hello = link.hello
    return {
        'connected': True,
        'model': hello.model,
        'version': hello.version,
        'layers': f'{hello.first}-{hello.last}',
        'kind': hello.kind,
        'in_flight': link.in_flight,
    }
