"""Reload of the settings in a running process."""

from pathlib import Path

from fleet.running import make_non_model_replicas, run_node
from ryelatch_platform._reload import SettingsReloader

_FILE = """
nodeName = "edge-1"
zone = "zone-a"
[listen]
frontend = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
[bounds]
revokeMs = {revoke}
retryBudgetExtra = {extra}
[platform]
addr = "10.200.1.7:8223"
"""


async def test_changed_bounds_take_effect(tmp_path: Path) -> None:
    """A reloaded bound takes effect only at the next start.

    An operator lowers the bound on revoked keys and sends SIGHUP.
    """
    path = tmp_path / 'settings.toml'
    path.write_text(_FILE.format(revoke=5000, extra=200))
    async with run_node(make_non_model_replicas(1)) as node:
        watch = SettingsReloader(node.app, path)
        path.write_text(_FILE.format(revoke=1000, extra=8))
        watch.reload()
        # The safety margin alone is more than a second.
        assert not node.server.ready
        line = node.find('settings-reloaded')
        assert line['changed']
        # Sockets are opened at the start only.
        assert set(line['waiting']) >= {'front', 'store'}


async def test_unreadable_settings_change_nothing(tmp_path: Path) -> None:
    """An invalid settings file stops the process, or isn't reported."""
    path = tmp_path / 'settings.toml'
    path.write_text(_FILE.format(revoke=5000, extra=200))
    async with run_node(make_non_model_replicas(1)) as node:
        watch = SettingsReloader(node.app, path)
        path.write_text('nodeName = 3')
        watch.reload()
        assert node.server.ready
        assert 'nodeName' in node.find('settings-unreadable')['reason']
