"""Tests for the application object."""

import pytest

from ryelatch_core.kernel import App, KernelError, Service


async def test_services_start_after_what_they_need() -> None:
    order: list[str] = []

    def make(name: str, *needs: str) -> Service:
        async def start() -> None:
            order.append(f'start {name}')

        async def stop() -> None:
            order.append(f'stop {name}')

        return Service(name, name, needs, start, stop)

    app = App()
    app.add(make('front', 'store', 'peers'))
    app.add(make('peers', 'store'))
    app.add(make('store'))
    await app.start()
    await app.stop()
    started = ['start store', 'start peers', 'start front']
    assert order == [*started, 'stop front', 'stop peers', 'stop store']


async def test_missing_and_doubled_services() -> None:
    app = App()
    app.add(Service('store', 1, ('clock',)))
    with pytest.raises(KernelError, match='exists already'):
        app.add(Service('store', 2))
    with pytest.raises(KernelError, match='no service'):
        app.find('store', str)
    with pytest.raises(KernelError, match="no service 'clock'"):
        await app.start()
