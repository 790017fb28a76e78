"""Who may not do a thing is refused, with a clear error and an event."""

import asyncio
import contextlib

from fleet.caller import read_answer
from fleet.checks import book, list_events, set_booking_faults
from fleet.fleet import make_shape, run_fleet


async def test_callers_without_right() -> None:
    """Calls come without a key, with a wrong one, and past one's rights.

    Each gets an error that says what is wrong and nothing of other client
    accounts, and each is counted.
    """

    def fence(tree: dict[str, dict[str, dict[str, object]]]) -> None:
        tree['accounts']['clinics']['policy'] = {'models': [], 'routes': []}

    async with run_fleet(make_shape(nodes=1, tweak=fence)) as fleet:
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
    """A caller hides a second request in the body of the first.

    Passed on with its own framing headers, the upstream would see two. The
    router frames the call anew; the upstream sees one, without the caller's
    key or any header that only the router may set.
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
            for name in fleet.shape.plain
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
    """A request carries both a length and chunked framing.

    The two ends could cut it differently. It is refused before it reaches
    any upstream.
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
    """A process without the peers' key, or with garbage, calls a node.

    It could feed old settings or invented demand. It is cut off before any
    frame of it is looked at, and counted.
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
            # Cut off by an end or by a reset: either is an end.
            with contextlib.suppress(ConnectionResetError):
                await asyncio.wait_for(reader.read(), 10)
            writer.close()

        async def counted() -> bool:
            found = await list_events(fleet, 'peer-refused')
            return len(found) >= len(garbage)

        await fleet.wait_for(counted)
        await set_booking_faults(fleet)
        assert (await book(fleet, fleet.nodes[0], 'x'))[0] == 201
