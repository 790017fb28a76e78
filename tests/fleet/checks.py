"""What the stand-ins saw, held against what callers were told."""

from collections import defaultdict
from typing import Any

import aiohttp

from fleet.fleet import Fleet
from fleet.processes import Process


async def read_ledgers(fleet: Fleet) -> list[tuple[str, int, int, int, int]]:
    """Read what all living engines ran.

    :returns: stream, attempt, position, first layer, last layer; one entry
        for each position.
    """
    entries = []
    for spec in fleet.shape.engines:
        process = fleet.processes[spec.name]
        if process.child.returncode is not None:
            continue
        seen = await fleet.inspect(process, 'ledger')
        entries += [
            (stream, attempt, position + offset, first, last)
            for stream, attempt, position, count, first, last in seen['ledger']
            for offset in range(count)
        ]
    return entries


async def check_layers_once(fleet: Fleet) -> None:
    """Check that no attempt ran a layer twice or out of order.

    Within an attempt each layer meets each position once, and positions come
    one after the other without a gap.
    """
    seen: dict[tuple[str, int, int], list[int]] = defaultdict(list)
    for stream, attempt, position, first, last in await read_ledgers(fleet):
        for layer in range(first, last):
            seen[stream, attempt, layer].append(position)
    assert seen
    for key, positions in seen.items():
        assert positions == list(range(len(positions))), key


async def check_streams_freed(fleet: Fleet) -> None:
    """Wait until no engine holds a stream any more."""

    async def freed() -> bool:
        held = [
            (await fleet.inspect(fleet.processes[spec.name], 'ledger'))
            for spec in fleet.shape.engines
            if fleet.processes[spec.name].child.returncode is None
        ]
        return not any(seen['streams'] for seen in held)

    await fleet.wait_for(freed)


async def count_runs(fleet: Fleet) -> dict[str, int]:
    """Count how often each booking ran, over all plain upstreams."""
    total: dict[str, int] = defaultdict(int)
    for name in fleet.shape.non_model:
        process = fleet.processes[name]
        if process.child.returncode is None:
            seen = await fleet.inspect(process, 'runs')
            for body, runs in seen['runs'].items():
                total[body] += runs
    return dict(total)


async def set_booking_faults(fleet: Fleet, **faults: Any) -> None:
    """Set the faults of all plain upstreams."""
    for name in fleet.shape.non_model:
        await fleet.control(fleet.processes[name], 'faults', faults)


async def book(
    fleet: Fleet,
    node: Process,
    body: str,
    key: str = '',
    **headers: str,
) -> tuple[int, str, dict[str, Any]]:
    """Make a booking.

    :returns: status, outcome and JSON body; status 0 and outcome ``cut`` if
        the connection broke.
    """
    sent = {'Authorization': 'Bearer ward-1-key'} | headers
    if key:
        sent['Idempotency-Key'] = key
    try:
        async with fleet.http.post(
            f'{node.url}/booking/vans', data=body, headers=sent
        ) as response:
            return (
                response.status,
                response.headers['x-ryelatch-outcome'],
                await response.json(),
            )
    except aiohttp.ClientError:
        return 0, 'cut', {}


async def list_events(fleet: Fleet, name: str) -> list[dict[str, Any]]:
    """List the events of a name over all living nodes."""
    return [
        event
        for node in fleet.nodes
        if node.child.returncode is None
        for event in await fleet.ask_admin(node, 'timeline')
        if event['name'] == name
    ]
