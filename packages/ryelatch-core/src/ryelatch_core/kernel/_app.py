"""The application object that holds all services of a process."""

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
    """Start or stop a service that needs no action for it."""


@dataclass(frozen=True)
class Service:
    """A named service of the application.

    :param name: name by which other services find it.
    :param state: object that other services get.
    :param needs: names of the services that start before it and stop after it.
    """

    name: str
    state: object
    needs: tuple[str, ...] = ()
    start: Callable[[], Awaitable[None]] = _do_nothing
    stop: Callable[[], Awaitable[None]] = _do_nothing


class App:
    """Service registry, hub, clock and random source of one process."""

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
        """Call the setup functions of extensions, which add their services.

        :param setups: the ``setup(app)`` functions; a service that one of
            them looks up must have been added by an earlier one.
        """
        for setup in setups:
            setup(self)

    def add(self, service: Service) -> None:
        """Register a service.

        :raises KernelError: if a service with this name exists.
        """
        if service.name in self._services:
            raise KernelError(f'service {service.name!r} exists already')
        self._services[service.name] = service

    def find(self, name: str, kind: type[_State]) -> _State:
        """Return the state of a service.

        :param kind: expected class of the state.
        :raises KernelError: if the service is missing or its state is of
            another class.
        """
        service = self._services.get(name)
        if service is None or not isinstance(service.state, kind):
            raise KernelError(f'no service {name!r} of {kind.__name__}')
        return service.state

    async def start(self) -> None:
        """Start all services, each after those that it needs.

        :raises KernelError: if a needed service is missing.
        """
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
        """Stop all started services in reverse order."""
        while self._running:
            await self._running.pop().stop()
