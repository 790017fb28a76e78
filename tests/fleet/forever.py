"""Runs a fleet in the foreground until interrupted."""

import asyncio
import signal

from fleet.fleet import Fleet, make_shape, run_fleet


def print_addresses(fleet: Fleet) -> None:
    """Print addresses and keys of the fleet as environment variables."""
    node = fleet.nodes[0]
    lines = {
        'RYELATCH_BASE_URL': f'{node.url}/v1',
        'RYELATCH_API_KEY': 'ward-1-key',
        'RYELATCH_MODEL': fleet.shape.model,
        'RYELATCH_BOOKING_URL': f'{node.url}/booking',
        'RYELATCH_PLATFORM_URL': fleet.platform.url,
        'RYELATCH_PLATFORM_TOKEN': 'platform-token',
        'RYELATCH_OPERATOR_KEY': 'operator-key',
        'RYELATCH_NODES': ','.join(each.url for each in fleet.nodes),
    }
    for name, text in lines.items():
        print(f'{name}={text}', flush=True)
    print('READY', flush=True)


async def main() -> None:
    """Run a fleet until ``SIGINT`` or ``SIGTERM``."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    async with run_fleet(make_shape()) as fleet:
        print_addresses(fleet)
        await stop.wait()


if __name__ == '__main__':
    asyncio.run(main())
