"""Unauthorized calls get a clear error and are recorded as events."""

import asyncio
import contextlib

from fleet.caller import read_answer
from fleet.checks import book, list_events, set_booking_faults
from fleet.fleet import make_shape, run_fleet


async def test_callers_without_right() -> None:
    """Calls come without a key, with a wrong key, or without permission.

    Each gets an error that names the mistake and reveals nothing of other
    client accounts. Calls with a missing or wrong key are counted.
    """

    def forbid_all(tree: dict[str, dict[str, dict[str, object]]]) -> None:
        tree['accounts']['clinics']['policy'] = {'models': [], 'routes': []}

    async with run_fleet(make_shape(nodes=1, tweak=forbid_all)) as fleet:
        node = fleet.nodes[0]
        for path in ('/v1/models', '/booking/x', '/admin/status'):
            for key in ('', 'wrong', 'operator'):
                headers = {'Authorization': f'Bearer {key}'} if key else {}
                async with fleet.http.get(
                    f'{node.url}{path}', headers=headers
                ) as response:
                    assert response.status == 401
                    body = await response.json()
                    assert body['error']['code']
        assert len(await list_events(fleet, 'caller-refused')) == 9
        clinic = {'Authorization': 'Bearer clinic-le-loi-key'}
        refused = await book(fleet, node, 'x', **clinic)
        assert refused[:2] == (404, 'not-run')


async def test_request_smuggling() -> None:
    """A client hides a second request in the body of the first.

    If the client's framing headers were forwarded, the upstream could parse
    two requests. The router sets the framing itself, so the upstream receives
    one request, without the client's key or any header that only the router
    may set.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        host, port = fleet.nodes[0].address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        hidden = b'POST /booking/two HTTP/1.1\r\nHost: x\r\n\r\n'
        writer.write(
            b'POST /booking/one HTTP/1.1\r\nHost: x\r\n'
            b'Authorization: Bearer ward-1-key\r\n'
            b'X-Ryelatch-Account: schools\r\n'
            b'Connection: close, X-Secret\r\nX-Secret: s\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(hidden), hidden)
        )
        await reader.read()
        writer.close()
        seen = [
            headers
            for name in fleet.shape.non_model
            for headers in (await fleet.inspect(fleet.processes[name], 'runs'))[
                'headers'
            ]
        ]
        assert len(seen) == 1
        names = {name.lower() for name, _ in seen[0]}
        assert not names & {
            'authorization',
            'x-ryelatch-account',
            'x-secret',
            'transfer-encoding',
        }


async def test_conflicting_lengths_are_refused() -> None:
    """A request has both ``Content-Length`` and chunked framing.

    The router and an upstream could disagree on where it ends. It is refused
    before it reaches any upstream.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        host, port = fleet.nodes[0].address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'POST /booking/one HTTP/1.1\r\nHost: x\r\n'
            b'Authorization: Bearer ward-1-key\r\n'
            b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n\r\nGET /booking/two HTTP/1.1\r\nHost: x\r\n\r\n'
        )
        head, _ = await read_answer(reader)
        assert head.startswith(b'HTTP/1.1 400')
        writer.close()


async def test_peer_port_refuses_strangers() -> None:
    """A process without the key of the peers, or with garbage, connects.

    It could send outdated settings or false demand. The node closes the
    connection before it processes any frame, and counts the attempt.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        host, port = fleet.vms['node-a']['address'].split(':')
        garbage = (
            b'\xff' * 64,
            b'\x91' * 100_000,
            b'\xdd\xff\xff\xff\xff',
            b'\x95\x01\xa1x\xa1y\xc4\x01x\xc4\x01x',
        )
        for blob in garbage:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(blob)
            writer.write_eof()
            # The node may close the connection or reset it.
            with contextlib.suppress(ConnectionResetError):
                await asyncio.wait_for(reader.read(), 10)
            writer.close()

        async def counted() -> bool:
            found = await list_events(fleet, 'peer-refused')
            return len(found) >= len(garbage)

        await fleet.wait_for(counted)
        await set_booking_faults(fleet)
        assert (await book(fleet, fleet.nodes[0], 'x'))[0] == 201
