"""The micro-kernel: named services, a message hub and clocks."""

from ryelatch_core.kernel._app import App, Service
from ryelatch_core.kernel._clock import BootClock, Clock, SystemClock
from ryelatch_core.kernel._errors import KernelError
from ryelatch_core.kernel._hub import Hub
from ryelatch_core.kernel._lag import LagMeter, ran_late
from ryelatch_core.kernel._tasks import cancel_task

__all__ = [
    'App',
    'BootClock',
    'Clock',
    'Hub',
    'KernelError',
    'LagMeter',
    'Service',
    'SystemClock',
    'cancel_task',
    'ran_late',
]
