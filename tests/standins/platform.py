"""Stand-in for the platform: object store, list of VMs, and their faults."""

import argparse
import asyncio
import json
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from standins.server import make_app, serve


@dataclass
class Faults:
    """Faults of the platform.

    :param outage: whether all calls get 503.
    :param slow: seconds of delay before each call.
    :param lose: number of next writes that take effect and get no answer.
    :param late: number of next writes that get no answer and take effect later.
    :param late_by: seconds after which a late write takes effect.
    :param lag: seconds by which the list of VMs is out of date.
    :param match: part of the keys to which ``lose`` and ``late`` apply.
    """

    outage: bool = False
    slow: float = 0
    lose: int = 0
    late: int = 0
    late_by: float = 0.5
    lag: float = 0
    match: str = ''


@dataclass
class State:
    """State of the platform.

    :param objects: version and body by key.
    :param vms: lists of VMs, each with the monotonic time since when it holds.
    :param counts: number of calls by method and kind.
    :param version: of the last write.
    """

    objects: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    vms: list[tuple[float, list[dict[str, Any]]]] = field(
        default_factory=lambda: [(0, [])]
    )
    counts: Counter[str] = field(default_factory=Counter)
    faults: Faults = field(default_factory=Faults)
    version: int = 0
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)


STATE = web.AppKey('state', State)
TOKEN = web.AppKey('token', str)


@web.middleware
async def apply_faults(
    request: web.Request, handler: Any
) -> web.StreamResponse:
    """Count calls, check the token, and apply delays and outages."""
    state = request.app[STATE]
    if request.path.startswith('/control'):
        response: web.StreamResponse = await handler(request)
        return response
    state.counts[f'{request.method} {request.path.split("/")[2]}'] += 1
    if request.headers.get('Authorization') != f'Bearer {request.app[TOKEN]}':
        return web.Response(status=401)
    await asyncio.sleep(state.faults.slow)
    if state.faults.outage:
        return web.Response(status=503)
    response = await handler(request)
    if state.faults.outage:
        return web.Response(status=503)
    return response


def _make_response(entry: tuple[int, bytes] | None) -> web.Response:
    if entry is None:
        return web.Response(status=404)
    return web.Response(body=entry[1], headers={'ETag': f'"{entry[0]}"'})


async def get_object(request: web.Request) -> web.Response:
    """Serve an object, with its version as the ETag."""
    state = request.app[STATE]
    return _make_response(state.objects.get(request.match_info['key']))


async def list_objects(request: web.Request) -> web.Response:
    """Serve the keys with a prefix."""
    prefix = request.query.get('prefix', '')
    objects = request.app[STATE].objects
    return web.json_response(
        sorted(key for key in objects if key.startswith(prefix))
    )


async def write_object(request: web.Request) -> web.Response:
    """Create, replace or delete an object, on the condition in the headers."""
    state = request.app[STATE]
    key = request.match_info['key']
    body = await request.read()
    faulty = state.faults.match in key
    if faulty and state.faults.late:
        state.faults.late -= 1
        _spawn(_write_late(request, key, body, state.faults.late_by))
        await asyncio.Event().wait()
    response = await _write(request, key, body)
    if faulty and state.faults.lose:
        state.faults.lose -= 1
        await asyncio.Event().wait()
    return response


def _spawn(work: Any) -> None:
    _TASKS.add(asyncio.ensure_future(work))


_TASKS: set[Any] = set()


async def _write_late(
    request: web.Request, key: str, body: bytes, seconds: float
) -> None:
    await asyncio.sleep(seconds)
    await _write(request, key, body)
    request.app[STATE].counts['late'] += 1


async def _write(request: web.Request, key: str, body: bytes) -> web.Response:
    state = request.app[STATE]
    current = state.objects.get(key)
    expected_version = request.headers.get('If-Match', '').strip('"')
    if request.headers.get('If-None-Match') == '*' and current:
        return web.Response(status=412)
    if expected_version and (
        current is None or str(current[0]) != expected_version
    ):
        return web.Response(status=412)
    state.version += 1
    if request.method == 'DELETE':
        state.objects.pop(key, None)
    else:
        state.objects[key] = (state.version, body)
    async with state.changed:
        state.changed.notify_all()
    return web.Response(headers={'ETag': f'"{state.version}"'})


async def watch_object(request: web.Request) -> web.Response:
    """Wait until an object has another version, and serve it."""
    state = request.app[STATE]
    key = request.match_info['key']
    after = int(request.query['after'])

    def has_changed() -> bool:
        return key in state.objects and state.objects[key][0] != after

    try:
        async with (
            asyncio.timeout(float(request.query['wait'])),
            state.changed,
        ):
            await state.changed.wait_for(has_changed)
    except TimeoutError:
        unchanged = key in state.objects or not after
        return web.Response(status=304 if unchanged else 404)
    return _make_response(state.objects[key])


async def list_vms(request: web.Request) -> web.Response:
    """Serve the list of VMs as it was ``lag`` seconds ago."""
    state = request.app[STATE]
    as_of = time.monotonic() - state.faults.lag
    published = [vms for since, vms in state.vms if since <= as_of]
    etag = f'"{len(published)}"'
    if request.headers.get('If-None-Match') == etag:
        return web.Response(status=304)
    return web.json_response(
        published[-1] if published else [], headers={'ETag': etag}
    )


async def set_vms(request: web.Request) -> web.Response:
    """Set the current list of VMs."""
    state = request.app[STATE]
    state.vms.append((time.monotonic(), await request.json()))
    return web.json_response({})


async def set_faults(request: web.Request) -> web.Response:
    """Replace the faults."""
    request.app[STATE].faults = Faults(**await request.json())
    return web.json_response({})


async def show_counts(request: web.Request) -> web.Response:
    """Serve the number of calls by method and kind."""
    return web.json_response(request.app[STATE].counts)


async def show_objects(request: web.Request) -> web.Response:
    """Serve the versions of all objects by key."""
    objects = request.app[STATE].objects
    return web.Response(
        text=json.dumps({key: entry[0] for key, entry in objects.items()})
    )


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--token', default='platform-token')
    arguments = parser.parse_args()
    app = make_app()
    app.middlewares.append(apply_faults)
    app[STATE] = State()
    app[TOKEN] = arguments.token
    app.add_routes(
        [
            web.get('/v1/objects', list_objects),
            web.get('/v1/objects/{key:.+}', get_object),
            web.put('/v1/objects/{key:.+}', write_object),
            web.delete('/v1/objects/{key:.+}', write_object),
            web.get('/v1/watch/{key:.+}', watch_object),
            web.get('/v1/vms', list_vms),
            web.put('/control/vms', set_vms),
            web.put('/control/faults', set_faults),
            web.get('/control/counts', show_counts),
            web.get('/control/objects', show_objects),
        ]
    )
    asyncio.run(serve(app, arguments.port))


if __name__ == '__main__':
    main()
