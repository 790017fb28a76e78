"""Looks for the end of connections that aren't read."""

from types import SimpleNamespace
from typing import Any

import pytest

from ryelatch_node.clients import _departure


class _Loop:
    """An event loop whose timers run when they are told to."""

    def __init__(self) -> None:
        self.timers: list[Any] = []

    def call_later(self, _seconds: float, callback: Any) -> None:
        """Keep a callback."""
        self.timers.append(callback)

    def run(self) -> None:
        """Run all callbacks that were kept."""
        timers, self.timers = self.timers, []
        for callback in timers:
            callback()


@pytest.fixture(name='loop')
def make_loop(monkeypatch: pytest.MonkeyPatch) -> _Loop:
    monkeypatch.setattr(_departure, 'has_ended', lambda _: False)
    return _Loop()


def test_one_timer_looks_for_a_departure(loop: _Loop) -> None:
    """Each request behind another one starts a timer of its own."""
    flow = SimpleNamespace(read_paused=True)
    watch: Any = _departure.DepartureWatch(loop, SimpleNamespace(), flow)  # type: ignore[arg-type]
    for _ in range(100):
        watch.look()
        loop.run()
        watch.look()
    assert len(loop.timers) == 1


def test_look_goes_on_after_a_pause(loop: _Loop) -> None:
    """A connection that was read in between isn't looked at again."""
    flow = SimpleNamespace(read_paused=True)
    watch: Any = _departure.DepartureWatch(loop, SimpleNamespace(), flow)  # type: ignore[arg-type]
    watch.look()
    flow.read_paused = False
    loop.run()
    assert not loop.timers
    flow.read_paused = True
    watch.look()
    assert len(loop.timers) == 1
