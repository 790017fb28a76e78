"""Tests of the fleet that ``make fleet`` runs in the foreground."""

import signal
import subprocess
import sys
from pathlib import Path

_TESTS = Path(__file__).parent.parent


def _list_children(pid: int) -> list[int]:
    children = Path('/proc') / str(pid) / 'task' / str(pid) / 'children'
    return [int(child) for child in children.read_text().split()]


def test_interrupt_leaves_no_process() -> None:
    """Processes of the fleet outlive ``make fleet`` after Ctrl-C."""
    running = subprocess.Popen(
        [sys.executable, '-m', 'fleet.forever'],
        cwd=_TESTS,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert running.stdout is not None
    lines = []
    for line in running.stdout:
        lines.append(line.strip())
        if line == 'READY\n':
            break
    names = {line.split('=')[0] for line in lines}
    assert {'RYELATCH_BASE_URL', 'RYELATCH_API_KEY', 'READY'} <= names
    children = _list_children(running.pid)
    assert len(children) > 10
    running.send_signal(signal.SIGINT)
    assert running.wait() == 0
    assert not any(map(_runs, children))


def _runs(pid: int) -> bool:
    return (Path('/proc') / str(pid)).exists()
