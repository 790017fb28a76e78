"""The settings in force on this node, kept up to date."""

from ryelatch_node.config._service import (
    SettingsApplied,
    SettingsHolder,
    setup,
)

__all__ = ['SettingsApplied', 'SettingsHolder', 'setup']
