"""Fixtures of all tests, and the list of known failures."""

from pathlib import Path

import pytest

_KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def _read_known() -> list[str]:
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text().splitlines()
    return [line.split('|')[0].strip() for line in lines if line.strip()]


def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Let the failures listed in KNOWN-RED.txt pass, and no others."""
    known = _read_known()
    found = {item.nodeid for item in items}
    whole_run = not config.args or config.args == ['tests']
    for name in known:
        if name not in found and whole_run:
            raise pytest.UsageError(f'KNOWN-RED.txt lists no test: {name}')
    for item in items:
        if item.nodeid in known:
            print(f'known red: {item.nodeid}')
            item.add_marker(pytest.mark.xfail(strict=False))
