"""The application object that carries all services of a process."""

import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from graphlib import TopologicalSorter
from typing import TypeVar

from ryelatch_core.kernel._clock import Clock, SystemClock
from ryelatch_core.kernel._errors import KernelError
from ryelatch_core.kernel._hub import Hub

_State = TypeVar('_State')


async def _do_nothing() -> None:
    """Start or stop a service that needs neither."""


@dataclass(frozen=True)
class Service:
    """A named part of the application.

    :param name: the name by which other services find it.
    :param state: the object that others get.
    :param needs: names of services started before and stopped after it.
    """

    name: str
    state: object
    needs: tuple[str, ...] = ()
    start: Callable[[], Awaitable[None]] = _do_nothing
    stop: Callable[[], Awaitable[None]] = _do_nothing


class App:
    """Registry, hub, clock and random source of one process."""

    def __init__(
        self,
        clock: Clock | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        self.hub = Hub()
        self.clock = clock or SystemClock()
        self.random_source = random_source or random.Random()
        self._services: dict[str, Service] = {}
        self._running: list[Service] = []

    def load(self, setups: Iterable[Callable[['App'], None]]) -> None:
        """Let each extension add its services.

        :param setups: the ``setup(app)`` functions, in any order that lets
            each find what it looks up while it is being set up.
        """
        for setup in setups:
            setup(self)

    def add(self, service: Service) -> None:
        """Register a service.

        :raises KernelError: if the name is taken.
        """
        if service.name in self._services:
            raise KernelError(f'service {service.name!r} exists already')
        self._services[service.name] = service

    def find(self, name: str, kind: type[_State]) -> _State:
        """Find the state of a service by name.

        :param kind: the class that the caller expects.
        :raises KernelError: if it is missing or of another class.
        """
        service = self._services.get(name)
        if service is None or not isinstance(service.state, kind):
            raise KernelError(f'no service {name!r} of {kind.__name__}')
        return service.state

    async def start(self) -> None:
        """Start all services, each after those that it needs."""
        graph = {
            service.name: service.needs for service in self._services.values()
        }
        for name in TopologicalSorter(graph).static_order():
            if name not in self._services:
                raise KernelError(f'no service {name!r}, but one needs it')
            service = self._services[name]
            await service.start()
            self._running.append(service)

    async def stop(self) -> None:
        """Stop what was started, in the opposite order."""
        while self._running:
            await self._running.pop().stop()
