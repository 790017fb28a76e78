"""Parsing and validation of the platform's settings file."""

from pathlib import Path

import pytest

from ryelatch_node.ports import DEFAULT_MAX_FILES, DEFAULT_MEMORY_BYTES
from ryelatch_platform import SettingsFileError, read_settings

_GOOD = """
nodeName = "edge-1"
zone = "zone-a"
somethingNew = 3
[zones]
zone-a = "region"
[listen]
frontend = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
[bounds]
graceS = 8
revokeMs = 4000
retryBudgetRatio = 0.2
stall_ms = 2000
[platform]
addr = "10.200.1.7:8223"
"""


def test_good_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / 'settings.toml'
    path.write_text(_GOOD)
    startup = read_settings(path)
    assert startup.name == 'edge-1'
    assert startup.front == ('10.1.0.40', 8227)
    assert startup.store.port == 8223
    assert startup.zones == ('zone-a',)
    assert (startup.revoke_seconds, startup.stall_seconds) == (4, 2)
    assert not startup.fleet_admission


def test_resources_are_read(tmp_path: Path) -> None:
    """A node takes more than its VM has, or nothing where none is given."""
    path = tmp_path / 'settings.toml'
    path.write_text(f'{_GOOD}\n[limits]\nmemoryMb = 200\nmaxFds = 900\n')
    startup = read_settings(path)
    assert (startup.memory_bytes, startup.max_files) == (200_000_000, 900)
    path.write_text(f'{_GOOD}\n[limits]\nmemoryMb = 0\nmaxFds = 0\n')
    startup = read_settings(path)
    assert startup.memory_bytes == DEFAULT_MEMORY_BYTES
    assert startup.max_files == DEFAULT_MAX_FILES


def test_admission_is_switched_on(tmp_path: Path) -> None:
    path = tmp_path / 'settings.toml'
    path.write_text(f'fleetAdmission = true\n{_GOOD}')
    assert read_settings(path).fleet_admission


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('nodeName = "edge-1"', '', 'nodeName'),
        ('"10.1.0.40:8227"', '"10.1.0.40"', 'expected host:port'),
        ('graceS = 8', 'graceS = "x"', 'graceS'),
        ('[platform]', '[platform', 'line'),
    ],
)
def test_mistakes_are_told(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    """The message on an invalid settings file doesn't name the mistake."""
    path = tmp_path / 'settings.toml'
    path.write_text(_GOOD.replace(old, new))
    with pytest.raises(SettingsFileError, match=expected):
        read_settings(path)


def test_missing_file_is_told(tmp_path: Path) -> None:
    with pytest.raises(SettingsFileError, match='absent'):
        read_settings(tmp_path / 'absent.toml')
